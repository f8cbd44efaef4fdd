//! Operator files: reporting of all errors with their positions, the defaults and the examples.

use deckproxy_operator::{FileError, MAX_FILE_SIZE, PlatformClass, PlatformSettings, defaults, read};

fn class(name: &str, priority_weight: f64, has_effect: bool) -> PlatformClass {
    PlatformClass { name: name.to_string(), priority_weight, has_effect }
}

fn platform(classes: Vec<PlatformClass>) -> PlatformSettings {
    PlatformSettings { classes, sends_retry_after: true, max_retry_after: 500.0 }
}

fn errors_of(text: &str) -> Vec<String> {
    read(text.as_bytes()).unwrap_err().iter().map(FileError::to_string).collect()
}

const VALID: &str = r#"sites {
  name: "north" # this one
  peers { site: "south" addresses: ["127.0.0.1:7302", "127.0.0.1:7303"] }
  routes { class: 'page' prefix: "7f" groups { first: 3 last: 9 } home: "south" mode: COPIES }
  link < heartbeat_ms: 100; silence_ms: 200, >
}
"#;

#[test]
fn a_valid_file_is_read_with_its_defaults() {
    let sites = read(VALID.as_bytes()).unwrap().sites.unwrap();
    let rules = sites.route_rules();
    assert_eq!((rules[0].prefix, rules[0].prefix_digits, rules[0].groups), (0x7f << 56, 2, (3, 9)));
    assert!(rules[0].copies_allowed);
    let link = sites.link_limits();
    assert_eq!(
        (link.heartbeat_interval, link.silence_timeout, link.resume_timeout),
        (100.0, 200.0, f64::from(defaults::link::RESUME_TIMEOUT_MS))
    );
    assert_eq!(sites.trust_limits().purge_grace, f64::from(defaults::trust::PURGE_GRACE_MS));
    assert_eq!(read(b"").unwrap().sites, None, "no subsystem is enabled");
}

#[test]
fn the_example_is_valid() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sites.example.textproto");
    read(&std::fs::read(path).unwrap()).unwrap();
}

#[test]
fn comments_of_the_schema_state_the_defaults() {
    let schema = include_str!("../proto/operator.proto");
    let source = include_str!("../src/defaults.rs");
    let mut seen = 0;
    let mut documented_field = None;
    for line in source.lines().map(str::trim_start) {
        // The doc comment of each constant begins with the message and the field.
        if let Some((message, field)) =
            line.strip_prefix("/// `").and_then(|l| l.split('`').next()?.split_once('.'))
        {
            documented_field = Some((message, field));
        }
        let Some(line) = line.strip_prefix("pub const ") else { continue };
        let value = line.split_once("= ").unwrap().1.trim_end_matches(';').replace('_', "");
        let (message, field) =
            documented_field.take().unwrap_or_else(|| panic!("no field is named for {line}"));
        let from =
            schema.find(&format!("\nmessage {message} {{")).unwrap_or_else(|| panic!("no message {message}"));
        let within = &schema[from..];
        let at = within.find(&format!(" {field} = ")).unwrap_or_else(|| panic!("no field {message}.{field}"));
        let comment = &within[within[..at].rfind("Default ").unwrap()..at];
        assert!(comment.starts_with(&format!("Default {value}.")), "{message}.{field}: {comment}");
        seen += 1;
    }
    assert!(seen > 10);
}

#[test]
fn unknown_repeated_and_mistyped_fields_are_all_reported_at_once() {
    let text = "sites {\n  nmae: \"x\"\n  name: 5\n  listen: \"a\" listen: \"b\"\n  routes { mode: SOMETIMES }\n}\nlink {}\n";
    let errors = errors_of(text);
    assert_eq!(errors.len(), 5, "{errors:#?}");
    assert!(errors[0].starts_with("2:3: sites.nmae: no such field"));
    assert!(errors[1].starts_with("3:3: sites.name: "));
    assert!(errors[2].starts_with("4:15: sites.listen: given twice"));
    assert!(errors[3].starts_with("5:12: sites.routes[0].mode: "));
    assert!(errors[4].starts_with("7:1: link: no such field"));
}

