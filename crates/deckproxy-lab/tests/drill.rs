//! Drills pass, and fail when a promise is broken on purpose. Demo and rig run and print their results.

use std::process::{Command, Output};
use std::sync::Mutex;

/// Drills measure times, so that only one test runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn drill(name: &str, seconds: &str, options: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_decklab"));
    command.args(["drill", name, "--seconds", seconds, "--json"]).args(options);
    command.output().expect("decklab starts")
}

fn last_line(output: &Output) -> serde_json::Value {
    let text = String::from_utf8_lossy(&output.stdout);
    let line = text.lines().last().unwrap_or_default();
    serde_json::from_str(line)
        .unwrap_or_else(|e| panic!("{e}: {line}\n{}", String::from_utf8_lossy(&output.stderr)))
}

#[test]
fn sites_drill_passes_and_detects_each_violation() {
    let spoils = [
        ("stale", "stale_after_purge"),
        ("attempt", "double_attempts"),
        ("effect", "double_effects"),
        ("answer", "unanswered"),
    ];
    let _guard = ONE_AT_A_TIME.lock().unwrap();
    let good = drill("sites", "8", &["--seed", "3"]);
    let report = last_line(&good);
    assert!(good.status.success(), "{report} {}", String::from_utf8_lossy(&good.stderr));
    assert_eq!(report["ok"], true);
    assert!(report["crossed"].as_u64() > Some(300) && report["cuts"].as_u64() > Some(1), "{report}");
    std::thread::scope(|scope| {
        let bad = spoils.map(|(spoil, wrong)| {
            (scope.spawn(move || drill("sites", "4", &["--seed", "3", "--spoil", spoil])), wrong)
        });
        for (output, wrong) in bad {
            let output = output.join().unwrap();
            let report = last_line(&output);
            assert_eq!(output.status.code(), Some(1), "{wrong}: {report}");
            assert!(report[wrong].as_u64() >= Some(1) && report["ok"] == false, "{wrong}: {report}");
        }
    });
}

#[test]
fn flows_drill_passes_and_detects_a_missing_record() {
    let _guard = ONE_AT_A_TIME.lock().unwrap();
    let good = drill("flows", "6", &["--seed", "3"]);
    let report = last_line(&good);
    assert!(good.status.success(), "{report} {}", String::from_utf8_lossy(&good.stderr));
    assert!(report["requests"].as_u64() > Some(800) && report["asked_down"].as_u64() > Some(200), "{report}");
    let bad = drill("flows", "4", &["--seed", "3", "--spoil", "record"]);
    let report = last_line(&bad);
    assert_eq!((bad.status.code(), &report["ok"]), (Some(1), &false.into()), "{report}");
    assert!(report["byte_error_kept"].as_f64() > Some(0.0), "{report}");
    // A violation that this drill has no checker for is rejected.
    assert_eq!(drill("sites", "4", &["--spoil", "record"]).status.code(), Some(2));
}

#[test]
fn recovery_drill_passes_and_detects_doubled_attempts() {
    let _guard = ONE_AT_A_TIME.lock().unwrap();
    let good = drill("recovery", "8", &["--seed", "3"]);
    let report = last_line(&good);
    assert!(good.status.success(), "{report} {}", String::from_utf8_lossy(&good.stderr));
    assert!(report["goodput_trough"].as_f64() < Some(0.9), "the origin was not slow enough: {report}");
    assert!(report["off"]["goodput_before"].as_f64() > Some(0.9) && report["stuck"] == false, "{report}");
    let bad = drill("recovery", "8", &["--seed", "3", "--spoil", "attempt"]);
    let report = last_line(&bad);
    assert_eq!((bad.status.code(), &report["ok"]), (Some(1), &false.into()), "{report}");
}

#[test]
fn demo_serves_requests_and_exits() {
    let _guard = ONE_AT_A_TIME.lock().unwrap();
    let output =
        Command::new(env!("CARGO_BIN_EXE_decklab")).args(["demo", "--seconds", "2"]).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert!(text.contains("rules broken") && text.contains("none"), "{text}");
}

#[test]
fn fleet_drill_detects_each_violation() {
    let _guard = ONE_AT_A_TIME.lock().unwrap();
    // It does not run where the time does not suffice for each fault once.
    assert_eq!(drill("fleet", "20", &[]).status.code(), Some(2));
    let spoils = [
        ("probes", "times the intended health checks of a member"),
        ("coverage", "a member was not checked"),
        ("board", "boards converged after None"),
    ];
    std::thread::scope(|scope| {
        let bad = spoils.map(|(spoil, wrong)| {
            (scope.spawn(move || drill("fleet", "36", &["--seed", "3", "--spoil", spoil])), wrong)
        });
        for (output, wrong) in bad {
            let output = output.join().unwrap();
            let (report, stderr) = (last_line(&output), String::from_utf8_lossy(&output.stderr).into_owned());
            assert_eq!(output.status.code(), Some(1), "{wrong}: {report}");
            assert!(stderr.contains(wrong) && report["ok"] == false, "{wrong}: {stderr} {report}");
            let faults = ["kills", "pauses", "splits", "restarts"];
            assert!(faults.iter().all(|f| report[f].as_u64() > Some(0)), "{report}");
        }
    });
}

#[test]
fn rig_writes_the_page_of_a_run_and_reports_all_faults_of_a_bad_plan() {
    let _guard = ONE_AT_A_TIME.lock().unwrap();
    let folder = std::env::temp_dir().join(format!("deckproxy-rig-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let plan = folder.join("plan.textproto");
    let run = |text: &str| {
        std::fs::write(&plan, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_decklab"));
        command.arg("rig").arg(&plan).arg("--out").arg(folder.join("out")).output().unwrap()
    };
    let bad = run(
        "instances: 2\nseconds: 5\nfaults { at: 1 lasts: 9 kill: 7 }\nfaults { at: 1 lasts: 1 split { instances: [0, 1] } }\n\
                   faults { at: 1 lasts: 1 cache { number: 99 hangs: true } }\n",
    );
    let stderr = String::from_utf8_lossy(&bad.stderr).into_owned();
    assert_eq!(bad.status.code(), Some(2), "{stderr}");
    for want in [
        ":3:1: faults[0]: from 1 to 10 s is not within the run of 5 s",
        ":3:1: faults[0]: there is no instance 7; they are 0 to 1",
        ":4:1: faults[1]: some of the instances are wanted, and not all",
        ":5:33: faults[2].cache.number: there is no cache 99; they are 0 to 5",
    ] {
        assert!(stderr.contains(want), "{want} is not in {stderr}");
    }
    let good = run(
        "question: \"a kill\" seconds: 6 instances: 2 rate: 40 clients: 6\nfaults { at: 1 lasts: 2 kill: 1 }\n",
    );
    let text = String::from_utf8_lossy(&good.stdout).into_owned();
    assert!(good.status.success(), "{text} {}", String::from_utf8_lossy(&good.stderr));
    assert!(text.contains("kill: 1 begins") && text.contains("served by instance: i0"), "{text}");
    let page = std::fs::read_to_string(folder.join("out/timeline.html")).unwrap();
    assert!(page.contains("<svg") && page.contains("a kill") && !page.contains("could not be drawn"));
    assert!(std::fs::read_to_string(folder.join("out/i1.log")).unwrap().contains("fleet view"));
    // The plan that was written can be run again.
    let again = std::fs::read_to_string(folder.join("out/plan.textproto")).unwrap();
    assert!(again.contains("faults { at: 1.0 lasts: 2.0 kill: 1 }"), "{again}");
    std::fs::remove_dir_all(&folder).unwrap();
}
