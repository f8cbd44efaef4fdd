//! Clients: accepting them, their messages, their answers, their end.

use crate::program::flows;
use crate::program::gateway::{ACCEPT_AGAIN, ACCEPTS, Chore, Gateway, Peer};
use crate::program::sites::crosses;
use crate::protocol::front::{self, Answer, Message};
use crate::protocol::limits;
use crate::routing::router::ClientId;
use crate::transport::client::Client;
use crate::transport::clock;
use crate::transport::listener::{Accepted, Listener};
use crate::transport::stream::{Progress, Stream};
use calloop::Readiness;
use deckproxy_flow::meter::Outcome;

impl Gateway {
    pub(super) fn accept(&mut self, now: f64) {
        self.accepting = false;
        let Some(listener) = self.listener.take() else { return };
        let drained = self.accept_from(now, &listener);
        if self.last_accepts && drained {
            listener.close(&self.handle);
        } else {
            self.listener = Some(listener);
        }
    }

    /// Has accepting tried again in a while, once however often it was in vain: each newcomer at the bound tries.
    fn accept_again(&mut self, now: f64) -> bool {
        if !std::mem::replace(&mut self.accept_due, true) {
            self.chores.set(now + ACCEPT_AGAIN, Chore::Accept);
        }
        false
    }

    /// Accepts some that wait. Tells whether nobody waits any more.
    fn accept_from(&mut self, now: f64, listener: &Listener) -> bool {
        for _ in 0..ACCEPTS {
            if self.clients.len() >= self.bounds.clients && !self.make_room(now) {
                // Those that wait stay in the kernel's queue until a place is free.
                return self.accept_again(now);
            }
            let socket = match listener.accept() {
                Accepted::One(socket) => socket,
                Accepted::None => return true,
                Accepted::Exhausted => {
                    self.line("no descriptor is left for a client");
                    self.make_room(now);
                    return self.accept_again(now);
                }
            };
            self.next += 1;
            let id = self.next;
            let ready = move |g: &mut Gateway, news| g.client_news(id, news);
            let wants = self.flows.is_some() || self.recovery.as_ref().is_some_and(|r| r.wants_addresses());
            let address = if wants { socket.peer_addr().ok().map(|at| at.ip()) } else { None };
            match Stream::accepted(&self.handle, &self.from_clients, socket, ready) {
                Ok(stream) => {
                    self.clients.insert(id, Client::new(stream, now));
                    if let Some(flows) = &mut self.flows {
                        flows.client_came(id, address);
                    }
                    if let Some(recovery) = &mut self.recovery {
                        recovery.client_came(id, address);
                    }
                }
                Err(e) => self.line(&format!("a client's connection could not be taken: {e}")),
            }
        }
        self.accepting = true;
        false
    }

    /// Makes room for a new client. Who was answered for good and only has to close goes first, then who had the
    /// time to send something that can be used and did not, the oldest, then the one idle for longest. Those that
    /// have said nothing take the place of no idle one once they hold half of all: then the next one waits until
    /// they had their time. One with an open request never goes.
    pub(super) fn make_room(&mut self, now: f64) -> bool {
        // They are numbered as they came.
        let mut unproven = self.clients.iter().filter(|(_, c)| !c.is_proven() && !c.is_closing()).peekable();
        let oldest =
            unproven.peek().filter(|(_, c)| now - c.opened() > limits::CLIENT_YOUNG).map(|(id, _)| **id);
        let many = unproven.count() >= self.bounds.clients / 2;
        let idle = self.clients.iter().filter(|(_, c)| !many && c.is_idle() && c.is_proven());
        let idle = idle.min_by(|a, b| a.1.idle_since().total_cmp(&b.1.idle_since())).map(|(id, _)| *id);
        let over = self.clients.iter().find(|(_, c)| c.is_shut()).map(|(id, _)| *id);
        let goes = over.or(oldest).or(idle);
        if let Some(id) = goes {
            self.end_client(now, id);
        }
        goes.is_some()
    }

