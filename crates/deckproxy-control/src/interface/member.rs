//! Members and member lists.

use super::{MemberId, Millis};

/// State of a listed member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts requests.
    #[default]
    Ready,
    /// It completes requests in flight and accepts no new ones.
    Draining,
    /// It has left the fleet.
    Gone,
}

/// One entry of the member list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    /// Its id.
    pub id: MemberId,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Clock time at which its process started, if known to be recent.
    pub started: Option<Millis>,
    /// Its capacity in concurrent answers at the full transfer rate, if weights are capacities.
    pub weight: f64,
    /// Its kind.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// What a member list event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// All members.
    Full,
    /// All members as last known; may be out of date.
    Cached,
    /// Nothing: a fetch failed or the subscription broke. The previous list stays valid.
    Failed,
}
