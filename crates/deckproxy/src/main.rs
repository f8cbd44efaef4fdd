//! The gateway's process.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    match deckproxy::program::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("deckproxy: {why}");
            ExitCode::FAILURE
        }
    }
}
