//! The instances' views of the fleet are read from their logs.

use deckproxy_rig::fleet_view::views;

#[test]
fn views_are_read_from_a_log() {
    let log = "{\"msg\":\"serving\"}\n{\"msg\":\"fleet view\",\"level\":\"INFO\",\"ts\":\"2026-12-01T23:16:10.70459065Z\",\
               \"store_checksum\":\"2d\",\"ejected\":1,\"observes\":4,\"stale\":true,\"in_majority\":true,\"expected\":5,\"confirmed\":2,\"alive\":\"i1 i3\",\"lost\":\"i2\"}\nrubbish \"fleet view\"\n";
    let views = views(log);
    assert_eq!(views.len(), 1);
    assert_eq!((views[0].heard.len(), views[0].observes, views[0].is_stale), (2, 4, true));
    assert!(views[0].lost.contains("i2"));
    assert!((views[0].at - 1_796_166_970_704.6).abs() < 1.0, "{}", views[0].at);
}
