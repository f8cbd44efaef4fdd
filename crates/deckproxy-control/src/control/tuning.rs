//! Tuned constants of the decisions, each with its unit and reason.

use super::*;

/// ms between sweeps, fine enough for aims of some hundred ms; and lateness of one that slept itself.
pub(super) const SWEEP: Millis = 20.0;
pub(super) const ASLEEP: Millis = 100.0;
/// ms until a broken subscription, or a source where all are too slow, is asked again at the earliest; and
/// share of what such a source can send that all routers ask for.
pub(super) const REWATCH: Millis = 500.0;
pub(super) const AGAIN: f64 = 0.2;
/// ms: the design's lock time-out; and own sending time from which joining the leader's fill beats waiting.
pub(super) const WAIT: Millis = 3000.0;
pub(super) const LARGE: Millis = 100.0;
/// ms that a client must still have for another attempt; and the middle rank, of all copies.
pub(super) const LEAST_LEFT: Millis = 5.0;
pub(super) const RANK: u8 = 2;
/// ms: allowance for ways and queues that adds to every sending time.
pub(super) const WAY: Millis = 60.0;
/// Answers out over a member's link from which a cache's objects may spill and a parent is passed, if over so
/// many times its pool's mean; pace from which a source is slow, and share of a fill's due time that ends it.
pub(super) const SPILL_AT: f64 = 1.5;
pub(super) const PASS_AT: f64 = 3.0;
pub(super) const BOUND: f64 = 1.3;
pub(super) const PASS_DRAG: f64 = 2.0;
pub(super) const QUICK: f64 = 0.75;
/// ms over which our part of a load is averaged to guess the other routers'.
pub(super) const MEAN_SPAN: Millis = 2000.0;
/// Weight of new reports against that guess, ms over which they lose it, and of one report in their mean; ms
/// over which what was seen of a member's pace loses its weight.
pub(super) const TRUST: f64 = 0.5;
pub(super) const TOLD_SPAN: Millis = 2000.0;
pub(super) const TOLD_STEP: f64 = 0.3;
pub(super) const SEEN_SPAN: Millis = 12000.0;
/// ms of what the members of a kind bear until their size is judged by that.
pub(super) const BORNE_FROM: Millis = 1000.0;
/// ms over which the origin's pace is seen, and weight of an answer as due put in beside it.
pub(super) const ORIGIN_SPAN: Millis = 5000.0;
pub(super) const ORIGIN_DUE: Millis = 500.0;
/// Share of the cold rule that comes up as turns, each good for a window: those of two, which can be taken in
/// one, make up the rule's. Times a class's mean that a send weighs (it may be wrong); the golden fraction.
pub(super) const COLD_SHARE: f64 = 0.5;
pub(super) const COLD_COST: f64 = 1.1;
pub(super) const GOLDEN: f64 = 0.618_033_988_749_895;
/// Busy share from which a member may hold more than it tells.
pub(super) const BUSY: f64 = 0.9;
/// Failures in a row that leave a member out; and times its peers' pace from which it is slow.
pub(super) const FAILS_CERTAIN: u32 = 6;
pub(super) const SLOW_FROM: f64 = 1.6;
/// Sends without any answer, and ms since the first of them, that make a member silent.
pub(super) const SILENT_SENDS: u32 = 4;
pub(super) const SILENT_FOR: Millis = 900.0;
/// ms that a member is left out at first and at most, doubling.
pub(super) const OUT_FIRST: Millis = 1000.0;
pub(super) const OUT_MOST: Millis = 8000.0;
/// Further attempts and second ones: earned by each request, and saved up at most.
pub(super) const RETRY_EARN: f64 = 0.3;
pub(super) const RETRY_MOST: f64 = 5.0;
/// Times a client's pace at which a fill is taken to run on an idle link.
pub(super) const FILL_PACE: f64 = 1.5;
/// ms over which an object's share of the work is counted, the share of one cache's part from which its
/// parts are spread, once so much work is counted; the objects known at most (until ten spans idle).
pub(super) const HOT_SPAN: Millis = 3000.0;
pub(super) const HOT_SHARE: f64 = 0.2;
pub(super) const HOT_FROM: Millis = 2000.0;
pub(super) const OBJECTS_MOST: usize = 8192;
/// Times what it should take after which an attempt is late; the slowdown that a late or failed one shows.
pub(super) const LATE: f64 = 2.0;
pub(super) const LATE_DRAG: f64 = 8.0;
/// Share of its aim that a refused client is to stay away; requests that wait for one fill, at most (later
/// ones go alone), and log lines of one router.
pub(super) const COME_BACK: f64 = 0.2;
pub(super) const WAITERS_MOST: usize = 512;
pub(super) const LOGS: u32 = 60;
