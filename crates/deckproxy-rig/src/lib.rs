//! Several processes of the built gateway and what lies between them, hurt by a plan and judged from outside.
//!
//! - [`plan`]: what runs and what goes wrong, as a file; drawn from a seed; shrunk to what still breaks a promise.
//! - [`relay`]: datagrams between every two instances, cut one way or both, lost, late, doubled.
//! - [`processes`]: the instances' processes: started, killed, stopped, ended, restarted.
//! - [`client_population`]: clients that come to any instance, and go to another after a rejection or a death.
//! - [`load_generator`]: an open-loop load generator for overload: many requests in flight at a time, retried at once.
//! - [`simulated_load`]: the same in simulated time, around what serves only so much.
//! - [`fleet_view`]: the instances' views of the fleet, as their logs show them.
//! - [`play`]: a whole run.
//! - [`judge`]: what was counted at members and clients, and whether the instances' views agreed.
//! - [`overloaded`]: what a run under overload came to.
//! - [`simulated`]: many instances in simulated time.
//! - [`timeline`]: a page of what happened.
#![forbid(unsafe_code)]
#![allow(clippy::missing_panics_doc)]

pub mod client_population;
pub mod draw;
pub mod fleet_view;
pub mod judge;
pub mod load_generator;
pub mod overloaded;
pub mod plan;
pub mod play;
pub mod processes;
pub mod relay;
pub mod shrink;
pub mod simulated;
pub mod simulated_load;
pub mod timeline;
