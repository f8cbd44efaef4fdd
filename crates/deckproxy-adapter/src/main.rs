//! Reads batches from standard input and writes a reply to each to standard output.
#![forbid(unsafe_code)]

use deckproxy_adapter::host::Host;
use deckproxy_adapter::wire::{self, WireError};
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn run() -> Result<(), WireError> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    while let Some(batch) = wire::read_batch(&mut input)? {
        let frame = host.answer(&batch)?;
        output.write_all(&frame).and_then(|()| output.flush()).map_err(WireError::Io)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("deckproxy-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
