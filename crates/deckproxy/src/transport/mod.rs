//! Sockets, connections, buffers, the event loop's timer and the clock. This layer moves bytes and makes no routing
//! decisions.

pub mod buffer_usage;
pub mod client;
pub mod client_input;
pub mod clock;
pub mod collector;
pub mod datagram_socket;
pub mod feed;
pub mod listener;
pub mod loop_timer;
pub mod member;
pub mod owed_answers;
pub mod pending_requests;
mod registration;
pub mod site_link;
pub mod stream;
pub mod write_buffer;
