//! Flow accounting and export: counts the traffic of clients in bounded memory without losing any of it, and
//! exports the flows to collectors.
//!
//! - [`codec`]: IPFIX (RFC 7011) and NetFlow v9 (RFC 3954), encoding and decoding.
//! - [`account`]: attributes the bytes of connections to requests and attempts.
//! - [`meter`]: the table of flows; when it is full, small flows are folded into flows with coarser keys.
//! - [`spool`]: the queue of flows for a collector, bounded in bytes: when full, flows are merged, then
//!   dropped and counted.
//! - [`export`]: the exporting process: templates, messages and connections to collectors.
//! - [`scheduler`]: background tasks with priority weights, time slices and maximum delays.
#![forbid(unsafe_code)]

pub mod account;
pub mod codec;
pub mod export;
pub mod meter;
pub mod scheduler;
pub mod spool;