#[test]
fn invalid_values_and_relations_are_all_reported_at_once() {
    let text = r#"sites {
  name: "North"
  listen: "127.0.0.1:1"
  peers { site: "north" addresses: "127.0.0.1:1" connections: 0 }
  peers { site: "south" }
  peers { site: "south" addresses: "300.0.0.1:2" }
  routes { prefix: "7G" home: "south" }
  routes { home: "west" groups { first: 9 last: 300 } }
  routes { home: "west" groups { first: 9 last: 8 } }
  routes { class: "page" home: "south" groups { first: 0 last: 10 } }
  routes { class: "page" home: "south" groups { first: 10 last: 20 } }
  link { heartbeat_ms: 100 silence_ms: 150 chunk_kb: 64 credit_kb: 32 repeats_share: 1.5 }
  trust { grace_ms: 500 lease_ms: 500 }
}"#;
    let errors = errors_of(text);
    for want in [
        "2:3: sites.name: ",
        "4:25: sites.peers[0].addresses[0]: \"127.0.0.1:1\" is this gateway's own listen address",
        "4:50: sites.peers[0].connections: ",
        "5:3: sites.peers[1].addresses: ",
        "6:11: sites.peers[2].site: \"south\" is already a peer",
        "6:25: sites.peers[2].addresses[0]: ",
        "7:12: sites.routes[0].prefix: ",
        "8:12: sites.routes[1].home: no peer is named \"west\"",
        "8:43: sites.routes[1].groups.last: ",
        "9:43: sites.routes[2].groups.last: below first",
        "sites.routes[4].prefix: matches the same as sites.routes[3]",
        "12:28: sites.link.silence_ms: 150 is below twice heartbeat_ms",
        "sites.link.credit_kb: below chunk_kb",
        "sites.link.repeats_share: ",
        "13:3: sites.trust: lease_ms (500) must be below grace_ms (500)",
    ] {
        assert!(errors.iter().any(|line| line.contains(want)), "{want} is not in {errors:#?}");
    }
}

#[test]
fn syntax_errors_are_reported_with_their_position() {
    assert!(errors_of("sites {\n  name: \"north\n}")[0].starts_with("2:"));
    assert!(errors_of("sites {\n  name: \"a\"\n")[0].contains("the text ends"));
    assert!(errors_of("sites { name: \"a\" }")[0].contains("nothing would be linked"));
    assert!(errors_of("sites }")[0].starts_with("1:"));
    let bytes = read(b"# caf\xe9\n").unwrap_err();
    assert_eq!((bytes[0].line, bytes[0].column, &*bytes[0].message), (1, 6, "not UTF-8"));
    let large = vec![b'#'; MAX_FILE_SIZE + 1];
    assert!(read(&large).unwrap_err()[0].message.contains("the maximum is 1000000"));
    // Nesting of any depth is an error and does not overflow the stack.
    let deep = "sites {".repeat(100_000);
    assert!(read(deep.as_bytes()).is_err());
}

const FLOWS: &str =
    "flows { collectors { address: \"127.0.0.1:4739\" transport: TCP } meter { active_ms: 20000 } }";

#[test]
fn flows_are_read_with_defaults_and_the_example_is_valid() {
    let flows = read(FLOWS.as_bytes()).unwrap().flows.unwrap();
    let (settings, limits) = (flows.settings(), flows.meter_limits());
    assert_eq!((settings.max_message, settings.message_rate, settings.replicate), (1400, 0, false));
    assert_eq!((limits.active_timeout, limits.idle_timeout, limits.prefix_bits), (20_000, 15_000, (32, 64)));
    assert_eq!(flows.collector_endpoints().len(), 1);
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/flows.example.textproto");
    assert!(read(&std::fs::read(path).unwrap()).unwrap().flows.is_some());
}

#[test]
fn errors_of_flows_are_reported_at_their_positions() {
    let text = "flows {\n  protocol: NETFLOW_V9\n  collectors { address: \"127.0.0.1:1\" transport: TCP }\n  \
                collectors { address: \"127.0.0.1:1\" }\n  meter { active_ms: 5000 }\n}\n";
    let errors = errors_of(text);
    assert_eq!(errors.len(), 3, "{errors:#?}");
    assert!(errors[0].starts_with("3:39: flows.collectors[0].transport: NetFlow v9"), "{errors:#?}");
    assert!(errors[1].starts_with("4:16: flows.collectors[1].address: "), "{errors:#?}");
    assert!(errors[2].starts_with("5:11: flows.meter.active_ms: below idle_ms"), "{errors:#?}");
    let text = "flows { meter { v4_bits: 8 folded_v4_bits: 9 idle_ms: 70000 } message_bytes: 100 }";
    let errors = errors_of(text);
    assert_eq!(errors.len(), 4, "{errors:#?}");
    assert!(
        errors.iter().any(|t| t.contains("folded_v4_bits: 9 is over v4_bits, which is 8")),
        "{errors:#?}"
    );
    assert!(
        errors.iter().any(|t| t.contains("idle_ms: 70000 is over active_ms, which is 60000")),
        "{errors:#?}"
    );
}

