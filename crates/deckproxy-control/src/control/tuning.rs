//! Tuned constants of the decisions. Spans are in milliseconds; the other units are named at each constant.

use crate::interface::Millis;

/// Time between two runs of the periodic timer: fine enough for latency objectives of some hundred ms.
pub(super) const TIMER_PERIOD: Millis = 20.0;
/// Lateness of the periodic timer from which the router itself must have stood still.
pub(super) const ROUTER_STALL_TIME: Millis = 100.0;
/// Time until a broken subscription to the member list is renewed.
pub(super) const WATCH_RETRY_DELAY: Millis = 500.0;
/// Least time until a source that answers too slowly is tried again while no better one is left.
pub(super) const SLOW_SOURCE_RETRY_DELAY: Millis = 500.0;
/// Share of a slow source's throughput that the trials of all its routers may take together.
pub(super) const SLOW_SOURCE_RETRY_SHARE: f64 = 0.2;
/// Longest wait for another request's fill: the lock time-out of the design.
pub(super) const WAITER_TIMEOUT: Millis = 3000.0;
/// Sending time from which joining the leader's fill at the cache beats waiting for its end.
pub(super) const LARGE_SENDING_TIME: Millis = 100.0;
/// Sends of a request from which it no longer waits for another router's fill.
pub(super) const WAITING_SENDS_MAX: u32 = 3;
/// Time that a client must still wait for an attempt to be sent.
pub(super) const TIME_LEFT_MIN: Millis = 5.0;
/// Time by which a retry must come before the members' deduplication window ends.
pub(super) const DEDUP_MARGIN: Millis = 1.0;
/// Rank of every copy that a cache keeps: the middle of 1 to 3.
pub(super) const COPY_RANK: u8 = 2;
/// Allowance for propagation and queueing on one hop, added to every sending time.
pub(super) const HOP_ALLOWANCE: Millis = 60.0;
/// Load, in answers over a cache's capacity, from which its objects may spill to the next cache.
pub(super) const CACHE_SPILL_LOAD: f64 = 1.5;
/// Load, in answers over a parent's capacity, from which fills may pass it by.
pub(super) const PARENT_SPILL_LOAD: f64 = 3.0;
/// Multiple of its pool's mean load that a member must also exceed before it is passed by.
pub(super) const SPILL_OVER_MEAN: f64 = 1.3;
/// Latency inflation from which a source counts as slow.
pub(super) const SLOW_SOURCE_INFLATION: f64 = 2.0;
/// Share of its expected time within which one fill ends its source's slow time: that is clear evidence.
pub(super) const RECOVERED_FILL_SHARE: f64 = 0.75;
/// Time constant of the mean of a router's own load, from which the other routers' is estimated.
pub(super) const OWN_LOAD_TIME_CONSTANT: Millis = 2000.0;
/// Weight of a new load report against the estimate from the router's own load, 0 to 1.
pub(super) const LOAD_REPORT_WEIGHT: f64 = 0.5;
/// Time constant with which a load report loses that weight.
pub(super) const LOAD_REPORT_TIME_CONSTANT: Millis = 2000.0;
/// Weight of one report in the smoothed reports, 0 to 1.
pub(super) const LOAD_REPORT_SMOOTHING: f64 = 0.3;
/// Time constant with which observations of a member lose their weight.
pub(super) const OBSERVATION_TIME_CONSTANT: Millis = 12000.0;
/// Time of observation from which the capacity of a kind of member is estimated.
pub(super) const CAPACITY_LEARNING_TIME: Millis = 1000.0;
/// Lowest reported busy share that the capacity estimate divides by.
pub(super) const BUSY_SHARE_MIN: f64 = 0.05;
/// Lowest capacity, in answers at full rate, that a load is divided by.
pub(super) const CAPACITY_MIN: f64 = 0.1;
/// Time constant with which answers by way of the origin lose their weight.
pub(super) const ORIGIN_LATENCY_TIME_CONSTANT: Millis = 5000.0;
/// Time observed as expected that is assumed beside the origin's answers, so that a few of them decide
/// nothing.
pub(super) const ORIGIN_LATENCY_PRIOR: Millis = 500.0;
/// Answers as expected that are assumed beside a member's, so that a few of them decide nothing.
pub(super) const MEMBER_LATENCY_PRIOR: f64 = 1.0;
/// Share of the slow-start rule that comes up as turns. Each is good for one window, so that two windows'
/// turns, which can be taken in one, make up what the rule allows.
pub(super) const SLOW_START_SHARE: f64 = 0.5;
/// Multiple of its class's mean sending time that a send takes of a slow-start budget, as the mean may be
/// wrong.
pub(super) const SLOW_START_SEND_COST: f64 = 1.1;
/// The golden ratio's fraction: multiples of it spread any run of router positions evenly over a turn.
pub(super) const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;
/// Reported busy share from which a member may have more in flight than the share tells.
pub(super) const BUSY_SHARE_SATURATED: f64 = 0.9;
/// Consecutive failures that eject a member.
pub(super) const EJECTION_FAILURES: u32 = 6;
/// Sends without any answer from which a member may count as silent.
pub(super) const SILENT_SENDS: u32 = 4;
/// Sends without any answer from which a member on its half-open trial may count as silent.
pub(super) const SILENT_TRIAL_SENDS: u32 = 1;
/// Time since the first unanswered send from which a member counts as silent.
pub(super) const SILENT_TIME: Millis = 900.0;
/// Length of a member's first ejection; each further one is twice as long.
pub(super) const EJECTION_TIME_MIN: Millis = 1000.0;
/// Longest ejection of a member.
pub(super) const EJECTION_TIME_MAX: Millis = 8000.0;
/// Factor by which a passed half-open trial shortens the member's next ejection.
pub(super) const EJECTION_RECOVERY_FACTOR: f64 = 0.25;
/// Latency inflation over its pool's median from which a member counts as an outlier.
pub(super) const OUTLIER_RATIO: f64 = 1.6;
/// Lowest median inflation that a member is compared with.
pub(super) const MEDIAN_INFLATION_MIN: f64 = 0.5;
/// Retries and hedged requests that one client request adds to the budget.
pub(super) const RETRY_TOKENS_PER_REQUEST: f64 = 0.3;
/// Retries and hedged requests that the budget holds at most, and at the start.
pub(super) const RETRY_TOKENS_MAX: f64 = 5.0;
/// Multiple of a client's transfer rate at which a fill is taken to run on an idle link.
pub(super) const FILL_RATE_MULTIPLE: f64 = 1.5;
/// Time constant with which requested work is forgotten.
pub(super) const DEMAND_TIME_CONSTANT: Millis = 3000.0;
/// Share of one cache's even part of the demand from which an object is spread by its parts.
pub(super) const HOT_OBJECT_SHARE: f64 = 0.2;
/// Demand of all objects, in ms of sending time, below which no object counts as hot.
pub(super) const HOT_OBJECT_DEMAND: Millis = 2000.0;
/// Most objects that are remembered.
pub(super) const OBJECTS_MAX: usize = 8192;
/// Time without a request after which an object may be forgotten: ten time constants of its demand.
pub(super) const OBJECT_IDLE_TIME: Millis = 10.0 * DEMAND_TIME_CONSTANT;
/// Divisor of a class's deadline that gives the first estimate of its mean sending time.
pub(super) const INITIAL_ESTIMATE_DIVISOR: f64 = 10.0;
/// Answers as many as which the first estimate of a class's mean sending time weighs.
pub(super) const INITIAL_ESTIMATE_WEIGHT: f64 = 5.0;
/// Answers after which one more always has the same weight in a class's mean sending time.
pub(super) const MEAN_ANSWERS_MAX: f64 = 300.0;
/// Weight in an object's learned sending time of a hit that was quicker than it.
pub(super) const FASTER_HIT_WEIGHT: f64 = 0.6;
/// Weight in an object's learned sending time of a hit that was slower than it, as crowding may explain that.
pub(super) const SLOWER_HIT_WEIGHT: f64 = 0.2;
/// Multiple of its expected time after which an attempt is late.
pub(super) const LATE_MULTIPLE: f64 = 2.0;
/// Latency inflation that a late or failed attempt stands for.
pub(super) const LATE_INFLATION: f64 = 8.0;
/// Share of its latency objective that a request may always still take, however long it has waited.
pub(super) const OBJECTIVE_LEFT_MIN: f64 = 0.5;
/// Share of its class's latency objective that a rejected client is told to stay away.
pub(super) const RETRY_AFTER_SHARE: f64 = 0.2;
/// Most requests that wait for one fill; later ones are sent at once.
pub(super) const WAITERS_MAX: usize = 512;
/// Time taken off a purge's age to give the oldest allowed copy: above the resolution of the members' clocks.
pub(super) const PURGE_AGE_MARGIN: Millis = 0.002;
/// Lowest age of the oldest allowed copy: 0 would allow any age.
pub(super) const PURGE_AGE_MIN: Millis = 0.001;
/// Most log lines of one router.
pub(super) const LOG_LINES_MAX: u32 = 60;
