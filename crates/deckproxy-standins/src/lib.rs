//! Stand-ins for everything that a gateway talks to, and checkers of the rules on what passed on the sockets.
//!
//! Those of one kind are driven by hand ([`member`], [`feed`], [`client`], [`test_site`]): a test plays one case with
//! them step by step. Those of the other kind run by themselves ([`site`], [`live_feed`], [`load_client`], [`hostile_clients`],
//! [`link_relay`]), for the demo and the drills. They write what passes to a [`record`], which [`rules`] judges
//! afterwards. None of them shares code with the gateway.
#![forbid(unsafe_code)]

pub mod client;
pub mod collector;
pub mod feed;
pub mod gateway;
pub mod gateway_setup;
pub mod hostile_clients;
pub mod limit_checkers;
pub mod link_relay;
pub mod live_feed;
pub mod load_client;
pub mod member;
pub mod record;
pub mod rules;
pub mod site;
pub mod stalled_listener;
pub mod test_site;
pub mod wait;

pub use client::{Answer, Client, fresh_name};
pub use feed::{Feed, group_purge, member_update, send_line};
pub use gateway::{Gateway, Usage};
pub use gateway_setup::{Setup, complete_member_list, settings};
pub use member::{Member, MemberEvent, MemberRequest, entry};
pub use stalled_listener::StalledListener;
pub use test_site::{OBJECT, SubscribedGateway, TestSite};
pub use wait::{PATIENCE, QUIET, free_address, thread_cpu_ns, unix_ms, until};
