//! The control feed: connecting, reading, and connecting anew.

use crate::program::gateway::{Chore, Gateway, Need, Peer};
use crate::protocol::feed::Line;
use crate::protocol::limits;
use crate::transport::feed::Feed;
use crate::transport::stream::{Progress, Stream, is_exhausted};
use calloop::Readiness;

impl Gateway {
    pub(super) fn connect_feed(&mut self, now: f64) {
        let Some(at) = self.feed_at.filter(|_| self.feed.is_none()) else { return };
        let connect = |gateway: &Gateway| {
            let ready = |g: &mut Gateway, news| g.feed_news(news);
            Stream::connect(&gateway.handle, &gateway.from_feed, at, ready)
        };
        let mut made = connect(self);
        if made.as_ref().is_err_and(is_exhausted) && self.make_room(now, Need::Own) {
            // The lack is ours; an idle client's descriptor is worth less than the list of members.
            made = connect(self);
        }
        match made {
            Ok(stream) => self.feed = Some(Feed::new(stream, self.router.last_event(), now)),
            Err(e) => self.lose_feed(now, &e.to_string()),
        }
    }

    pub(super) fn feed_news(&mut self, news: Readiness) {
        if let Some(feed) = &mut self.feed {
            feed.stream.note(news);
            Self::queue(&mut self.ready, Peer::Feed);
        }
    }

    pub(super) fn serve_feed(&mut self, now: f64) {
        let Some(feed) = &mut self.feed else { return };
        match feed.stream.is_connecting() {
            Ok(true) => return,
            Ok(false) => feed.is_up(now),
            Err(e) => return self.lose_feed(now, &e.to_string()),
        }
        if feed.flush().is_err() {
            return self.lose_feed(now, "broke");
        }
        let progress = if feed.stream.is_readable() { feed.read() } else { Progress::Drained };
        loop {
            let Some(feed) = &mut self.feed else { return };
            match feed.take_line(now) {
                Ok(None) => break,
                Ok(Some(Ok(Line::Last(last)))) => {
                    if last > self.router.last_event() && !self.gap_is_final() {
                        return self.lose_feed(now, "events are missing");
                    }
                    self.feed_wait = limits::FEED_BACKOFF.0;
                }
                Ok(Some(Ok(Line::Event(number, news)))) => {
                    let gaps = self.feed_gap == Some(self.router.last_event());
                    if !self.router.feed_event(now, number, news, gaps) && !self.gap_is_final() {
                        return self.lose_feed(now, "events are missing");
                    }
                    self.feed_wait = limits::FEED_BACKOFF.0;
                    self.pump(now);
                }
                Ok(Some(Err(why))) => self.line(&format!("a line of the feed was dropped: {why}")),
                Err(why) => return self.lose_feed(now, why),
            }
        }
        match progress {
            Progress::More => Self::queue(&mut self.ready, Peer::Feed),
            Progress::Ended => self.lose_feed(now, "closed"),
            Progress::Drained => {}
        }
    }

    /// Whether the feed was asked again already for what follows the last event; if not, it will be.
    pub(super) fn gap_is_final(&mut self) -> bool {
        let last = Some(self.router.last_event());
        std::mem::replace(&mut self.feed_gap, last) == last
    }

    /// The feed's connection is of no more use: a new one is made after a while that grows.
    pub(super) fn lose_feed(&mut self, now: f64, why: &str) {
        if let Some(feed) = self.feed.take() {
            feed.stream.close(&self.handle);
        }
        self.line(&format!("control feed: {why}"));
        self.chores.schedule(now + self.feed_wait, Chore::Feed);
        self.feed_wait = (self.feed_wait * 2.0).min(limits::FEED_BACKOFF.1);
    }
}
