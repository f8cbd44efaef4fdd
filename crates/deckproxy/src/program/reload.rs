//! Reloading the configuration and the operator file while serving.

use crate::program::connections::EvictionReason;
use crate::program::files::{FileError, Files};
use crate::program::gateway::{Gateway, context};
use crate::protocol::limits;
use slog::{info, warn};

impl Gateway {
    /// Takes from a new configuration what may change while serving: the feed's address, where it is polled at once
    /// for what follows the last event, and the limits. All else needs a restart, and a configuration that can't be
    /// used changes nothing. No connection of a client or member is touched.
    pub fn reload(&mut self, now: f64, read: impl Fn() -> Result<Files, FileError>) {
        let mut files = read();
        if files.as_ref().is_err_and(FileError::is_exhausted)
            && self.evict_client(now, EvictionReason::Internal)
        {
            // The gateway lacked a descriptor: nobody asks for this reload again, and the feed may have moved.
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
        // Also where the address is the same: whoever asks for a reload doubts what is known.
        if let Some(feed) = self.feed.take() {
            feed.stream.close(&self.handle);
        }
        self.feed_backoff = limits::FEED_BACKOFF_INITIAL;
        self.connect_feed(now);
    }
}
