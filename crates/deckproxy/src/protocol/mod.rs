//! Decoders and encoders of all protocols on the sockets, without I/O. Names on the wire are mapped to
//! the terms of the code here, so that other modules don't depend on them.

pub mod config;
pub mod config_file;
pub mod config_migration;
pub mod downstream;
pub mod feed;
pub mod limits;
pub mod link;
pub mod upstream;
