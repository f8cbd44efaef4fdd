//! The program `deckproxy`: the gateway and its commands.
#![forbid(unsafe_code)]

use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match deckproxy::program::main(std::env::args_os()) {
        Ok(code) => code,
        Err(error) => {
            // If standard error can't be written, the exit code still reports the failure.
            let _ = writeln!(io::stderr(), "deckproxy: {error}");
            ExitCode::FAILURE
        }
    }
}
