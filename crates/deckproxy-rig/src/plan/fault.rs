//! The faults that a plan can inflict on instances, the network between them, members and the control feed.

use crate::relay::DatagramFaults;

/// A fault of some duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Seconds after the traffic began.
    pub at: f64,
    /// Seconds for which it lasts.
    pub duration: f64,
    /// What goes wrong.
    pub kind: FaultKind,
}

/// What goes wrong. Instances and caches are named by their numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// SIGKILL, and a new start when the fault ends.
    Kill(usize),
    /// SIGSTOP, and SIGCONT when the fault ends.
    Pause(usize),
    /// SIGTERM, and a new start once the process has ended by itself.
    Restart(usize),
    /// All instances are restarted, one after another.
    RollingRestart,
    /// No datagram passes between these instances and the others.
    Split(Vec<usize>),
    /// No datagram of these instances reaches the others.
    Mute(Vec<usize>),
    /// Datagrams between instances are lost, duplicated and delayed.
    Datagrams(DatagramFaults),
    /// A cache fails.
    Cache(usize, CacheFault),
    /// Connections between instances and the caches of a zone are cut.
    Cut {
        /// The instances; none: all.
        instances: Vec<usize>,
        /// The zone of the caches.
        zone: usize,
        /// Nothing passes while connections stay open; else they are reset.
        is_silent: bool,
    },
    /// The control feed of instances is late or silent.
    Feed {
        /// The instances; none: all.
        instances: Vec<usize>,
        /// Milliseconds by which its events are late; 0: it sends none.
        delay_ms: u64,
    },
    /// The traffic is multiplied, by over 0 and up to 20; in an open loop.
    Load(f64),
    /// The origin takes so many milliseconds longer.
    SlowOrigin(u64),
    /// All caches of a zone crash, and start again empty.
    ColdZone(usize),
}

impl FaultKind {
    /// The instances that the fault names.
    pub fn instances(&self) -> &[usize] {
        match self {
            FaultKind::Kill(instance) | FaultKind::Pause(instance) | FaultKind::Restart(instance) => {
                std::slice::from_ref(instance)
            }
            FaultKind::Split(instances)
            | FaultKind::Mute(instances)
            | FaultKind::Cut { instances, .. }
            | FaultKind::Feed { instances, .. } => instances,
            FaultKind::RollingRestart
            | FaultKind::Datagrams(_)
            | FaultKind::Cache(..)
            | FaultKind::Load(_)
            | FaultKind::SlowOrigin(_)
            | FaultKind::ColdZone(_) => &[],
        }
    }

    /// Whether instances cannot hear each other while it lasts.
    pub fn is_partition(&self) -> bool {
        matches!(self, FaultKind::Split(_) | FaultKind::Mute(_))
    }
}

/// How a cache fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CacheFault {
    /// It crashes, and starts again empty.
    Crashes,
    /// It accepts requests and answers none.
    Hangs,
    /// It answers a share of its requests, 0 to 1, with a failure.
    Fails(f64),
    /// It takes so many milliseconds longer.
    Slow(u64),
}
