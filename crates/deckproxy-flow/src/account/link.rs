//! Accounting of links to other sites.

use super::{Micros, RequestSource, millis};
use crate::meter::{Key, Leg, Meter, NameId, Outcome, Update};

/// Counts bytes received from, and sent to, another site over a link.
pub fn count_link_bytes(meter: &mut Meter, now: Micros, site: NameId, received: u64, sent: u64) {
    if received + sent > 0 {
        let flow = Key { site, ..Key::of(Leg::Link) };
        meter.count(
            millis(now),
            flow,
            &Update { bytes_to_client: received, bytes_from_client: sent, ..Update::default() },
        );
    }
}

/// Counts a request that was received over a link at `received_at` and has ended. Only its outcome and latency
/// are counted here; its bytes are counted by [`count_link_bytes`].
pub fn count_link_request(
    meter: &mut Meter,
    now: Micros,
    source: RequestSource,
    received_at: Micros,
    outcome: Outcome,
) {
    let RequestSource { class, site, .. } = source;
    let flow = Key { class, site, outcome: Some(outcome), ..Key::of(Leg::Link) };
    let latency = Some(now.saturating_sub(received_at));
    meter.count(millis(now), flow, &Update { requests: 1, latency, ..Update::default() });
}
