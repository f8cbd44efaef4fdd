//! The gateway's process.
#![forbid(unsafe_code)]

use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match deckproxy::program::main(std::env::args_os()) {
        Ok(code) => code,
        Err(why) => {
            // Where even that can't be written, the exit code still tells.
            let _ = writeln!(io::stderr(), "deckproxy: {why}");
            ExitCode::FAILURE
        }
    }
}
