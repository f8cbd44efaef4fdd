//! Wiring: the event loop, start and end of the process, logging.

pub mod gateway;
pub mod logging;
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
pub fn run(log: &Logger) -> Result<(), String> {
    let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG is not set".to_string())?;
    let text = std::fs::read(&path).map_err(|e| format!("cannot read the configuration {path}: {e}"))?;
    let mut config = config::read(&text)?;
    if let Ok(listen) = std::env::var("GW_LISTEN") {
        config.listen = listen.parse().map_err(|_| format!("GW_LISTEN: {listen:?} is no address"))?;
    }
    if let Ok(name) = std::env::var("GW_NAME") {
        config.name = name;
    }
    serve(log, config).map_err(|e| format!("the event loop failed: {e}"))
}

fn serve(log: &Logger, config: config::Config) -> Result<(), String> {
    // Before any thread or connection: the signal is blocked for all of them and read from a descriptor.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).map_err(|e| e.to_string())?;
    let mut events: EventLoop<'static, Gateway> = EventLoop::try_new().map_err(|e| e.to_string())?;
    let handle = events.handle();
    handle
        .insert_source(signals, |_, _, gateway: &mut Gateway| gateway.terminate(clock::now()))
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