#[test]
fn recovery_has_defaults_a_valid_example_and_checks() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/recovery.example.textproto");
    let recovery = read(&std::fs::read(path).unwrap()).unwrap().recovery.unwrap();
    let without_page = platform(vec![class("post", 3.0, false)]);
    let all = platform(vec![class("page", 1.0, false), class("post", 3.0, false), class("once", 3.0, false)]);
    let settings = recovery.settings(&all);
    assert_eq!(settings.classes.iter().map(|c| c.priority_weight).collect::<Vec<_>>(), [0.0, 1.0, 1.0]);
    assert_eq!(
        (settings.retry_budget.unwrap().share, settings.max_retry_after, settings.shedding_steps.len()),
        (0.2, 500.0, 1)
    );
    assert_eq!(recovery.unknown_classes(&without_page), ["page"]);
    assert!(settings.enforces_retry_after, "clients are sent a Retry-After");
    let without_retry_after = PlatformSettings { sends_retry_after: false, ..without_page };
    assert!(
        !recovery.settings(&without_retry_after).enforces_retry_after,
        "none is enforced on clients that are sent none"
    );
    let errors = errors_of(
        "recovery {\n  bad_share: 0.95\n  give_up { class: \"a\" enter: 0.5 leave: 0.5 }\n  \
         give_up { class: \"a\" enter: 0.4 leave: 0.1 }\n}\n",
    );
    assert_eq!(errors.len(), 4, "{errors:#?}");
    assert!(errors[0].starts_with("2:3: recovery.bad_share: good_share (0.9) is below"), "{errors:#?}");
    assert!(errors[1].contains("leave (0.5) must be under enter (0.5)"), "{errors:#?}");
}

#[test]
fn the_fleet_has_defaults_a_valid_example_and_checks() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.example.textproto");
    let fleet = read(&std::fs::read(path).unwrap()).unwrap().fleet.unwrap();
    let settings = fleet.settings("n1", "edge-1", 7).unwrap();
    assert_eq!((&*settings.own.name, &*settings.own.zone, settings.own.incarnation), ("n1", "edge-1", 7));
    assert_eq!(
        (
            settings.expected_instances,
            settings.observers,
            settings.health_check_interval,
            settings.bytes_per_second
        ),
        (2, 2, 1000.0, 16.0 * 1024.0)
    );
    let error = fleet.settings("Northern Gateway", "edge-1", 7).unwrap_err();
    let text = error.to_string();
    assert!(text.starts_with("fleet.instance must be set: the platform's \"Northern Gateway\""), "{text}");
    let errors = errors_of(
        "fleet {\n  name: \"Edge\"\n  listen: \"0.0.0.0:7400\"\n  seeds: [\"10.0.0.1:7400\", \"192.0.2.1:7400\"]\n  \
         prefixes: \"10.0.0.1/8\"\n  instance: \"a b\"\n  probes { observers: 9 interval_ms: 50 }\n  \
         ways { instance: \"x\" address: \"10.0.0.2:1\" }\n  ways { instance: \"x\" address: \"10.0.0.3:1\" }\n}\n",
    );
    for want in [
        "2:3: fleet.name: ",
        "3:3: fleet.listen: 0.0.0.0:7400 is not an address at which others reach this instance: set fleet.address",
        "4:3: fleet.seeds[1]: 192.0.2.1:7400 is in none of fleet.prefixes",
        "5:3: fleet.prefixes[0]: \"10.0.0.1/8\" has bits set past its prefix length; did you mean 10.0.0.0/8?",
        "6:3: fleet.instance: \"a b\" is not a name",
        "7:12: fleet.probes.observers: ",
        "7:25: fleet.probes.interval_ms: ",
        "9:10: fleet.ways[1].instance: \"x\" already has a way",
    ] {
        assert!(errors.iter().any(|line| line.contains(want)), "{want} is not in {errors:#?}");
    }
    assert_eq!(errors.len(), 8, "{errors:#?}");
}

#[test]
fn overload_has_defaults_a_valid_example_and_checks() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/overload.example.textproto");
    let fleet = read(&std::fs::read(path).unwrap()).unwrap().fleet.unwrap();
    let overload = fleet.overload.unwrap();
    assert_eq!(overload.client_identity(), deckproxy_operator::Client::Address);
    let settings = overload.settings(
        &fleet.name,
        &platform(vec![
            class("a", 1.0, false),
            class("b", 3.0, true),
            class("c", 1.0, false),
            class("d", 2.0, false),
        ]),
    );
    assert_eq!(
        settings.classes.iter().map(|c| (c.band, c.has_effect)).collect::<Vec<_>>(),
        [(0, false), (2, true), (0, false), (1, false)]
    );
    assert_eq!(
        (
            settings.fleet.as_str(),
            settings.limits.retry_share,
            settings.max_retry_after,
            settings.min_retry_after
        ),
        ("edge", 0.2, 500.0, 50.0)
    );
    let errors = errors_of(
        "fleet {\n  name: \"e\" listen: \"127.0.0.1:1\" prefixes: \"127.0.0.0/8\"\n  overload { good_share: 0.5 share_of_repeats: 2 least_per_s: 0 }\n}\nrecovery { }\n",
    );
    assert_eq!(errors.len(), 4, "{errors:#?}");
    assert!(errors.iter().all(|t| t.starts_with("3:")), "{errors:#?}");
    assert!(errors.iter().any(|t| t.contains("good_share (0.5) is below bad_share (0.85)")), "{errors:#?}");
    assert!(errors.iter().any(|t| t.contains("leave one of them out")), "{errors:#?}");
}
