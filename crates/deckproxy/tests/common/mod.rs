//! What the tests share: the stand-ins, under one name.
pub use deckproxy_standins::*;
