//! Members and the lists of them.

use super::{MemberId, Millis};

/// State of a listed member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what is in flight and takes nothing new.
    Draining,
    /// It has left.
    Gone,
}

/// One line of the member list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    /// Its id.
    pub id: MemberId,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Clock time at which its process started, if lately.
    pub started: Option<Millis>,
    /// Its capacity in answers at the full transfer rate, where weights are sizes.
    pub weight: f64,
    /// Its kind.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// What a list of members holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// All members.
    Full,
    /// All members as last known, which may be out of date.
    Cached,
    /// Nothing: a call failed or a subscription broke, and the previous list holds.
    Failed,
}
