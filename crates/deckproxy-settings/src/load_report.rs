//! Load reports of members.

use deckproxy_control::interface::LoadReport;

/// Reads a load report from its named values; `None` if there are none.
///
/// The settings' `report.fields` and the members' protocol use different names for the same values; both are accepted,
/// and unknown names are ignored.
pub fn read_load_report<'a>(values: impl IntoIterator<Item = (&'a str, f64)>) -> Option<LoadReport> {
    let mut report = None::<LoadReport>;
    for (name, value) in values {
        let report = report.get_or_insert_default();
        match name {
            "busy_reqs" | "inflight" => report.in_flight = Some(value),
            "x1" => report.link = Some(value),
            "cpu_share" | "util" => report.busy_share = Some(value),
            _ => {}
        }
    }
    report
}
