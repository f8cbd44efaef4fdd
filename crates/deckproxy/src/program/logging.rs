//! The log: lines with a level and fields on standard error, written by a thread of their own so that a slow
//! reader of the log never holds the event loop up.

use crate::program::cli::{Format, Level, Log};
use slog::{Drain, Logger, o};
use slog_async::OverflowStrategy;

/// Lines that wait to be written, at most; later ones are dropped and counted.
const WAITING: usize = 1024;

/// The log of the process, and what writes out its last lines when dropped.
pub fn start(how: Log) -> (Logger, slog_async::AsyncGuard) {
    // A line that can't be written is lost; the gateway goes on, also where nobody reads its log any more.
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match how.log_format {
        Format::Text => {
            let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
            Box::new(slog_term::FullFormat::new(plain).use_utc_timestamp().build().ignore_res())
        }
        Format::Json => {
            let json = slog_json::Json::new(std::io::stderr()).add_default_keys().build();
            Box::new(std::sync::Mutex::new(json).ignore_res())
        }
    };
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(WAITING)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let level = match (how.log_level, std::env::var("DECKPROXY_LOG").as_deref()) {
        (Some(Level::Debug), _) | (None, Ok("debug")) => slog::Level::Debug,
        (Some(Level::Warning), _) | (None, Ok("warning")) => slog::Level::Warning,
        _ => slog::Level::Info,
    };
    (Logger::root(drain.filter_level(level).ignore_res(), o!()), guard)
}
