//! Constants of the decisions. Times are in milliseconds; other units are named at each constant.

use crate::interface::Millis;

/// Period of the timer: short enough for latency objectives of a few hundred ms.
pub(super) const TIMER_PERIOD: Millis = 20.0;
/// Delay of the periodic timer from which the router process itself must have stalled.
pub(super) const ROUTER_STALL_TIME: Millis = 100.0;
/// Delay before a broken subscription to the member list is renewed.
pub(super) const WATCH_RETRY_DELAY: Millis = 500.0;
/// Minimum delay before a source that answers too slowly is tried again while no better one is available.
pub(super) const SLOW_SOURCE_RETRY_DELAY: Millis = 500.0;
/// Share of a slow source's throughput that the trials of all its routers may use together.
pub(super) const SLOW_SOURCE_RETRY_SHARE: f64 = 0.2;
/// Maximum wait for another request's fill (cache lock time-out).
pub(super) const WAITER_TIMEOUT: Millis = 3000.0;
/// Sending time from which it is faster to join the leader's fill at the cache than to wait for its end.
pub(super) const LARGE_SENDING_TIME: Millis = 100.0;
/// Number of attempts sent from which a request no longer waits for another router's fill.
pub(super) const WAITING_SENDS_MAX: u32 = 3;
/// Minimum time left until the client's deadline for an attempt to be sent.
pub(super) const TIME_LEFT_MIN: Millis = 5.0;
/// Time before the end of the members' deduplication window from which no retry is sent.
pub(super) const DEDUP_MARGIN: Millis = 1.0;
/// Rank of every copy that a cache stores: the middle of the range 1 to 3.
pub(super) const COPY_RANK: u8 = 2;
/// Allowance for propagation and queueing per hop, added to every sending time.
pub(super) const HOP_ALLOWANCE: Millis = 60.0;
/// Load relative to a cache's capacity from which its objects may spill over to the next cache.
pub(super) const CACHE_SPILL_LOAD: f64 = 1.5;
/// Load relative to a parent's capacity from which fills may spill over to the next parent.
pub(super) const PARENT_SPILL_LOAD: f64 = 3.0;
/// Multiple of its pool's mean load that a member must also exceed before requests spill over.
pub(super) const SPILL_OVER_MEAN: f64 = 1.3;
/// Latency inflation from which a source counts as slow.
pub(super) const SLOW_SOURCE_INFLATION: f64 = 2.0;
/// Share of its expected time within which a single fill resets its source's latency inflation: such a
/// fast fill is clear evidence of recovery.
pub(super) const RECOVERED_FILL_SHARE: f64 = 0.75;
/// Time constant of the mean of a router's own load, from which the other routers' load is estimated.
pub(super) const OWN_LOAD_TIME_CONSTANT: Millis = 2000.0;
/// Weight of a new load report relative to the estimate from the router's own load, 0 to 1.
pub(super) const LOAD_REPORT_WEIGHT: f64 = 0.5;
/// Time constant with which the weight of a load report decays.
pub(super) const LOAD_REPORT_TIME_CONSTANT: Millis = 2000.0;
/// Smoothing factor of load reports: weight of the newest report, 0 to 1.
pub(super) const LOAD_REPORT_SMOOTHING: f64 = 0.3;
/// Time constant with which observations of a member decay.
pub(super) const OBSERVATION_TIME_CONSTANT: Millis = 12000.0;
/// Observation time from which the capacity of a kind of member is estimated.
pub(super) const CAPACITY_LEARNING_TIME: Millis = 1000.0;
/// Lower bound of the busy share that the capacity estimate divides by.
pub(super) const BUSY_SHARE_MIN: f64 = 0.05;
/// Lower bound of the capacity, in concurrent answers at full rate, that a load is divided by.
pub(super) const CAPACITY_MIN: f64 = 0.1;
/// Time constant with which the latencies of fetches from the origin decay.
pub(super) const ORIGIN_LATENCY_TIME_CONSTANT: Millis = 5000.0;
/// Weight of the prior in the origin's latency inflation, as time observed at the expected latency, so
/// that a few answers do not decide.
pub(super) const ORIGIN_LATENCY_PRIOR: Millis = 500.0;
/// Weight of the prior in a member's latency inflation, as answers at the expected latency, so that a few
/// answers do not decide.
pub(super) const MEMBER_LATENCY_PRIOR: f64 = 1.0;
/// Share of the slow-start limit at which budgets are refilled. An allowance expires after one window,
/// so at most two windows' allowances can be spent within one window; together they equal the limit.
pub(super) const SLOW_START_SHARE: f64 = 0.5;
/// Multiple of its class's mean sending time that a send costs in slow-start budgets, as the mean is only
/// an estimate.
pub(super) const SLOW_START_SEND_COST: f64 = 1.1;
/// Fractional part of the golden ratio: its multiples spread any range of router positions evenly over
/// one send cost.
pub(super) const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;
/// Reported busy share from which a member is saturated and may have more in flight than the share
/// indicates.
pub(super) const BUSY_SHARE_SATURATED: f64 = 0.9;
/// Consecutive failures after which a member is ejected.
pub(super) const EJECTION_FAILURES: u32 = 6;
/// Unanswered sends from which a member may count as silent.
pub(super) const SILENT_SENDS: u32 = 4;
/// Unanswered sends from which a member in its half-open trial may count as silent.
pub(super) const SILENT_TRIAL_SENDS: u32 = 1;
/// Time since the first unanswered send after which a member counts as silent.
pub(super) const SILENT_TIME: Millis = 900.0;
/// Minimum and initial duration of a member's ejection; each further one is twice as long.
pub(super) const EJECTION_TIME_MIN: Millis = 1000.0;
/// Maximum duration of an ejection.
pub(super) const EJECTION_TIME_MAX: Millis = 8000.0;
/// Factor that a successful half-open trial applies to the duration from which the member's next ejection
/// is doubled.
pub(super) const EJECTION_RECOVERY_FACTOR: f64 = 0.25;
/// Ratio of a member's latency inflation to its pool's median from which the member is an outlier.
pub(super) const OUTLIER_RATIO: f64 = 1.6;
/// Lower bound of the median inflation that members are compared with.
pub(super) const MEDIAN_INFLATION_MIN: f64 = 0.5;
/// Retry tokens that one client request deposits; a retry or hedged request costs one.
pub(super) const RETRY_TOKENS_PER_REQUEST: f64 = 0.3;
/// Maximum and initial number of retry tokens.
pub(super) const RETRY_TOKENS_MAX: f64 = 5.0;
/// Multiple of the transfer rate to clients that a fill is assumed to reach on an idle link.
pub(super) const FILL_RATE_MULTIPLE: f64 = 1.5;
/// Time constant with which recorded demand decays.
pub(super) const DEMAND_TIME_CONSTANT: Millis = 3000.0;
/// Share of the mean demand per cache from which an object is hot, so that its parts are spread over the
/// caches.
pub(super) const HOT_OBJECT_SHARE: f64 = 0.2;
/// Total demand, in ms of sending time, below which no object counts as hot.
pub(super) const HOT_OBJECT_DEMAND: Millis = 2000.0;
/// Maximum number of tracked objects.
pub(super) const OBJECTS_MAX: usize = 8192;
/// Idle time after which an object may be dropped from the table: ten time constants of its demand.
pub(super) const OBJECT_IDLE_TIME: Millis = 10.0 * DEMAND_TIME_CONSTANT;
/// Divisor of a class's deadline that gives the initial estimate of its mean sending time.
pub(super) const INITIAL_ESTIMATE_DIVISOR: f64 = 10.0;
/// Weight of the initial estimate in a class's mean sending time, as a number of answers.
pub(super) const INITIAL_ESTIMATE_WEIGHT: f64 = 5.0;
/// Number of answers from which the weight of a new one in a class's mean sending time stays constant.
pub(super) const MEAN_ANSWERS_MAX: f64 = 300.0;
/// Weight of a hit that was faster than an object's learned sending time.
pub(super) const FASTER_HIT_WEIGHT: f64 = 0.6;
/// Weight of a hit that was slower than an object's learned sending time; lower, as contention may
/// explain it.
pub(super) const SLOWER_HIT_WEIGHT: f64 = 0.2;
/// Multiple of its expected duration after which an attempt is late.
pub(super) const LATE_MULTIPLE: f64 = 2.0;
/// Latency inflation recorded for a fill that is late, and for a fill or direct attempt that timed out or
/// was rejected.
pub(super) const LATE_INFLATION: f64 = 8.0;
/// Minimum share of its latency objective that a request is still granted, however long it has waited.
pub(super) const OBJECTIVE_LEFT_MIN: f64 = 0.5;
/// Share of its class's latency objective that a rejected client is advised to wait before it retries.
pub(super) const RETRY_AFTER_SHARE: f64 = 0.2;
/// Maximum number of waiters for one fill; further requests are sent at once.
pub(super) const WAITERS_MAX: usize = 512;
/// Margin subtracted from a purge's age to get the maximum age of a copy: above the resolution of the
/// members' clocks.
pub(super) const PURGE_AGE_MARGIN: Millis = 0.002;
/// Minimum of that maximum age, as 0 would allow any age.
pub(super) const PURGE_AGE_MIN: Millis = 0.001;
/// Maximum number of log lines per router.
pub(super) const LOG_LINES_MAX: u32 = 60;
