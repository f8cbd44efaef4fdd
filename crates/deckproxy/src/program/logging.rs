//! The log: lines with a level and fields on standard error, written by a thread of its own so that a slow reader of
//! the log never blocks the event loop.

use crate::program::cli::{Format, Level, Log};
use crate::program::log_aliases::AliasDrain;
use slog::{Drain, Logger, o};
use slog_async::OverflowStrategy;

/// Lines that wait to be written, at most; later ones are dropped and counted.
const QUEUE_LENGTH: usize = 1024;

/// Starts the process's log. The guard writes the last lines when it is dropped.
pub fn start(options: Log) -> (Logger, slog_async::AsyncGuard) {
    // A line that can't be written is lost: the gateway goes on, also where nobody reads its log any more.
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
    (Logger::root(drain.filter_level(least_level(options)).ignore_res(), o!()), guard)
}

/// The least level that is written: the command line's, else the environment's, else info.
fn least_level(options: Log) -> slog::Level {
    match (options.log_level, std::env::var("DECKPROXY_LOG").as_deref()) {
        (Some(Level::Debug), _) | (None, Ok("debug")) => slog::Level::Debug,
        (Some(Level::Warning), _) | (None, Ok("warning")) => slog::Level::Warning,
        _ => slog::Level::Info,
    }
}
