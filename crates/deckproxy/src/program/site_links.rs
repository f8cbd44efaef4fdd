//! Links to gateways of other sites: accepting, connecting, frames, pieces of bodies, and closing.

use crate::program::connections::{EvictionReason, ReadySource};
use crate::program::gateway::{Gateway, context};
use crate::program::subsystem::{Event, LinkId};
use crate::program::timer_task::TimerTask;
use crate::protocol::limits;
use crate::transport::clock;
use crate::transport::listener::Accepted;
use crate::transport::site_link::{LinkTarget, SiteLink};
use crate::transport::stream::{Progress, Stream};
use calloop::Readiness;
use deckproxy_sites::frame::Frame;
use std::net::{SocketAddr, TcpStream};

/// Pieces of bodies written to one link before other connections are served.
const PIECES_PER_TURN: usize = 32;

/// How far the received frames of a link are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FrameProgress {
    /// No complete frame is left.
    Complete,
    /// The slice has ended, and further frames may be complete.
    Paused,
    /// The link is closed.
    Closed,
}

impl Gateway {
    /// Accepts pending links.
    pub(super) fn accept_links(&mut self, now: f64) {
        loop {
            let Some(links) = &mut self.site_links else { return };
            links.accept_pending = false;
            let Some(listener) = &links.listener else { return };
            match listener.accept() {
                Accepted::None => return,
                Accepted::Exhausted => {
                    if !self.evict_client(now, EvictionReason::Internal) {
                        // Retry later: the kernel reports the pending connections only when another one arrives.
                        self.log_peer("no descriptor is left for a link");
                        self.schedule_accept_retry(now);
                        return;
                    }
                }
                Accepted::One(socket) => self.accept_link(now, socket),
            }
        }
    }

    fn accept_link(&mut self, now: f64, socket: TcpStream) {
        if self.site_links.as_ref().is_none_or(|links| links.open.len() >= links.limit) {
            return self.log_peer("a link is rejected: too many connections");
        }
        // A small send buffer, so that urgent frames are not queued behind much data. Fails only if the socket is
        // closed.
        let _ = socket2::SockRef::from(&socket).set_send_buffer_size(limits::LINK_SEND_BUFFER);
        let id = self.next_connection_id();
        let Some(links) = &mut self.site_links else { return };
        let ready = move |gateway: &mut Gateway, readiness| gateway.link_ready(id, readiness);
        match Stream::accepted(&self.handle, &links.usage, socket, ready) {
            Ok(stream) => {
                links.open.insert(id, SiteLink::new(stream, None));
                self.notify(now, &Event::LinkAccepted(id));
            }
            Err(e) => self.log_peer(&format!("a link could not be accepted: {e}")),
        }
    }

    /// Connects to a peer's gateway; fails at once if there is no address or the limit on links is reached.
    pub(super) fn connect_link(
        &mut self,
        now: f64,
        peer: usize,
        address_index: usize,
        to: Option<SocketAddr>,
    ) {
        let connect_timeout = self.router.instance_settings().limits.connect_timeout;
        let id = self.next_connection_id();
        let Some(links) = &mut self.site_links else { return };
        let ready = move |gateway: &mut Gateway, readiness| gateway.link_ready(id, readiness);
        let error = match to.filter(|_| links.open.len() < links.limit) {
            Some(to) => match Stream::connect(&self.handle, &links.usage, to, ready) {
                Ok(stream) => {
                    let connecting = Some(LinkTarget { peer, address_index });
                    links.open.insert(id, SiteLink::new(stream, connecting));
                    self.timers.schedule(now + connect_timeout, TimerTask::LinkConnectTimeout(id));
                    return;
                }
                Err(e) => Some(e),
            },
            None => None,
        };
        self.notify(now, &Event::LinkConnectFailed { peer, address_index });
        if let Some(e) = error {
            self.log_peer(&format!("link: {e}"));
        }
    }

    /// Closes a link that was not established in time.
    pub(super) fn link_connect_timeout(&mut self, now: f64, id: LinkId) {
        let link = self.site_links.as_ref().and_then(|links| links.open.get(&id));
        if link.is_some_and(|link| link.connecting.is_some()) {
            self.close_link(now, id);
        }
    }

    fn link_ready(&mut self, id: LinkId, readiness: Readiness) {
        if let Some(link) = self.site_links.as_mut().and_then(|links| links.open.get_mut(&id)) {
            link.stream.set_ready(readiness);
            self.queue(ReadySource::Link(id));
        }
    }

    /// Appends a frame to a link's write buffer.
    pub(super) fn send_frame(&mut self, id: LinkId, frame: &Frame) {
        let Some(links) = &mut self.site_links else { return };
        if let Some(link) = links.open.get_mut(&id).filter(|link| !link.closing) {
            link.send(frame);
            links.to_flush.insert(id);
        }
    }

    /// Closes a link once its write buffer is empty, or after a time if its peer does not read.
    pub(super) fn close_link_when_written(&mut self, now: f64, id: LinkId, why: &str) {
        if let Some(links) = &mut self.site_links
            && let Some(link) = links.open.get_mut(&id)
        {
            link.closing = true;
            links.to_flush.insert(id);
            self.timers.schedule(now + limits::CLOSING_INTERVAL, TimerTask::ResetLink(id));
        }
        self.log_peer(&format!("a link closes: {why}"));
    }