    pub(super) fn client_news(&mut self, id: ClientId, news: Readiness) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.stream.note(news);
            Self::queue(&mut self.ready, Peer::Client(id));
        }
    }

    pub(super) fn serve_client(&mut self, now: f64, id: ClientId) {
        self.flush_client(now, id);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let progress = if client.wants_reading() { client.read(now) } else { Progress::Drained };
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            let before = client.stream.input.len();
            let message = client.take_message();
            let bytes = before - client.stream.input.len();
            match message {
                Ok(None) => {
                    if let Some(flows) = &mut self.flows {
                        flows.heard(now, id, bytes);
                    }
                    break;
                }
                Ok(Some(message)) => self.client_message(clock::now(), id, message, bytes),
                Err(broken) => {
                    if let Some(flows) = &mut self.flows {
                        match broken.id {
                            Some(request) => flows.asked(now, id, request, "", bytes),
                            None => flows.heard(now, id, bytes),
                        }
                    }
                    // What can still be answered is, then the connection closes.
                    if let Some(request) = broken.id {
                        let answer = Answer::Unusable(broken.why);
                        flows::put(&mut self.flows, client, (id, request), &answer, false);
                    }
                    self.dismiss(now, id, broken.why);
                }
            }
            self.pump(now);
        }
        match progress {
            Progress::More => Self::queue(&mut self.ready, Peer::Client(id)),
            Progress::Ended => self.end_client(now, id),
            Progress::Drained => {}
        }
    }

    /// A client's connection is of no more use: nothing that comes on it is looked at. What is open is answered,
    /// and it closes.
    fn dismiss(&mut self, now: f64, id: ClientId, why: &str) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.begin_close();
        self.router.counters.unusable += 1;
        self.line(&format!("a client's connection closes: {why}"));
        self.chores.set(now + limits::CLOSING, Chore::Linger(id));
        self.flush_client(now, id);
    }

    /// Whether connections and bodies hold as many bytes as they may.
    pub(super) fn is_full(&self) -> bool {
        let (clients, members) = (&self.from_clients, &self.from_members);
        let all = clients.input.get() + clients.output.get() + members.input.get() + self.router.held();
        let all = all + self.sites.as_ref().map_or(0, |s| s.holds());
        let all = all + self.flows.as_ref().map_or(0, |f| f.holds());
        all > self.bounds.bytes
    }

    /// A client's message came, of so many bytes.
    fn client_message(&mut self, now: f64, id: ClientId, message: Message, bytes: usize) {
        let is_full = self.is_full();
        if let Some(flows) = &mut self.flows {
            match &message {
                Message::Call(request, call) => flows.asked(now, id, *request, &call.class, bytes),
                Message::Unusable(request, _) => flows.asked(now, id, *request, "", bytes),
                Message::Ping(_) | Message::Abort(_) | Message::Ignored => flows.heard(now, id, bytes),
            }
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        match message {
            Message::Call(request, call) => {
                if self.router.is_open(id, request) || crosses(&self.sites, id, request) {
                    // Two open requests of one id: no answer could be told from the other's.
                    self.router.counters.unusable += 1;
                    self.line("a client's connection closes: two open requests of one id");
                    return self.end_client(now, id);
                }
                if !client.follows(request) {
                    // The page has them start at 1 and count up; whoever does otherwise made this one up.
                    let why = "message ids do not start at 1 and count up";
                    flows::put(&mut self.flows, client, (id, request), &Answer::Unusable(why), false);
                    return self.dismiss(now, id, why);
                }
                if self.last_accepts {
                    // The time for stragglers is over: what is refused at once is soon with another gateway.
                    self.router.counters.refused += 1;
                    flows::put(&mut self.flows, client, (id, request), &Answer::Refused(0.0), false);
                    return self.flush_client(now, id);
                }
                // What all hold is looked at before what this one may.
                if !is_full && client.admit() {
                    let kept_out = self.recovery.as_mut().and_then(|r| r.request(now, id, request, &call));
                    if let Some(answer) = kept_out {
                        self.router.counters.refused += 1;
                        return self.answer(now, id, request, &answer);
                    }
                    if let Some(call) = self.cross(now, id, request, *call) {
                        self.router.request(now, id, request, call);
                    }
                    return;
                }
                self.router.counters.refused += 1;
                flows::put(&mut self.flows, client, (id, request), &Answer::Refused(0.0), false);
            }
            Message::Ping(request) => {
                client.follows(request);
                client.push(front::ready(request, self.terminating.is_none()));
                if let Some(flows) = &mut self.flows {
                    flows.answered(id, None, Outcome::Served);
                }
            }
            Message::Abort(requests) => {
                for request in requests {
                    if self.router.is_open(id, request) || crosses(&self.sites, id, request) {
                        let Some(client) = self.clients.get_mut(&id) else { return };
                        let many = client.release();
                        if let Some(recovery) = &mut self.recovery {
                            recovery.gone(now, id, request..=request);
                        }
                        if let Some(flows) = &mut self.flows {
                            flows.client_gave_up(now, id, request);
                        }
                        self.router.abort(now, id, request);
                        self.cross_gone(now, id, request..=request);
                        if many {
                            return self.dismiss(now, id, "it takes back all that it asks for");
                        }
                    }
                }
                return;
            }
            Message::Unusable(request, why) => {
                client.follows(request);
                self.router.counters.unusable += 1;
                flows::put(&mut self.flows, client, (id, request), &Answer::Unusable(why), false);
            }
            Message::Ignored => return,
        }
        self.flush_client(now, id);
    }

    pub(super) fn answer(&mut self, now: f64, id: ClientId, request: u32, answer: &Answer) {
        // Who left before the answer came was counted when it left.
        let told = self.recovery.as_mut().and_then(|r| r.answered(now, id, request, answer));
        let answer = told.as_ref().unwrap_or(answer);
        if let Some(client) = self.clients.get_mut(&id) {
            flows::put(&mut self.flows, client, (id, request), answer, true);
            self.flush_client(now, id);
        }
    }

    pub(super) fn flush_client(&mut self, now: f64, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let before = client.stream.queued();
        let flows = &mut self.flows;
        let whole = |bytes| {
            if let Some(flows) = flows {
                flows.client_wrote(now, id, bytes);
            }
        };
        let broken = client.flush(now, whole).is_err();
        let left = client.stream.queued();
        if broken {
            self.end_client(now, id);
        } else if client.shut() {
            // From here on the client has a while to close its side.
            self.chores.set(now + limits::LINGER, Chore::Linger(id));
        } else if before >= limits::CLIENT_OUTGOING && left < limits::CLIENT_OUTGOING {
            Self::queue(&mut self.ready, Peer::Client(id));
        }
    }

    pub(super) fn end_client(&mut self, now: f64, id: ClientId) {
        if let Some(client) = self.clients.remove(&id) {
            if let Some(flows) = &mut self.flows {
                flows.client_gone(now, id, &client);
            }
            client.stream.close(&self.handle);
            if let Some(recovery) = &mut self.recovery {
                recovery.client_gone(now, id);
            }
            self.router.client_gone(now, id);
            self.cross_gone(now, id, 0..=u32::MAX);
        }
    }
}
