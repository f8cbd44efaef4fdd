//! Routes: which site is an object's home, and to which site a request is forwarded to reach it.
//!
//! - [`rule`]: one route.
//! - [`table`]: the index for looking up requests.
//! - [`validation`]: errors within one site's routes, and between several sites'.

pub mod rule;
pub mod table;
pub mod validation;

pub use rule::{RouteRule, find_linear};
pub use table::RouteTable;
pub use validation::{
    ForwardingError, ForwardingFault, RouteError, RouteFault, SiteRoutes, validate, validate_together,
};