    /// Resets a closing link whose write buffer did not get empty. Answers in it are retained until the peer releases them.
    pub(super) fn reset_link(&mut self, now: f64, id: LinkId) {
        if let Some(link) = self.site_links.as_ref().and_then(|links| links.open.get(&id)) {
            link.stream.reset_on_close();
            self.log_peer("a closing link is reset: its peer does not read");
            self.close_link(now, id);
        }
    }

    /// Completes a pending connect, reads and handles received frames, and schedules a write.
    pub(super) fn serve_link(&mut self, now: f64, id: LinkId) {
        if self.is_link_established(now, id) {
            self.read_link_until(now, id, clock::now() + limits::SLICE);
        }
    }

    /// Reads a link, handles received frames until the end of its slice, and schedules a write.
    pub(super) fn read_link_until(&mut self, now: f64, id: LinkId, slice_end: f64) {
        if self.handle_frames(now, id, slice_end) != FrameProgress::Complete {
            return;
        }
        let Some(links) = &mut self.site_links else { return };
        let Some(link) = links.open.get_mut(&id) else { return };
        links.to_flush.insert(id);
        let before = link.stream.input.len();
        let readable = link.stream.is_readable();
        let progress = if readable { link.read() } else { Progress::Drained };
        let received = link.stream.input.len() - before;
        if received > 0 {
            self.subsystems.link_bytes_received(&context(now, &self.router), id, received);
        }
        // What came before the end of a link is handled before it is closed.
        let slice_end = if progress == Progress::Ended { f64::MAX } else { slice_end };
        let handled = self.handle_frames(now, id, slice_end);
        match progress {
            _ if handled == FrameProgress::Closed => {}
            Progress::Ended => self.close_link(now, id),
            Progress::More => self.queue_backlog(ReadySource::Link(id)),
            Progress::Drained => {}
        }
    }

    /// Whether a link is established; closes it if its connect failed.
    fn is_link_established(&mut self, now: f64, id: LinkId) -> bool {
        let link = self.site_links.as_mut().and_then(|links| links.open.get_mut(&id));
        let Some(link) = link else { return false };
        let Some(LinkTarget { peer, address_index }) = link.connecting else { return true };
        match link.stream.is_connecting() {
            Ok(true) => false,
            Ok(false) => {
                link.connecting = None;
                self.notify(now, &Event::LinkConnected { peer, address_index, link: id });
                true
            }
            Err(_) => {
                self.close_link(now, id);
                false
            }
        }
    }

    /// Passes the complete frames received on a link to the subsystem, until the end of the link's slice.
    fn handle_frames(&mut self, now: f64, id: LinkId, slice_end: f64) -> FrameProgress {
        loop {
            let link = self.site_links.as_mut().and_then(|links| links.open.get_mut(&id));
            let Some(link) = link else { return FrameProgress::Closed };
            match link.take_frame() {
                Ok(None) => return FrameProgress::Complete,
                Ok(Some(frame)) => self.subsystems.frame(&context(now, &self.router), id, frame),
                Err(why) => {
                    self.log_peer(&format!("a link closes: {why}"));
                    self.close_link(now, id);
                    return FrameProgress::Closed;
                }
            }
            self.apply_effects(now);
            if clock::now() >= slice_end && self.has_link_input(id) {
                self.queue_backlog(ReadySource::Link(id));
                return FrameProgress::Paused;
            }
        }
    }

    /// Whether bytes that were received on a link are read and not decoded yet.
    fn has_link_input(&self, id: LinkId) -> bool {
        let link = self.site_links.as_ref().and_then(|links| links.open.get(&id));
        link.is_some_and(|link| !link.stream.input.is_empty())
    }

    /// Writes to all links that are queued for writing. Returns whether there were any.
    pub(super) fn flush_links(&mut self, now: f64) -> bool {
        let mut any = false;
        while let Some(id) = self.site_links.as_mut().and_then(|links| links.to_flush.pop_first()) {
            any = true;
            self.flush_link(now, id);
        }
        any
    }

    /// Writes a link's write buffer, then pieces of bodies while the link accepts them.
    fn flush_link(&mut self, now: f64, id: LinkId) {
        for _ in 0..PIECES_PER_TURN {
            let Some(links) = &mut self.site_links else { return };
            let Some(link) = links.open.get_mut(&id) else { return };
            if link.connecting.is_some() {
                return;
            }
            let before = link.stream.unwritten_bytes();
            let broken = link.flush().is_err();
            let left = link.stream.unwritten_bytes();
            self.subsystems.link_bytes_sent(&context(now, &self.router), id, before - left);
            if broken || left > limits::LINK_STALLED || link.closing && left == 0 {
                return self.close_link(now, id);
            }
            let piece = link.accepts_pieces().then(|| self.subsystems.next_body_chunk(id)).flatten();
            let Some(piece) = piece else { return };
            link.send(&piece);
        }
        // Other connections are served first.
        self.queue(ReadySource::Link(id));
    }

    /// Closes a link and notifies the subsystems.
    fn close_link(&mut self, now: f64, id: LinkId) {
        let Some(links) = &mut self.site_links else { return };
        let Some(mut link) = links.open.remove(&id) else { return };
        links.to_flush.remove(&id);
        let unsent = link.take_unsent();
        link.stream.close(&self.handle);
        let event = match link.connecting {
            Some(LinkTarget { peer, address_index }) => Event::LinkConnectFailed { peer, address_index },
            None => Event::LinkClosed { link: id, unsent: &unsent },
        };
        self.notify(now, &event);
    }
}
