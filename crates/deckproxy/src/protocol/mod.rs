//! Decoders and encoders of all that is spoken on the sockets, without I/O. Names as the wire has them stay here.

pub mod back;
pub mod config;
pub mod feed;
pub mod front;
pub mod limits;
pub mod link;
pub mod shape;
