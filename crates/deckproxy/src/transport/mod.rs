//! Sockets, connections, buffers, the alarm and the clock. This layer moves bytes and knows no rule.

pub mod alarm;
pub mod client;
pub mod clock;
pub mod collector;
pub mod datagrams;
pub mod feed;
pub mod line;
pub mod listener;
pub mod member;
pub mod outbox;
pub mod stream;
