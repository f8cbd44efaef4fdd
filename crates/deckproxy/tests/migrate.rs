//! The `deckproxy migrate` command: runs the real program on files of the old shape.

use deckproxy_standins::*;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A temporary folder of one test.
struct TestFolder(tempfile::TempDir);

impl TestFolder {
    fn new() -> TestFolder {
        TestFolder(tempfile::tempdir().unwrap())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn write_file(&self, name: &str, text: &str) -> PathBuf {
        std::fs::write(self.path(name), text).unwrap();
        self.path(name)
    }

    fn file_count(&self) -> usize {
        std::fs::read_dir(self.0.path()).unwrap().count()
    }
}

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let Output { status, stdout, stderr } =
        Command::new(env!("CARGO_BIN_EXE_deckproxy")).args(arguments).output().unwrap();
    (status.code(), String::from_utf8(stdout).unwrap(), String::from_utf8(stderr).unwrap())
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

/// A configuration of the old shape with only fields that this program reads.
fn clean_config() -> Value {
    let mut config = Setup::knowing(&[]).config();
    config["settings"]["report"].as_object_mut().unwrap().remove("via");
    config
}

#[test]
fn valid_file_migrates_and_second_run_changes_nothing() {
    let folder = TestFolder::new();
    let mut wanted = clean_config();
    let old = folder.write_file("old.json", &wanted.to_string());
    let shape = folder
        .write_file("shape.json", r#"{"settings": {"weightKind": "none", "limits": {"retryAfter": false}}}"#);
    let new = folder.path("new.json");
    let arguments = ["migrate", text(&old), "--out", text(&new), "--shape", text(&shape)];
    let (code, out, err) = run(&arguments);
    assert_eq!((code, err.as_str()), (Some(0), ""), "{out}");
    let first = std::fs::read(&new).unwrap();
    let migrated: Value = serde_json::from_slice(&first).unwrap();
    wanted["settings"]["weightKind"] = json!("none");
    wanted["settings"]["limits"]["retryAfter"] = json!(false);
    assert_eq!(migrated, wanted);
    assert_eq!(run(&["check", text(&new)]).0, Some(0));
    // The permissions stay, so that a gateway that runs as another user can read the new file too.
    let mode = |path| std::fs::metadata(path).unwrap().permissions();
    assert_eq!(mode(&new), mode(&old));
    let (code, out, _) = run(&arguments);
    assert_eq!(code, Some(0));
    assert!(out.contains("already has this content"), "{out}");
    // Migrating the migrated file changes nothing.
    let again = folder.path("again.json");
    assert_eq!(run(&["migrate", text(&new), "--out", text(&again), "--shape", text(&shape)]).0, Some(0));
    assert_eq!(std::fs::read(&again).unwrap(), first);
}

#[test]
fn dry_run_reports_the_same_and_changes_nothing() {
    let folder = TestFolder::new();
    let old = folder.write_file("old.json", &Setup::knowing(&[]).config().to_string());
    let new = folder.path("new.json");
    let (code, out, _) = run(&["migrate", text(&old), "--out", text(&new), "--dry-run"]);
    assert_eq!(code, Some(3));
    assert!(out.contains("settings.report.via: not read by this program"), "{out}");
    assert!(out.contains("nothing was changed"), "{out}");
    assert_eq!(folder.file_count(), 1);
}

#[test]
fn dropped_fields_are_listed_with_reason() {
    let folder = TestFolder::new();
    let site = TestSite::start();
    let mut config = site.setup().config();
    config["flavour"] = json!("of old");
    config["settings"]["familyInfo"]["colour"] = json!(3);
    let old = folder.write_file("old.json", &config.to_string());
    // The shape has other numbers of classes and zones, and lacks the machine types of the old members.
    let shape = json!({"settings": {
        "services": [{"name": "page", "aimMs": 600.0, "deadlineMs": 1500.0, "effect": "retryable"}],
        "zones": ["hub", "edge", "far"], "machineTypes": ["small", "parent", "origin"]}});
    let shape = folder.write_file("shape.json", &shape.to_string());
    let new = folder.path("new.json");
    let (code, out, err) = run(&["migrate", text(&old), "--out", text(&new), "--shape", text(&shape)]);
    assert_eq!((code, err.as_str()), (Some(3), ""));
    for line in [
        "flavour: not read by this program",
        "settings.familyInfo.colour: not read by this program",
        "settings.familyInfo.maxAgeMs: has 3 values for 1 classes; give it in the shape",
        "settings.familyInfo.zoneBalancers: has 2 values for 3 zones; give it in the shape",
        "known.events.0.members.members.0: flavor \"box\" is none of the machineTypes",
        "known.events.0.members.members.1: flavor \"box\" is none of the machineTypes",
    ] {
        assert!(out.contains(line), "{line} in {out}");
    }
    let migrated: Value = serde_json::from_slice(&std::fs::read(&new).unwrap()).unwrap();
    assert_eq!(migrated["known"]["events"][0]["members"]["members"].as_array().unwrap().len(), 2);
    assert_eq!(run(&["check", text(&new)]).0, Some(0));
}

#[test]
fn all_faults_are_reported_with_positions_and_nothing_is_written() {
    let folder = TestFolder::new();
    let bad = "{\n  \"listen\": \"nowhere\",\n  \"seed\": \"8c1f\",\n  \"settings\": {\"rules\": {\"coldFrom\": 1.5},\n    \
               \"weightKind\": \"heavy\", \"weightKind\": \"none\"}\n}\n";
    let old = folder.write_file("old.json", bad);
    let shape = folder.write_file("shape.json", "{\"settings\": {\"limits\": {\"sendCap\": -1}}}");
    let new = folder.path("new.json");
    let (code, out, err) = run(&["migrate", text(&old), "--out", text(&new), "--shape", text(&shape)]);
    assert_eq!((code, out.as_str()), (Some(1), ""));
    for line in [
        format!("{}:2:13: listen: \"nowhere\" is not allowed; allowed: an address", old.display()),
        format!("{}:4:38: settings.rules.coldFrom: \"1.5\" is not allowed; allowed: a number", old.display()),
        format!("{}:5:19: settings.weightKind: \"heavy\" is not allowed", old.display()),
        format!("{}:5:28: settings.weightKind: given twice", old.display()),
        format!("{}:1:37: settings.limits.sendCap: \"-1\" is not allowed", shape.display()),
    ] {
        assert!(err.contains(&line), "{line} in {err}");
    }
    assert_eq!(folder.file_count(), 2);
    assert_eq!(run(&["check", text(&old)]).0, Some(1));
}

#[test]
fn empty_truncated_and_foreign_files_are_rejected() {
    let folder = TestFolder::new();
    let whole = clean_config().to_string();
    let cut = &whole[..whole.len() / 2];
    for (name, content) in
        [("empty", ""), ("cut", cut), ("list", "[]"), ("comment", "// x\n{}"), ("bare", "{}")]
    {
        let old = folder.write_file(name, content);
        let (code, _, err) = run(&["migrate", text(&old), "--out", text(&folder.path("new.json"))]);
        assert_eq!(code, Some(1), "{name}");
        assert!(err.contains(&format!("{}:1:", old.display())), "{name}: {err}");
    }
    assert!(!folder.path("new.json").exists());
    let gone = folder.path("none.json");
    assert!(run(&["migrate", text(&gone), "--out", "x.json"]).2.contains("cannot be read"));
}

#[test]
fn input_is_never_overwritten_and_output_only_with_replace() {
    let folder = TestFolder::new();
    let old = folder.write_file("old.json", &clean_config().to_string());
    let before = std::fs::read(&old).unwrap();
    let (code, _, err) = run(&["migrate", text(&old), "--out", text(&old), "--replace"]);
    assert_eq!(code, Some(1));
    assert!(err.contains("is the input"), "{err}");
    assert_eq!(std::fs::read(&old).unwrap(), before);
    let new = folder.write_file("new.json", "mine");
    let arguments = ["migrate", text(&old), "--out", text(&new), "--set", "settings.weightKind=rough"];
    let (code, _, err) = run(&arguments);
    assert_eq!(code, Some(1));
    assert!(err.contains("--replace"), "{err}");
    assert_eq!(std::fs::read(&new).unwrap(), b"mine");
    assert_eq!(run(&[&arguments[..], &["--replace"]].concat()).0, Some(0));
    let migrated: Value = serde_json::from_slice(&std::fs::read(&new).unwrap()).unwrap();
    assert_eq!(migrated["settings"]["weightKind"], "rough");
    assert_eq!(folder.file_count(), 2, "no temporary file is left");
    // `--set` overrides the shape, later ones override earlier ones, and null removes a field.
    let shape = folder
        .write_file("shape.json", r#"{"settings": {"weightKind": "none", "limits": {"probes": false}}}"#);
    let last =
        [&arguments[..4], &["--shape", text(&shape), "--set", "settings.weightKind=live", "--replace"]]
            .concat();
    assert_eq!(run(&[&last[..], &["--set", "settings.limits.probes=null"]].concat()).0, Some(0));
    let migrated: Value = serde_json::from_slice(&std::fs::read(&new).unwrap()).unwrap();
    assert_eq!(
        (&migrated["settings"]["weightKind"], migrated["settings"]["limits"].get("probes")),
        (&json!("live"), None)
    );
    let (code, _, err) = run(&["migrate", text(&old), "--out", text(&folder.path("no/x.json"))]);
    assert_eq!(code, Some(1));
    assert!(err.contains("no/x.json: cannot be written"), "{err}");
    let (code, _, err) = run(&["migrate", text(&old), "--out", "x.json", "--set", "weightKind"]);
    assert_eq!(code, Some(1));
    assert!(err.contains("--set weightKind: no PATH=VALUE"), "{err}");
    let (code, _, err) =
        run(&["migrate", text(&old), "--out", "x.json", "--set", "settings.weightKind=heavy"]);
    assert_eq!(code, Some(1));
    assert!(err.contains("settings.weightKind: \"heavy\" is not allowed"), "{err}");
}

/// The real gateway serves with a file of the old shape, and with the migrated one.
#[test]
fn gateway_serves_with_the_old_file_and_the_migrated_one() {
    let folder = TestFolder::new();
    let site = TestSite::start();
    let setup = site.setup();
    let old = folder.write_file("old.json", &setup.config().to_string());
    let new = folder.path("new.json");
    let shape = json!({"settings": {"weightKind": "none",
        "limits": {"retryAfter": false, "secondCopies": true, "sendCap": 8}, "report": {"fields": ["util", "x0"]},
        "familyInfo": {"canJoin": false, "sideways": "any"}, "rules": {"fallMultiple": 2.0, "fallMs": 3000.0}}});
    let shape = folder.write_file("shape.json", &shape.to_string());
    let arguments = ["migrate", text(&old), "--out", text(&new), "--shape", text(&shape)];
    assert_eq!(run(&arguments).0, Some(3), "only report.via is left out");
    for path in [&old, &new] {
        let gateway = Gateway::spawn(&std::fs::read_to_string(path).unwrap(), setup.listen);
        until("the gateway listens", || std::net::TcpStream::connect(setup.listen).is_ok());
        let mut client = gateway.client();
        site.serve_object(&mut client, "7f3a9c21e0b4d655", b"x");
    }
    // A value out of range is rejected at the start, with field, value and what is allowed.
    let mut bad: Value = serde_json::from_slice(&std::fs::read(&new).unwrap()).unwrap();
    bad["settings"]["weightKind"] = json!("heavy");
    let mut gateway = Gateway::spawn(&bad.to_string(), setup.listen);
    assert_eq!(gateway.wait_for_exit(), Some(1));
    let wanted = "setting weightKind: \"heavy\" is not allowed; allowed: none, nominal, rough, live";
    until("the rejection is logged", || gateway.log().contains(wanted));
}
