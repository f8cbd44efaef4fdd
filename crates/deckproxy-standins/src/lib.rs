//! Stand-ins for all that a gateway talks to, and checkers of the rules on what passed on the sockets.
//!
//! Two kinds: those by hand ([`member`], [`feed`], [`client`], [`world`]), with which a test plays one case step by step,
//! and those that run by themselves ([`fleet`], [`live`], [`caller`], [`shim`]), for the demo and the drills. What
//! passes is noted in a [`record`], which [`rules`] judges afterwards. None of it shares code with the gateway.
#![forbid(unsafe_code)]
#![allow(clippy::missing_panics_doc, missing_docs)]

pub mod bounds;
pub mod caller;
pub mod client;
pub mod collector;
pub mod feed;
pub mod fleet;
pub mod gateway;
pub mod late;
pub mod live;
pub mod member;
pub mod record;
pub mod rules;
pub mod shim;
pub mod wait;
pub mod world;

pub use client::{Answer, Client, fresh_name};
pub use feed::{Feed, tell};
pub use gateway::{Gateway, Setup, settings};
pub use late::Late;
pub use member::{Ask, Member, Seen, entry};
pub use wait::{PATIENCE, QUIET, free_address, unix_ms, until};
pub use world::{Fed, World};
