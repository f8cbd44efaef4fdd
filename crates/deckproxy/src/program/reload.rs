//! Reloading the configuration and the operator file while serving.

use crate::program::connections::EvictionReason;
use crate::program::files::{FileError, Files};
use crate::program::gateway::{Gateway, context};
use crate::protocol::limits;
use slog::{info, warn};

impl Gateway {
    /// Applies the parts of a new configuration and operator file that may change while serving: the feed's address,
    /// the limits, and settings of subsystems. Reconnects to the feed at once and polls it for the events after the
    /// last one. All else needs a restart, and a configuration that can't be used changes nothing. Connections of
    /// clients and members stay open, except that one of a client may be evicted if no descriptor is left for the files
    /// or the feed.
    pub fn reload(&mut self, now: f64, read: impl Fn() -> Result<Files, FileError>) {
        let mut files = read();
        if files.as_ref().is_err_and(FileError::is_exhausted)
            && self.evict_client(now, EvictionReason::Internal)
        {
            // Retry with the freed descriptor: the signal is not repeated, and the feed's address may have changed.
            files = read();
        }
        let Files { config, operator } = match files {
            Ok(files) => files,
            Err(error) => {
                return warn!(self.log, "reload: the configuration in force stays"; "error" => %error);
            }
        };
        let feed_event = self.router.last_event();
        info!(self.log, "reload: polling the feed again"; "feed" => ?config.feed, "feed_event" => feed_event);
        if config.listen != self.listen {
            warn!(self.log, "reload: listen takes a restart"; "listen" => %config.listen);
        }
        self.subsystems.reload(&self.log, &context(now, &self.router), &operator);
        self.apply_subsystem_effects(now);
        self.set_bounds(config.memory, config.sockets);
        self.feed_address = config.feed;
        // Even if the address is unchanged: a reload also serves to refresh the member list.
        if let Some(feed) = self.feed.take() {
            feed.stream.close(&self.handle);
        }
        self.feed_backoff = limits::FEED_BACKOFF_INITIAL;
        self.connect_feed(now);
    }
}
