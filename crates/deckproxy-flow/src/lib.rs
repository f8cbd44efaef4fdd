//! Flow accounting and export: who used the network is counted exactly in bounded memory and exported to collectors.
//!
//! - [`codec`]: IPFIX (RFC 7011) and NetFlow v9 (RFC 3954), encoding and decoding.
//! - [`account`]: attributes the bytes of connections to requests and attempts.
//! - [`meter`]: the table of flows; when it is full, its smallest flows are folded into coarser ones.
//! - [`spool`]: flows that wait for a collector, bounded in bytes: merged first, then dropped and counted.
//! - [`export`]: the exporting process: templates, messages and connections to collectors.
//! - [`scheduler`]: background tasks with priority weights, time slices and maximum delays.
#![forbid(unsafe_code)]

pub mod account;
pub mod codec;
pub mod export;
pub mod meter;
pub mod scheduler;
pub mod spool;
