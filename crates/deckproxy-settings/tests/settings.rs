//! Reading settings from text: values, defaults and errors.

use deckproxy_control::interface::{Group, Idempotency, Siblings};
use deckproxy_settings as settings;

const CONF: &str = "services.count=1\nservices.0.aimMs=400.0\nservices.0.deadlineMs=2000.0\n\
    services.0.effect=retryable\nservices.0.group=all\nfamilyInfo.shieldKind=1\nfamilyInfo.sourceKind=2\n\
    familyInfo.bypassAllowed=true\nfamilyInfo.canJoin=true\nfamilyInfo.flowKbPerS=1000.0\n\
    familyInfo.zoneBalancers=0,1\ngroupSize=1\nlocality=1\nlimits.sendCap=4\nnot.known=a,b\n";

#[test]
fn settings_are_read_and_invalid_ones_are_named() {
    let conf = settings::read(CONF).unwrap();
    let s = conf.settings;
    assert_eq!((s.zone, s.routers, s.max_attempts), (1, 1, 4));
    assert_eq!((s.parent_kind, s.origin_kind, s.siblings), (Some(1), Some(2), Siblings::None));
    assert_eq!((s.classes[0].idempotency, s.classes[0].freshness_lifetime), (Idempotency::Idempotent, 0.0));
    assert_eq!(settings::read("familyInfo.shieldKind=-1").unwrap().settings.parent_kind, None);
    assert_eq!(settings::read("").unwrap().settings.classes.len(), 0);
    let listed = "services.count=2\nfamilyInfo.maxAgeMs=0.0,12000.0\nfamilyInfo.goesThrough=false,true\n\
        services.0.effect=dedup\nservices.0.group=cell\nrules.coldFrom=0.2\nfamilyInfo.upperColdFrom=0.1\n\
        rules.fallMs=1500.0\nreport.fields=busy_reqs,x1\n";
    let conf = settings::read(listed).unwrap();
    assert_eq!(conf.settings.classes[1].freshness_lifetime, 12000.0);
    assert!(conf.settings.classes[1].write && !conf.settings.classes[0].write);
    assert_eq!(
        (conf.settings.classes[0].idempotency, conf.settings.classes[0].group),
        (Idempotency::Keyed, Group::Cell)
    );
    assert_eq!(conf.settings.classes[1].idempotency, Idempotency::NotIdempotent, "not idempotent by default");
    assert_eq!(
        (conf.settings.cache_slow_start.initial_share, conf.settings.parent_slow_start.initial_share),
        (0.2, 0.1)
    );
    assert_eq!(conf.settings.parent_slow_start.overload_window, 1500.0);
    let load = settings::read_load_report([("busy_reqs", 3.0), ("x1", 0.5)]).unwrap();
    assert_eq!((load.in_flight, load.link, load.busy_share), (Some(3.0), Some(0.5), None));
    assert_eq!(settings::read_load_report([]), None);
    for bad in [
        "groupSize=many",
        "services.count=900",
        "rules.fallMs=NaN",
        "familyInfo.sideways=up",
        "services.count=1\nservices.0.effect=odd",
        "familyInfo.zoneBalancers=1,x",
    ] {
        let text = settings::read(bad).unwrap_err().to_string();
        assert!(text.contains("setting"), "{bad}: {text}");
    }
}

#[test]
fn load_report_values_are_read_by_either_name() {
    let load = settings::read_load_report([("inflight", 7.0), ("util", 0.61), ("unknown", 1.0)]).unwrap();
    assert_eq!((load.in_flight, load.link, load.busy_share), (Some(7.0), None, Some(0.61)));
}

#[test]
fn names_and_limits_are_read() {
    let text = "services.count=2\nservices.0.name=page\nservices.1.name=post\nzones=hub,edge\n\
        machineTypes=box,origin\nlimits.connIdleMs=15000.0\nlimits.connectTimeoutMs=400.0\n\
        limits.maxStreams=100\nlimits.maxOpen=20000\nrules.answerSlackMs=8.0\nlimits.probes=true\n";
    let conf = settings::read(text).unwrap();
    assert_eq!(
        (conf.classes, conf.zones),
        (vec!["page".into(), "post".into()], vec!["hub".into(), "edge".into()])
    );
    assert_eq!(conf.member_kinds, ["box", "origin"]);
    let l = conf.limits;
    assert_eq!(
        (l.idle_timeout, l.connect_timeout, l.max_streams, l.max_requests, l.answer_slack, l.health_checks),
        (15000.0, 400.0, 100, 20000, 8.0, true)
    );
    let unsent = |text: &str| settings::read(text).unwrap().limits.unsent_timeout;
    assert_eq!(unsent("limits.connectTimeoutMs=400.0\nrules.drainGraceMs=500.0"), 400.0);
    assert_eq!(unsent("limits.connectTimeoutMs=400.0\nrules.drainGraceMs=300.0"), 300.0);
    assert!(settings::read("limits.maxStreams=0").is_err(), "a connection must allow at least one stream");
}

#[test]
fn weights_are_capacities_unless_their_kind_is_live_or_none() {
    let are_capacities = |text: &str| settings::read(text).unwrap().settings.weights_are_capacities;
    assert!(are_capacities("") && are_capacities("weightKind=nominal") && are_capacities("weightKind=rough"));
    assert!(!are_capacities("weightKind=none") && !are_capacities("weightKind=live"));
}

#[test]
fn an_invalid_value_is_rejected_with_its_key_and_what_is_allowed() {
    let text = settings::read("rules.coldFrom=1.5\nweightKind=heavy\nlimits.sendCap=-1\nunknown.key=x")
        .unwrap_err()
        .to_string();
    for part in [
        "setting rules.coldFrom: \"1.5\" is not allowed; allowed: a number from 0 to 1",
        "setting weightKind: \"heavy\" is not allowed; allowed: none, nominal, rough, live",
        "setting limits.sendCap: \"-1\" is not allowed",
    ] {
        assert!(text.contains(part), "{text}");
    }
    assert!(!text.contains("unknown.key"), "{text}");
}

#[test]
fn max_attempts_is_limited_to_what_one_byte_can_number() {
    let max_attempts =
        |cap: u32| settings::read(&format!("limits.sendCap={cap}")).unwrap().settings.max_attempts;
    assert_eq!([0, 1, 255, 256].map(max_attempts), [0, 1, 255, 256]);
    assert_eq!([257, 300, u32::MAX].map(max_attempts), [256; 3]);
}
