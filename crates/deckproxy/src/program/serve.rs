//! `deckproxy run`: runs the gateway until a graceful shutdown is complete.

use crate::program::cli::{self, Run};
use crate::program::error::ProgramError;
use crate::program::files::Files;
use crate::program::gateway::Gateway;
use crate::program::logging;
use crate::transport::clock;
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use slog::{Logger, info};
use std::time::Duration;

/// Maximum wait of the event loop, in case its timer fails to wake it.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Reads the files and serves until a signal ends the process.
///
/// # Errors
/// The files can't be used, an address can't be bound, or the event loop failed.
pub fn run(run: &Run, log: cli::Log) -> Result<(), ProgramError> {
    // Before any thread starts, including that of the log: threads inherit the blocked signals, which are read from a
    // descriptor. A thread that did not block them would let the first signal end the process.
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(ProgramError::Signals)?;
    let files = Files::read(run)?;
    let (log, _guard) = logging::start(log);
    serve(&log, signals, files, run.clone())
}

fn serve(log: &Logger, signals: Signals, files: Files, run: Run) -> Result<(), ProgramError> {
    let mut events: EventLoop<'static, Gateway> = EventLoop::try_new().map_err(ProgramError::EventLoop)?;
    let handle = events.handle();
    handle
        .insert_source(signals, move |event, (), gateway: &mut Gateway| match event.signal() {
            Signal::SIGHUP => gateway.reload(clock::now(), || Files::read(&run)),
            _ => gateway.terminate(clock::now()),
        })
        .map_err(|e| ProgramError::EventLoop(e.error))?;
    let listen = files.config.listen;
    let mut gateway = Gateway::new(handle, log.clone(), files)?;
    info!(log, "serving"; "listen" => %listen);
    while !gateway.is_done() {
        let wait = if gateway.is_busy() { Duration::ZERO } else { MAX_WAIT };
        events.dispatch(wait, &mut gateway).map_err(ProgramError::EventLoop)?;
        gateway.turn().map_err(ProgramError::EventLoop)?;
    }
    gateway.summary("end");
    Ok(())
}
