//! `decklab model` as an experimenter runs it.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Instant;

fn decklab(options: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_decklab")).arg("model").args(options).output().unwrap()
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("decklab-model-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

const GOOD: &str = "question: \"Which?\"\nseconds: 4 load { rate: 300 schedule: \"1 + t / 4\" }\n\
                    faults { at: 1 lasts: 1 crash { share: 0.5 } }\n\
                    variants { name: \"gateway\" }\nvariants { name: \"random\" host: RANDOM }\n";

#[test]
fn experiment_is_run_stored_drawn_and_resumed() {
    let folder = folder("good");
    let (file, out) = (folder.join("e.textproto"), folder.join("out"));
    std::fs::write(&file, GOOD).unwrap();
    let options = [file.to_str().unwrap(), "--seeds", "2", "--json", "--out", out.to_str().unwrap()];
    let first = decklab(&options);
    let text = String::from_utf8(first.stdout).unwrap();
    let line: serde_json::Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!(
        (line["variants"]["gateway"]["runs"].as_u64(), line["variants"]["gateway"]["rule_breaks"].as_u64()),
        (Some(2), Some(0)),
        "{text}"
    );
    assert!(line["variants"]["gateway"]["requests"].as_u64() > Some(2000), "{text}");
    let page = std::fs::read_to_string(out.join("report.html")).unwrap();
    assert!(
        page.contains("Which?") && page.matches("<svg").count() == 6 && page.contains("0.5 of caches crash")
    );
    let points = std::fs::read_to_string(out.join("points.csv")).unwrap();
    assert!(points.starts_with("variant,seed,at,wanted,") && points.lines().count() > 50, "{points}");
    // The records are there: nothing is run again, and all comes out the same.
    let start = Instant::now();
    let again = decklab(&options);
    assert_eq!(String::from_utf8(again.stdout).unwrap().lines().last(), text.lines().last());
    assert!(start.elapsed().as_secs() < 5);
    let sweep = decklab(&[file.to_str().unwrap(), "--seeds", "1", "--sweep", "load.rate=50,100"]);
    let text = String::from_utf8(sweep.stdout).unwrap();
    assert!(text.contains("gateway load.rate=50") && text.contains("random load.rate=100"), "{text}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn faults_of_an_experiment_are_reported_with_their_place() {
    let folder = folder("bad");
    let file = folder.join("e.textproto");
    let stderr = |text: &str, options: &[&str]| {
        std::fs::write(&file, text).unwrap();
        let output = decklab(&[&[file.to_str().unwrap()], options].concat());
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8(output.stderr).unwrap()
    };
    let text = "seconds: 0\nload { schedule: \"1 +\" }\nfaults { at: 1 lasts: 1 }\nfaults { at: 1 site: 4 }\n\
                variants { name: \"a\" }\nvariants { name: \"a\" }\nmembers { cores: 4 }\n";
    let faults = stderr(text, &[]);
    for want in [
        ":1:1: seconds: over 0",
        ":2:8: load.schedule: column 4: wanted here: a number",
        ":3:1: faults[0]: what goes wrong is not said",
        ":6:12: variants[1].name: a name of its own",
        ":7:11: members.cores: 1 values; 3 are wanted",
    ] {
        assert!(faults.contains(want), "{want}: {faults}");
    }
    let fault = stderr("faults { at: 1 lasts: 1 site: 4 }", &[]);
    assert!(fault.contains(":1:25: faults[0].site: there is no such site"), "{fault}");
    assert!(stderr("load { rat: 5 }", &[]).contains(":1:8: load.rat: no such field; the fields are rate"));
    assert!(stderr(GOOD, &["--sweep", "load.rats=5"]).contains("there is no field load.rats"));
    assert!(stderr(GOOD, &["--sweep", "load.rate=-5"]).contains("load.rate: over 0"));
    std::fs::remove_dir_all(&folder).unwrap();
}
