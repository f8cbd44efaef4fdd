//! Wiring: the command line, the event loop, start, reload and end of the process, logging.

mod accept;
mod attempts;
pub mod cli;
mod client_messages;
mod clients;
mod collectors;
mod connections;
mod effects;
mod event_loop;
mod eviction;
mod feed;
pub mod files;
mod fleet;
mod flows;
pub mod gateway;
mod housekeeping;
pub mod logging;
pub mod migrate;
mod recovery;
mod reload;
mod shutdown;
mod site_links;
mod sites;
mod subsystem;
mod subsystems;
mod summary;
mod timer_task;
mod upstream_pool;
pub mod usage;

use crate::transport::clock;
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use clap::Parser;
use cli::{Cli, Command, Run};
use deckproxy_operator::Operator;
use files::Files;
use gateway::Gateway;
use slog::{Logger, info};
use std::ffi::OsString;
use std::process::ExitCode;
use std::time::Duration;

/// Longest wait of the loop, as a net below the alarm.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Does what the command line says, and tells what went wrong.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> Result<ExitCode, String> {
    let cli = Cli::try_parse_from(arguments).unwrap_or_else(|e| e.exit());
    match cli.command {
        None => run(&Run::default(), cli.log)?,
        Some(Command::Run(run)) => self::run(&run, cli.log)?,
        Some(Command::Check { files }) => check(&files)?,
        Some(Command::Migrate(args)) => return migrate::run(&args),
        Some(Command::Version) => println!("deckproxy {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads what it is told to, and serves until told to end.
fn run(run: &Run, log: cli::Log) -> Result<(), String> {
    // Before any thread starts, the log's too: the signals are blocked for all threads and read from a
    // descriptor. One thread that does not block them would let the first signal end the process.
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(|e| e.to_string())?;
    let files = Files::read(run).map_err(|e| e.to_string())?;
    let (log, _guard) = logging::start(log);
    serve(&log, signals, files, run.clone())
}

fn check(paths: &[std::path::PathBuf]) -> Result<(), String> {
    let mut faults = Vec::new();
    let mut good = Vec::new();
    for path in paths {
        if path.extension().is_some_and(|e| e.eq_ignore_ascii_case("json")) {
            faults.extend(migrate::configuration(path, false).err().into_iter().flatten());
            continue;
        }
        match files::operator(path) {
            Ok(file) => good.push((path, file)),
            Err(what) => faults.extend(what),
        }
    }
    if faults.is_empty() {
        let files: Vec<Operator> = good.iter().map(|(_, file)| file.clone()).collect();
        let round = deckproxy_operator::check_together(&files);
        faults.extend(round.into_iter().map(|(i, what)| format!("{}: {what}", good[i].0.display())));
    }
    for fault in &faults {
        eprintln!("{fault}");
    }
    if faults.is_empty() { Ok(()) } else { Err(format!("{} found", counted(faults.len(), "fault"))) }
}

fn counted(n: usize, what: &str) -> String {
    format!("{n} {what}{}", if n == 1 { "" } else { "s" })
}

fn serve(log: &Logger, signals: Signals, files: Files, run: Run) -> Result<(), String> {
    let failed = |e: calloop::Error| format!("the event loop failed: {e}");
    let mut events: EventLoop<'static, Gateway> = EventLoop::try_new().map_err(failed)?;
    let handle = events.handle();
    handle
        .insert_source(signals, move |event, _, gateway: &mut Gateway| match event.signal() {
            Signal::SIGHUP => gateway.reload(clock::now(), || Files::read(&run)),
            _ => gateway.terminate(clock::now()),
        })
        .map_err(|e| failed(e.error))?;
    let listen = files.config.listen;
    let mut gateway = Gateway::new(handle, log.clone(), files).map_err(|e| e.to_string())?;
    info!(log, "serving"; "listen" => %listen);
    while !gateway.is_done() {
        let wait = if gateway.is_busy() { Duration::ZERO } else { LONGEST_WAIT };
        events.dispatch(wait, &mut gateway).map_err(failed)?;
        gateway.turn().map_err(failed)?;
    }
    gateway.summary("end");
    Ok(())
}
