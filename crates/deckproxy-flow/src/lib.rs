//! Flows: who used the links, counted exactly in bounded memory, and told to collectors.
//!
//! - [`codec`]: IPFIX (RFC 7011) and NetFlow v9 (RFC 3954), both ways.
//! - [`account`]: what passed on a connection, request by request, before the meter is told.
//! - [`meter`]: the table of flows; when it is full the least of them are folded into coarser ones.
//! - [`spool`]: flows that wait for a collector, bounded in bytes: first merged, and only then dropped and counted.
//! - [`export`]: templates, messages, collectors that come and go.
//! - [`work`]: background work in slices, with priorities, budgets and deadlines.
#![forbid(unsafe_code)]

pub mod account;
pub mod codec;
pub mod export;
pub mod meter;
pub mod spool;
pub mod work;
