//! Renamed log keys and texts are written in both spellings, with equal values.

use deckproxy::program::log_aliases::{ALIAS_KEY, AliasDrain, RENAMED_KEYS, RENAMED_TEXTS, Scope, old_text};
use deckproxy::program::subsystem::{Field, summary_text};
use deckproxy_standins::{Gateway, OBJECT, TestSite, until};
use serde_json::Value;
use slog::{Drain, Logger, info, o};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

/// Keys of the summary line, new and old.
const SUMMARY_KEYS: [(&str, &str); 10] = [
    ("accepted", "taken"),
    ("rejected", "refused"),
    ("cancelled", "gone"),
    ("invalid", "unusable"),
    ("in_flight", "owed"),
    ("health_checks", "probes"),
    ("upstreams", "links"),
    ("peak_connections", "most_sockets"),
    ("feed_event", "event"),
    ("broken_invariants", "broken"),
];

/// Sizes in the summary line, new and old.
const SIZES: [(&str, &str); 9] = [
    ("upstream_pools", "pools"),
    ("in_flight_attempts", "carried"),
    ("tasks", "chores"),
    ("read_buffers", "read"),
    ("write_buffers", "unread"),
    ("health_checks", "probing"),
    ("known_members", "peers"),
    ("pending_requests", "deciding"),
    ("collapsed_fills", "filling"),
];

/// Waits for the line with this message and returns it.
fn line(log: impl Fn() -> String, message: &str) -> Value {
    let mark = format!("\"msg\":\"{message}\"");
    let find = || log().lines().rfind(|line| line.contains(&mark)).and_then(|l| serde_json::from_str(l).ok());
    until(message, || find().is_some());
    find().unwrap()
}

/// The value of a field in a text such as `a:1,b:2`.
fn field_value<'a>(text: &'a str, name: &str) -> &'a str {
    let values = text.split([',', '[', ']']).filter_map(|part| part.split_once(':'));
    values
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value)
        .next()
        .unwrap_or_else(|| panic!("{name}: {text}"))
}

/// A gateway that logs JSON.
fn start(site: &TestSite) -> Gateway {
    let setup = site.setup();
    let path = std::env::temp_dir().join(format!("deckproxy-log-aliases-{}.json", std::process::id()));
    std::fs::write(&path, setup.config().to_string()).unwrap();
    let arguments = ["run", "--log-format", "json"].map(String::from);
    let gateway = Gateway::spawn_with(&path, setup.listen, "true", &arguments);
    until("the gateway is ready", || TcpStream::connect(setup.listen).is_ok());
    gateway
}

#[test]
fn lines_carry_both_spellings() {
    let site = TestSite::start();
    let gateway = start(&site);
    let mut client = gateway.client();
    client.expect_ready();
    site.serve_object(&mut client, OBJECT, b"body");
    gateway.signal("TERM");
    let shutdown = line(|| gateway.log(), "graceful shutdown begins");
    assert_eq!(shutdown["alias"], "told to end");
    assert!(shutdown["in_flight"].is_u64() && shutdown["in_flight"] == shutdown["open"], "{shutdown}");
    drop(client);
    let end = line(|| gateway.log(), "end");
    assert!(end["accepted"].as_u64() > Some(0), "{end}");
    for (new, old) in SUMMARY_KEYS {
        assert!(end[new].is_u64() && end[new] == end[old], "{new}, {old}: {end}");
    }
    let sizes = end["sizes"].as_str().unwrap();
    for (new, old) in SIZES {
        assert_eq!(field_value(sizes, new), field_value(sizes, old), "{new}, {old}: {sizes}");
    }
}

#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The JSON line that results from what the function logs.
fn logged(write: impl Fn(&Logger)) -> Value {
    let written = Written::default();
    let json = slog_json::Json::new(written.clone()).add_default_keys().build();
    write(&Logger::root(AliasDrain(Mutex::new(json).ignore_res()).ignore_res(), o!()));
    let bytes = written.0.lock().unwrap().clone();
    serde_json::from_slice(&bytes).unwrap()
}

