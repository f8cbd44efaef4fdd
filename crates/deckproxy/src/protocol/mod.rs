//! Decoders and encoders of all protocols on the sockets, without I/O. The names on the wire end here: they are mapped to
//! the terms of the code where they are parsed.

pub mod config;
pub mod config_file;
pub mod config_migration;
pub mod downstream;
pub mod feed;
pub mod limits;
pub mod link;

pub mod upstream;
