//! The frame of a case: its record, its time limit and its exit code.

use crate::platform::{Folder, kill_all};
use crate::record::Record;
use crate::sleep_ms;
use std::path::PathBuf;
use std::process::ExitCode;

/// A case ends after so many ms at the latest.
const LIMIT_MS: f64 = 112_000.0;

/// What a case runs with.
pub struct Case {
    pub root: PathBuf,
    pub folder: Folder,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Whether the rule held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    /// Too little happened to judge.
    Unclear,
}

/// Runs a case from the repository's root; the first argument is the folder of the case.
pub fn main(run: impl FnOnce(&Case) -> std::io::Result<Verdict>) -> ExitCode {
    std::thread::spawn(|| {
        sleep_ms(LIMIT_MS);
        eprintln!("the case took too long");
        kill_all();
        std::process::exit(2);
    });
    let verdict = prepare().and_then(|case| {
        let verdict = run(&case);
        let text = match &verdict {
            Ok(verdict) => format!("verdict: {verdict:?}"),
            Err(error) => format!("the case could not run: {error}"),
        };
        case.record.say(&text);
        verdict
    });
    kill_all();
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::Unclear) => ExitCode::from(2),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn prepare() -> std::io::Result<Case> {
    let root = std::env::current_dir()?;
    let folder =
        std::env::args().nth(1).ok_or_else(|| std::io::Error::other("the folder of the case is missing"))?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&root.join(folder).join("record.txt"))?;
    record.line(&format!("disruption: {trouble}"));
    Ok(Case { root, folder: Folder::create()?, record, trouble })
}