#[test]
fn renamed_key_is_repeated_under_the_old_name_with_the_same_value_and_type() {
    let line = logged(|log| {
        info!(log, "summary"; "accepted" => 7_u64, "in_flight" => 3_usize, "feed" => true, "served" => 4);
    });
    assert_eq!((&line["accepted"], &line["taken"]), (&Value::from(7), &Value::from(7)));
    assert_eq!((&line["in_flight"], &line["owed"]), (&Value::from(3), &Value::from(3)));
    assert_eq!((&line["feed"], &line["served"]), (&Value::from(true), &Value::from(4)));
    assert!(line.get("open").is_none() && line.get(ALIAS_KEY).is_none(), "{line}");
    let view = logged(|log| info!(log, "fleet view"; "alive" => "a b", "stale" => true));
    assert_eq!((&view["alive"], &view["heard"]), (&Value::from("a b"), &Value::from("a b")));
    assert_eq!((&view["stale"], &view["old"]), (&Value::from(true), &Value::from(true)));
    let reason = logged(|log| info!(log, "reload: invalid"; "error" => %"line 3"));
    assert_eq!((&reason["error"], &reason["why"]), (&Value::from("line 3"), &Value::from("line 3")));
}

#[test]
fn same_key_has_the_old_name_of_its_own_line() {
    let line = logged(|log| info!(log, "graceful shutdown begins"; "in_flight" => 3));
    assert_eq!((&line["open"], line.get("owed")), (&Value::from(3), None));
}

#[test]
fn renamed_message_carries_the_old_one() {
    let line = logged(|log| info!(log, "graceful shutdown begins"));
    assert_eq!(line["msg"], "graceful shutdown begins");
    assert_eq!(line[ALIAS_KEY], "told to end");
}

#[test]
fn renamed_text_carries_the_old_one_with_its_numbers() {
    let text = "member s-1: connection closed, 4 attempts in flight";
    let line = logged(|log| info!(log, "peer"; "what" => text.to_string()));
    assert_eq!(line["what"], text);
    assert_eq!(line[ALIAS_KEY], "member s-1: connection closed, 4 attempts out");
    for (text, old) in [
        ("link to south (0): down; 0 of 2 endpoints are up", "link to south (0): cut; 0 of 2 ways are up"),
        (
            "the path to the sources is overloaded: the fleet admits 140 of 300 requests a second",
            "the way to the sources is crowded: the fleet lets in 140 of 300 requests a second",
        ),
        (
            "this process was paused for 1200 ms: its view of the fleet is stale",
            "this process stood still for 1200 ms: what it knew of the fleet is old",
        ),
    ] {
        let line = logged(|log| info!(log, "fleet"; "what" => text));
        assert_eq!((line["what"].as_str(), line[ALIAS_KEY].as_str()), (Some(text), Some(old)));
    }
    let same = logged(|log| info!(log, "peer"; "what" => "control feed: closed"));
    assert!(same.get(ALIAS_KEY).is_none(), "{same}");
}

#[test]
fn renamed_fields_of_the_summary_follow_in_their_old_spelling() {
    let fields = [
        Field::value("cap", "none"),
        Field::group("rejected", [Field::value("too_early", 2), Field::value("capped", 1)]),
        Field::group("open", [Field::value("retry", 5)]),
        Field::items("top", vec!["a".to_string(), "b".to_string()]),
    ];
    assert_eq!(
        summary_text(Scope::Recovery, &fields),
        "cap:none,rejected[too_early:2,capped:1],open[retry:5],top[a b],\
         alias[refused[hasty:2,capped:1],open[repeat:5]]"
    );
    assert_eq!(summary_text(Scope::Recovery, &fields[..1]), "cap:none");
}

#[test]
fn tables_are_unambiguous() {
    let mut seen = BTreeMap::new();
    for key in RENAMED_KEYS {
        assert_ne!(key.new, key.old);
        assert!(seen.insert((format!("{:?}", key.scope), key.new), key.old).is_none(), "{}", key.new);
    }
    let new: BTreeSet<&str> = RENAMED_TEXTS.iter().map(|text| text.new).collect();
    assert_eq!(new.len(), RENAMED_TEXTS.len());
    for text in RENAMED_TEXTS {
        assert_eq!(old_text(text.new).as_deref(), Some(text.old));
    }
}
