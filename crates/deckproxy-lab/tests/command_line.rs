//! What a user may get wrong on the command line ends with exit code 2 and a line that names the place and the fault, and
//! never with a panic.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn decklab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_decklab")).args(arguments).output().expect("decklab starts")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Runs decklab, and checks that it cannot do its work for the reason that is given.
#[track_caller]
fn assert_fault(arguments: &[&str], reason: &str) {
    let output = decklab(arguments);
    let text = stderr(&output);
    assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
    assert!(text.contains(reason), "{arguments:?}: {reason:?} is not in {text}");
    assert!(!text.contains("panicked"), "{arguments:?}: {text}");
}

/// A folder of its own for a test, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("decklab-cli-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    /// Writes a file, and gives its path.
    fn file(&self, name: &str, bytes: impl AsRef<[u8]>) -> String {
        std::fs::write(self.0.join(name), bytes).unwrap();
        self.path(name)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().unwrap().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const RECORD: &str = "{\"leg\":\"client\",\"class\":\"page\",\"out\":5,\"start\":5000,\"end\":6000}\n";
const EXPERIMENT: &str = "seconds: 1 load { rate: 30 }\nvariants { name: \"gateway\" }\n";

#[test]
fn drill_rejects_a_run_that_is_too_short_for_it() {
    for (name, seconds, least) in [("fleet", "14", 36), ("overload", "39", 40), ("recovery", "7", 8)] {
        let reason = format!(
            "decklab drill: --seconds: {seconds} is too short: the drill of {name} takes {least} seconds at least"
        );
        assert_fault(&["drill", name, "--seconds", seconds], &reason);
    }
    // The default of 20 s is too short for some.
    assert_fault(&["drill", "fleet"], "--seconds: 20 is too short");
}

#[test]
fn drill_rejects_names_and_numbers_out_of_range() {
    assert_fault(&["drill"], "<NAME>");
    assert_fault(&["drill", "nothing"], "possible values: sites, flows, fleet, overload, recovery");
    for seconds in ["0", "3", "3601", "99999999999999999999", "many"] {
        assert_fault(&["drill", "sites", "--seconds", seconds], "--seconds <SECONDS>");
    }
    assert_fault(&["drill", "sites", "--seed", "18446744073709551616"], "--seed <SEED>");
}

#[test]
fn drill_rejects_a_spoil_that_it_has_no_checker_for() {
    for (name, seconds, spoil) in [
        ("sites", "4", "record"),
        ("flows", "4", "stale"),
        ("fleet", "36", "attempt"),
        ("overload", "40", "board"),
        ("recovery", "8", "effect"),
    ] {
        let reason = format!("decklab drill: --spoil: the drill of {name} has no checker for {spoil}");
        assert_fault(&["drill", name, "--seconds", seconds, "--spoil", spoil], &reason);
    }
}

#[test]
fn demo_rejects_bad_numbers_and_operator_files() {
    for (option, value) in
        [("--seconds", "0"), ("--rate", "0"), ("--clients", "0"), ("--gateways", "0"), ("--gateways", "25")]
    {
        assert_fault(&["demo", option, value], &format!("invalid value '{value}' for '{option}"));
    }
    let folder = Folder::new("demo");
    let missing = folder.path("missing.textproto");
    assert_fault(&["demo", "--operator", &missing], &format!("decklab demo: {missing}: No such file"));
    let directory = folder.path("");
    assert_fault(&["demo", "--operator", &directory], &format!("decklab demo: {directory}: Is a directory"));
    let binary = folder.file("binary.textproto", b"\xff\xfe");
    assert_fault(&["demo", "--operator", &binary], &format!("{binary}:1:1: not UTF-8"));
    let unknown = folder.file("unknown.textproto", "sites { nmae: \"x\" }");
    assert_fault(&["demo", "--operator", &unknown], &format!("{unknown}:1:9: sites.nmae: no such field"));
    assert_fault(&["demo", "--operator", &unknown, "--gateways", "2"], "cannot be used with");
}

#[test]
fn model_rejects_bad_files_sweeps_and_seeds() {
    assert_fault(&["model"], "an experiment's file is wanted");
    let folder = Folder::new("model");
    let missing = folder.path("missing.textproto");
    assert_fault(&["model", &missing], &format!("decklab model: {missing}: No such file"));
    let binary = folder.file("binary.textproto", b"seconds: 1\n\xff");
    assert_fault(&["model", &binary], &format!("{binary}:2:1: not UTF-8"));
    let good = folder.file("good.textproto", EXPERIMENT);
    for (sweep, reason) in [
        ("load.rate", "--sweep: FIELD=VALUES is wanted"),
        ("=3", "--sweep: there is no field "),
        ("load.rate=", "--sweep: \"\" is no value"),
        ("load.rate=much", "--sweep: \"much\" is no value"),
        ("seconds=0", "--sweep: seconds: over 0"),
        ("seconds=1e300", "--sweep: seconds: over 0"),
        ("load={}", "--sweep: load={}: "),
    ] {
        assert_fault(&["model", &good, "--seeds", "1", "--sweep", sweep], reason);
    }
    assert_fault(&["model", &good, "--seeds", "0"], "--seeds <SEEDS>");
    let last = u64::MAX.to_string();
    assert_fault(
        &["model", &good, "--seeds", "2", "--seed", &last],
        &format!("decklab model: --seed: 2 seeds from {last} on are more than there are"),
    );
    // The last seed itself can be run.
    let output = decklab(&["model", &good, "--seeds", "1", "--seed", &last]);
    assert!(!stderr(&output).contains("panicked"), "{}", stderr(&output));
}

#[test]
fn model_and_rig_reject_a_folder_that_takes_no_file() {
    let folder = Folder::new("out");
    let taken = folder.file("taken", "");
    let experiment = folder.file("experiment.textproto", EXPERIMENT);
    assert_fault(
        &["model", &experiment, "--seeds", "1", "--out", &taken],
        &format!("decklab model: {taken}: File exists"),
    );
    let plan = folder.file("plan.textproto", "seconds: 1 instances: 1 rate: 10 clients: 2\n");
    let output = decklab(&["rig", &plan, "--out", &taken]);
    assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
    assert!(stderr(&output).contains(&format!("decklab rig: {taken}: File exists")), "{}", stderr(&output));
    assert!(output.stdout.is_empty(), "the folder is looked at before the run");
}

#[test]
fn rig_rejects_bad_plans_and_lengths() {
    assert_fault(&["rig", "--seconds", "9"], "9 is not in 10..=3600");
    let folder = Folder::new("rig");
    let missing = folder.path("missing.textproto");
    assert_fault(&["rig", &missing], &format!("decklab rig: {missing}: No such file"));
    for (text, reason) in [
        ("seconds: 0", ":1:1: seconds: 0 is not from 1 to 3600"),
        ("seconds: inf", ":1:1: seconds: inf is not from 1 to 3600"),
        ("rate: nan", ":1:1: rate: NaN is not from 1 to 5000"),
        ("instances: 0", ":1:1: instances: 0 is not from 1 to 24"),
        ("instances: 100000", ":1:1: instances: 100000 is not from 1 to 24"),
        ("clients: 0", ":1:1: clients: 0 is not from 1 to 500"),
        ("faults { at: nan lasts: 1 kill: 0 }", ":1:1: faults[0]: from NaN to NaN s is not within the run"),
        ("sites { }", ":1:1: sites: no such field"),
    ] {
        let plan = folder.file("plan.textproto", text);
        assert_fault(&["rig", &plan], &format!("{plan}{reason}"));
    }
}

#[test]
fn flows_rejects_bad_folders_addresses_filters_and_times() {
    let folder = Folder::new("flows");
    let taken = folder.file("taken", "");
    let missing = folder.path("missing");
    for command in ["top", "follow"] {
        assert_fault(&["flows", command, &missing], &format!("decklab flows: {missing}: No such file"));
        let reason = "decklab flows: --where: column 7: expected a number";
        assert_fault(&["flows", command, &folder.path(""), "--where", "out > much"], reason);
    }
    let collect = |listen: &str, out: &str, reason: &str| {
        assert_fault(&["flows", "collect", "--listen", listen, "--out", out, "--seconds", "0"], reason);
    };
    collect("nonsense", &missing, "invalid socket address");
    collect("192.0.2.1:4739", &missing, "decklab flows: TCP: Cannot assign requested address");
    collect("127.0.0.1:0", &taken, &format!("decklab flows: {taken}: File exists"));
    folder.file("flows-00000001.jsonl", RECORD);
    let here = folder.path("");
    let top = |option: &str, value: &str, reason: &str| {
        assert_fault(&["flows", "top", &here, option, value], reason);
    };
    top("--from", "soon", "decklab flows: --from: \"soon\": expected a time");
    top("--to", "soon", "decklab flows: --to: \"soon\": expected a time");
    top("--from", "2999-01-01T00:00:00Z", "no matching record");
    top("--most", "0", "0 is not in 1..=1000");
    top("--svg", &folder.path("absent/top.svg"), "absent/top.svg: No such file");
    assert_fault(&["flows", "top", &here, "--from", "1m", "--to", "1h"], "--from: is not before --to");
}

/// Exporters may send any numbers as times: one that ends before it began, and years that no calendar writes.
#[test]
fn flows_shows_records_with_impossible_times() {
    let folder = Folder::new("times");
    let record =
        |start: u64, end: u64| RECORD.replace("5000", &start.to_string()).replace("6000", &end.to_string());
    for (start, end) in [(5000, 1000), (1000, u64::MAX), (u64::MAX - 1, u64::MAX), (u64::MAX - 1, 0)] {
        folder.file("flows-00000001.jsonl", record(start, end));
        let picture = folder.path("top.svg");
        let top = decklab(&["flows", "top", &folder.path(""), "--svg", &picture, "--csv"]);
        assert!(top.status.success(), "{start} to {end}: {}", stderr(&top));
        assert!(std::fs::read_to_string(&picture).unwrap().starts_with("<svg"));
        let follow = decklab(&["flows", "follow", &folder.path(""), "--all", "--seconds", "0"]);
        assert!(follow.status.success(), "{start} to {end}: {}", stderr(&follow));
        assert_eq!(String::from_utf8_lossy(&follow.stdout).lines().count(), 1);
    }
}

#[test]
fn measure_rejects_unknown_names_lengths_and_programs() {
    assert_fault(&["measure", "nothing"], "possible values: sites, routes, flows, model, fleet, program");
    assert_fault(&["measure", "fleet", "--seconds", "0"], "0 is not in 2..=120");
    assert_fault(&["measure", "program"], "--beside <PROGRAM>");
    let folder = Folder::new("measure");
    let missing = folder.path("missing");
    let beside = |program: &str, reason: &str| {
        assert_fault(&["measure", "program", "--beside", program], reason);
    };
    beside(&missing, &format!("decklab measure: {missing}: No such file"));
    let text = folder.file("text", "no program");
    beside(&text, &format!("decklab measure: {text}: is not an executable program"));
    beside(&folder.path(""), "is not an executable program");
}

/// The load generator shares the clients out among several threads: with one client most of them have none.
#[test]
fn rig_runs_an_overload_plan_with_a_single_client() {
    let folder = Folder::new("single");
    let plan = folder.file("plan.textproto", "seconds: 1 instances: 1 rate: 20 clients: 1 throng: true\n");
    let output = decklab(&["rig", &plan]);
    assert!(output.status.success() && !stderr(&output).contains("panicked"), "{}", stderr(&output));
}

/// `decklab ... | head` closes the pipe while decklab still prints.
#[test]
fn a_closed_standard_output_is_no_failure() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let mut command = Command::new(env!("CARGO_BIN_EXE_decklab"));
    let output = command.args(["model", "--defaults"]).stdout(writer).output().unwrap();
    assert!(output.status.success() && output.stderr.is_empty(), "{}", stderr(&output));
}

#[test]
fn gateway_command_line_names_what_cannot_be_read() {
    let missing = "/nonexistent/operator.textproto";
    let output = decklab(&["gateway", "check", missing]);
    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
    let text = format!("{}{}", String::from_utf8_lossy(&output.stdout), stderr(&output));
    assert!(text.contains(&format!("{missing}: cannot be read: No such file")), "{text}");
    assert!(!Path::new(missing).exists());
}
