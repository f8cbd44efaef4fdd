//! How entries of the control feed become members.

use deckproxy::protocol::feed::MemberEntry;
use deckproxy::routing::members::Members;
use deckproxy_control::interface::Lifecycle;

fn member_entry(id: &str, address: Option<&str>, lifecycle: Lifecycle) -> MemberEntry {
    MemberEntry {
        id: id.into(),
        address: address.map(|a| a.parse().unwrap()),
        zone: "edge one".into(),
        kind: "box".into(),
        cell: 2,
        lifecycle,
        size: 4.0,
        started: None,
    }
}

#[test]
fn member_id_depends_only_on_its_name() {
    let (zones, kinds) = (["hub".to_string(), "edge_one".to_string()], ["box".to_string()]);
    let at = Some("127.0.0.1:9");
    let ids = |names: &[&str]| -> Vec<u32> {
        let mut members = Members::default();
        let take = |n: &&str| {
            members.apply_entry(&member_entry(n, at, Lifecycle::Ready), &zones, &kinds).unwrap().id
        };
        names.iter().map(take).collect()
    };
    // Gateways that know other members, or in another order, assign the same ids: the shared hash depends on them.
    let all = ids(&["s-1", "s-2", "s-3"]);
    assert_eq!(ids(&["s-9", "s-3", "s-1", "s-2"])[1..], [all[2], all[0], all[1]]);
    assert!(all[0] != all[1] && all[1] != all[2] && all[0] != all[2]);
}

#[test]
fn entry_needs_a_known_zone_and_keeps_its_address() {
    let (zones, kinds) = (["hub".to_string(), "edge_one".to_string()], ["box".to_string()]);
    let mut members = Members::default();
    let m = members
        .apply_entry(&member_entry("s-1", Some("127.0.0.1:9"), Lifecycle::Ready), &zones, &kinds)
        .unwrap();
    assert_eq!((m.zone, m.kind, m.cell, m.weight, m.lifecycle), (1, 0, 2, 4.0, Lifecycle::Ready));
    assert_eq!(members.name(m.id), Some("s-1"));
    assert!(members.endpoint(m.id).is_some());
    // An entry without an address leaves the known address in place, for attempts in flight.
    let gone = members.apply_entry(&member_entry("s-1", None, Lifecycle::Gone), &zones, &kinds).unwrap();
    assert_eq!((gone.id, gone.lifecycle), (m.id, Lifecycle::Gone));
    assert!(members.endpoint(m.id).is_some());
    let mut other = member_entry("s-2", Some("127.0.0.1:9"), Lifecycle::Ready);
    other.zone = "nowhere".into();
    assert_eq!(members.apply_entry(&other, &zones, &kinds), None);
}
