//! Several processes of the built gateway and what lies between them, hurt by a plan and judged from outside.
//!
//! A run goes through these modules:
//!
//! - [`plan`]: what runs and which faults happen; read from a file, drawn from a seed, shrunk to what still fails.
//! - [`rig`]: members, instances and clients that run; [`fault_injection`] inflicts faults on them.
//! - [`instance_process`], [`relay`]: the instances' processes, and the datagrams between them.
//! - [`client_population`], [`load_generator`]: clients with one request at a time each, and an open loop of many;
//!   [`endpoint`]: an instance as they know it.
//! - [`overload_traffic`]: the requests of a run under overload.
//! - [`run`]: a whole run, and the record that it leaves.
//! - [`judge`], [`overload_judge`]: what was counted at members and clients; [`fleet_view`]: what instances logged.
//! - [`timeline`]: a page of what happened.
//!
//! The same fleet in simulated time, for many instances and long spans: [`simulated_fleet`], and clients around it:
//! [`simulated_load`].
#![forbid(unsafe_code)]

pub mod absence;
pub mod client_population;
pub mod endpoint;
mod event_queue;
pub mod fault_injection;
mod fleet_agreement;
pub mod fleet_view;
mod instance_config;
pub mod instance_process;
pub mod intervals;
pub mod judge;
pub mod load_generator;
pub mod overload_judge;
pub mod overload_traffic;
pub mod plan;
pub mod relay;
pub mod rig;
pub mod run;
pub mod simulated_fleet;
pub mod simulated_load;
pub mod timeline;

/// A small number, of instances, members or clients, at 32 bits.
fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
