//! Decoders and encoders of all that is spoken on the sockets, without I/O. Names as the wire has them stay here.

pub mod config;
pub mod downstream;
pub mod feed;
pub mod limits;
pub mod link;
pub mod shape;
pub mod upstream;
