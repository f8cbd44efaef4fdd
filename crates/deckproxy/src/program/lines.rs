//! Connections of links to gateways of other sites: accepting, connecting, frames, pieces of bodies, their end.

use crate::program::gateway::{Chore, Gateway, Need, Peer, context};
use crate::program::subsystem::{Event, LineId};
use crate::protocol::limits;
use crate::transport::line::{Held, Line};
use crate::transport::listener::Accepted;
use crate::transport::stream::{Progress, Stream};
use calloop::Readiness;
use std::net::SocketAddr;

/// Pieces of bodies put on one connection before others have their turn.
const PIECES: usize = 32;

impl Gateway {
    /// Accepts links that wait.
    pub(super) fn accept_lines(&mut self, now: f64) {
        loop {
            let Some(lines) = &mut self.lines else { return };
            lines.accepting = false;
            let Some(listener) = &lines.listener else { return };
            match listener.accept() {
                Accepted::None => return,
                Accepted::Exhausted => {
                    if !self.make_room(now, Need::Own) {
                        // Nothing else tells of those that wait until another one comes.
                        self.line("no descriptor is left for a link");
                        self.accept_again(now);
                        return;
                    }
                }
                Accepted::One(socket) => {
                    if lines.held.len() >= lines.most {
                        self.line("a link is turned away: too many connections");
                        continue;
                    }
                    // Little stands in the kernel before what is more urgent. Fails only where the socket is gone.
                    let _ = socket2::SockRef::from(&socket).set_send_buffer_size(limits::LINK_SENDING);
                    self.next += 1;
                    let id = self.next;
                    let ready = move |g: &mut Gateway, news| g.line_news(id, news);
                    match Stream::accepted(&self.handle, &lines.ledger, socket, ready) {
                        Ok(stream) => {
                            lines.held.insert(id, Held { line: Line::new(stream), connecting: None });
                            self.parts.tell(&context(now, &self.router), &Event::LineCame(id));
                        }
                        Err(e) => self.line(&format!("a link could not be taken: {e}")),
                    }
                }
            }
        }
    }

    /// Connects to a peer's gateway, both by place.
    pub(super) fn connect_line(&mut self, now: f64, peer: usize, way: usize, to: Option<SocketAddr>) {
        let patience = self.router.conf().limits.connect;
        self.next += 1;
        let id = self.next;
        let Some(lines) = &mut self.lines else { return };
        let ready = move |g: &mut Gateway, news| g.line_news(id, news);
        let made = to.filter(|_| lines.held.len() < lines.most);
        let made = made.map(|at| Stream::connect(&self.handle, &lines.ledger, at, ready));
        let why = match made {
            Some(Ok(stream)) => {
                let held = Held { line: Line::new(stream), connecting: Some((peer, way)) };
                lines.held.insert(id, held);
                return self.chores.schedule(now + patience, Chore::LineUp(id));
            }
            Some(Err(e)) => Some(e),
            None => None,
        };
        self.parts.tell(&context(now, &self.router), &Event::LineNotUp { peer, way });
        if let Some(e) = why {
            self.line(&format!("link: {e}"));
        }
    }

    /// A connection that should be up by now: given up if it is not.
    pub(super) fn line_not_up(&mut self, now: f64, id: LineId) {
        let held = self.lines.as_ref().and_then(|l| l.held.get(&id));
        if held.is_some_and(|h| h.connecting.is_some()) {
            self.end_line(now, id);
        }
    }

    fn line_news(&mut self, id: LineId, news: Readiness) {
        if let Some(held) = self.lines.as_mut().and_then(|l| l.held.get_mut(&id)) {
            held.line.stream.note(news);
            Self::queue(&mut self.ready, Peer::Line(id));
        }
    }

    pub(super) fn serve_line(&mut self, now: f64, id: LineId) {
        let Some(lines) = &mut self.lines else { return };
        let Some(held) = lines.held.get_mut(&id) else { return };
        if let Some((peer, way)) = held.connecting {
            match held.line.stream.is_connecting() {
                Ok(true) => return,
                Ok(false) => {
                    held.connecting = None;
                    let event = Event::LineUp { peer, way, line: id };
                    self.parts.tell(&context(now, &self.router), &event);
                }
                Err(_) => return self.end_line(now, id),
            }
        }
        lines.touched.insert(id);
        let before = held.line.stream.input.len();
        let readable = held.line.stream.is_readable();
        let progress = if readable { held.line.read() } else { Progress::Drained };
        let came = held.line.stream.input.len() - before;
        if came > 0 {
            self.parts.line_passed(&context(now, &self.router), id, came, 0);
        }
        loop {
            let Some(lines) = &mut self.lines else { return };
            let Some(held) = lines.held.get_mut(&id) else { return };
            match held.line.take_frame() {
                Ok(None) => break,
                Ok(Some(frame)) => self.parts.frame(&context(now, &self.router), id, frame),
                Err(why) => {
                    self.line(&format!("a link closes: {why}"));
                    return self.end_line(now, id);
                }
            }
            self.pump(now);
        }
        match progress {
            Progress::More => Self::queue(&mut self.ready, Peer::Line(id)),
            Progress::Ended => self.end_line(now, id),
            Progress::Drained => {}
        }
    }

    /// Writes what waits on all connections. Tells whether there was anything.
    pub(super) fn flush_lines(&mut self, now: f64) -> bool {
        let mut any = false;
        while let Some(id) = self.lines.as_mut().and_then(|l| l.touched.pop_first()) {
            any = true;
            self.flush_line(now, id);
        }
        any
    }

    /// Writes what waits on a connection, and pieces of bodies as long as it takes them.
    fn flush_line(&mut self, now: f64, id: LineId) {
        for _ in 0..PIECES {
            let Some(lines) = &mut self.lines else { return };
            let Some(held) = lines.held.get_mut(&id) else { return };
            if held.connecting.is_some() {
                return;
            }
            let before = held.line.stream.queued();
            let broken = held.line.flush().is_err();
            let left = held.line.stream.queued();
            self.parts.line_passed(&context(now, &self.router), id, 0, before - left);
            if broken || left > limits::LINK_STUCK || held.line.closing && left == 0 {
                return self.end_line(now, id);
            }
            let piece = held.line.takes_pieces().then(|| self.parts.piece(id)).flatten();
            let Some(piece) = piece else { return };
            held.line.send(&piece);
        }
        // Others have their turn; what it still has to send goes on then.
        Self::queue(&mut self.ready, Peer::Line(id));
    }

    pub(super) fn end_line(&mut self, now: f64, id: LineId) {
        let Some(lines) = &mut self.lines else { return };
        let Some(mut held) = lines.held.remove(&id) else { return };
        lines.touched.remove(&id);
        let unsent = held.line.unsent();
        held.line.stream.close(&self.handle);
        let event = match held.connecting {
            Some((peer, way)) => Event::LineNotUp { peer, way },
            None => Event::LineDown { line: id, unsent: &unsent },
        };
        self.parts.tell(&context(now, &self.router), &event);
    }
}
