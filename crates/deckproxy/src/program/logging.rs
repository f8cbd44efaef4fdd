//! Structured logging to standard error, by a separate thread so that a slow reader of the log never blocks the event
//! loop.

use crate::program::cli::{Format, Level, Log};
use crate::program::log_aliases::AliasDrain;
use slog::{Drain, Logger, o};
use slog_async::OverflowStrategy;

/// Maximum number of queued lines; further ones are dropped and counted.
const QUEUE_LENGTH: usize = 1024;

/// Starts the process's log. Dropping the guard flushes the queue.
pub fn start(options: Log) -> (Logger, slog_async::AsyncGuard) {
    // Write errors are ignored: the gateway must keep running even if its log can't be written.
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match options.log_format {
        Format::Text => {
            let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
            Box::new(slog_term::FullFormat::new(plain).use_utc_timestamp().build().ignore_res())
        }
        Format::Json => {
            let json = slog_json::Json::new(std::io::stderr()).add_default_keys().build();
            Box::new(std::sync::Mutex::new(json).ignore_res())
        }
    };
    let (drain, guard) = slog_async::Async::new(AliasDrain(drain))
        .chan_size(QUEUE_LENGTH)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.filter_level(min_level(options)).ignore_res(), o!()), guard)
}

/// The minimum level to log: of the command line, else of the environment, else info.
fn min_level(options: Log) -> slog::Level {
    match (options.log_level, std::env::var("DECKPROXY_LOG").as_deref()) {
        (Some(Level::Debug), _) | (None, Ok("debug")) => slog::Level::Debug,
        (Some(Level::Warning), _) | (None, Ok("warning")) => slog::Level::Warning,
        _ => slog::Level::Info,
    }
}
