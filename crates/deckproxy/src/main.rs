//! The gateway's process.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let (log, _guard) = deckproxy::program::logging::start();
    match deckproxy::program::run(&log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("deckproxy: {why}");
            ExitCode::FAILURE
        }
    }
}
