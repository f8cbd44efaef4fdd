//! Wiring: the event loop, start, reload and end of the process, logging.

mod clients;
mod feed;
pub mod gateway;
pub mod logging;
mod members;
pub mod usage;

use crate::protocol::config;
use crate::transport::clock;
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use gateway::Gateway;
use slog::{Logger, info};
use std::time::Duration;

/// Longest wait of the loop, as a net below the alarm.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Reads the configuration that the environment names, serves until told to end, and tells what went wrong.
pub fn run() -> Result<(), String> {
    // Before any thread starts, the log's too: the signals are blocked for all threads and read from a
    // descriptor. One thread that does not block them would let the first signal end the process.
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(|e| e.to_string())?;
    let config = configuration()?;
    let (log, _guard) = logging::start();
    serve(&log, signals, config).map_err(|e| format!("the event loop failed: {e}"))
}

fn configuration() -> Result<config::Config, String> {
    let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG is not set".to_string())?;
    let text = std::fs::read(&path).map_err(|e| format!("cannot read the configuration {path}: {e}"))?;
    let mut config = config::read(&text)?;
    if let Ok(listen) = std::env::var("GW_LISTEN") {
        config.listen = listen.parse().map_err(|_| format!("GW_LISTEN: {listen:?} is no address"))?;
    }
    if let Ok(name) = std::env::var("GW_NAME") {
        config.name = name;
    }
    Ok(config)
}

fn serve(log: &Logger, signals: Signals, config: config::Config) -> Result<(), String> {
    let mut events: EventLoop<'static, Gateway> = EventLoop::try_new().map_err(|e| e.to_string())?;
    let handle = events.handle();
    handle
        .insert_source(signals, |event, _, gateway: &mut Gateway| match event.signal() {
            Signal::SIGHUP => gateway.reload(clock::now(), configuration()),
            _ => gateway.terminate(clock::now()),
        })
        .map_err(|e| e.to_string())?;
    let listen = config.listen;
    let mut gateway = Gateway::new(handle, log.clone(), config).map_err(|e| format!("{listen}: {e}"))?;
    info!(log, "serving"; "listen" => %listen);
    while !gateway.is_done() {
        let wait = if gateway.is_busy() { Duration::ZERO } else { LONGEST_WAIT };
        events.dispatch(wait, &mut gateway).map_err(|e| e.to_string())?;
        gateway.turn().map_err(|e| e.to_string())?;
    }
    gateway.summary("end");
    Ok(())
}
