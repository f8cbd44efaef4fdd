//! Clients: accepting them, their messages, their answers, their end.

use crate::program::gateway::{ACCEPT_AGAIN, ACCEPTS, Chore, Gateway, Need, Peer, context};
use crate::program::subsystem::{Event, Verdict};
use crate::protocol::downstream::{self, Answer, Message};
use crate::protocol::limits;
use crate::routing::ClientId;
use crate::transport::client::Client;
use crate::transport::clock;
use crate::transport::listener::{Accepted, Listener};
use crate::transport::stream::{Progress, Stream};
use calloop::Readiness;

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
    pub(super) fn accept_again(&mut self, now: f64) -> bool {
        if !std::mem::replace(&mut self.accept_due, true) {
            self.chores.schedule(now + ACCEPT_AGAIN, Chore::Accept);
        }
        false
    }

    /// Accepts some that wait. Tells whether nobody waits any more.
    fn accept_from(&mut self, now: f64, listener: &Listener) -> bool {
        for _ in 0..ACCEPTS {
            if self.clients.len() >= self.bounds.clients && !self.make_room(now, Need::Newcomer) {
                // Those that wait stay in the kernel's queue until a place is free.
                return self.accept_again(now);
            }
            let socket = match listener.accept() {
                Accepted::One(socket) => socket,
                Accepted::None => return true,
                Accepted::Exhausted => {
                    // At each newcomer, or each time that accepting is tried again, it would crowd out all other lines.
                    if !std::mem::replace(&mut self.lack_told, true) {
                        self.line("no descriptor is left for a client");
                    }
                    self.make_room(now, Need::Newcomer);
                    return self.accept_again(now);
                }
            };
            self.next += 1;
            let id = self.next;
            let ready = move |g: &mut Gateway, news| g.client_news(id, news);
            let address =
                if self.parts.wants_addresses() { socket.peer_addr().ok().map(|at| at.ip()) } else { None };
            match Stream::accepted(&self.handle, &self.from_clients, socket, ready) {
                Ok(stream) => {
                    self.clients.insert(id, Client::new(stream, now));
                    let event = Event::ClientCame { client: id, address };
                    self.parts.tell(&context(now, &self.router), &event);
                }
                Err(e) => self.line(&format!("a client's connection could not be taken: {e}")),
            }
        }
        self.accepting = true;
        false
    }

    /// Makes room. Who was answered for good and only has to close goes first, then who had the time to send something
    /// that can be used and did not, the oldest, then the one idle for longest. Those that have said nothing take the
    /// place of no idle one once they hold half of all: then the next one waits until they had their time. What the
    /// gateway itself needs waits for none of them. One with an open request never goes, nor one on which something
    /// came in the moment before.
    pub(super) fn make_room(&mut self, now: f64, need: Need) -> bool {
        for _ in 0..ACCEPTS {
            let Some(id) = self.dispensable(now, need) else { return false };
            let idle_since = self.clients.get(&id).map(Client::idle_since);
            self.hear_anew(now, id);
            let Some(client) = self.clients.get(&id) else { return true };
            if client.is_shut() || Some(client.idle_since()) == idle_since && client.is_idle() {
                self.end_client(now, id);
                return true;
            }
        }
        false
    }

    fn dispensable(&self, now: f64, need: Need) -> Option<ClientId> {
        // They are numbered as they came.
        let mut unproven = self.clients.iter().filter(|(_, c)| !c.is_proven() && !c.is_closing()).peekable();
        let first = unproven.peek().map(|(id, c)| (**id, now - c.opened()));
        let oldest = first.filter(|(_, age)| *age > limits::CLIENT_YOUNG).map(|(id, _)| id);
        // Where all came a moment ago, the watch would find none at each of its tries.
        let young = first.filter(|_| need == Need::Own).map(|(id, _)| id);
        let many = unproven.count() >= self.bounds.clients / 2;
        let idle = self.clients.iter().filter(|(_, c)| !many && c.is_idle() && c.is_proven());
        let idle = idle.min_by(|a, b| a.1.idle_since().total_cmp(&b.1.idle_since())).map(|(id, _)| *id);
        let over = self.clients.iter().find(|(_, c)| c.is_shut()).map(|(id, _)| *id);
        over.or(oldest).or(idle).or(young)
    }

    pub(super) fn client_news(&mut self, id: ClientId, news: Readiness) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.stream.note(news);
            Self::queue(&mut self.ready, Peer::Client(id));
        }
    }

    pub(super) fn serve_client(&mut self, now: f64, id: ClientId) {
        self.flush_client(now, id);
        self.hear_client(now, id);
    }

    /// Takes in what has come from a client, so far that nothing which it takes back in the same breath, or leaves
    /// behind as it closes, is sent on: nothing is carried out here. Reading never stops because answers wait, as
    /// its end and what it takes back come behind all else.
    fn hear_client(&mut self, now: f64, id: ClientId) {
        let began = clock::now();
        for _ in 0..limits::CLIENT_AHEAD {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if !client.stream.is_readable() {
                return;
            }
            match client.read(now) {
                // Whoever has closed is gone: what came in front of that begins nothing.
                Progress::Ended => return self.end_client(now, id),
                Progress::Drained => return self.take_messages(now, id),
                Progress::More => self.take_messages(now, id),
            }
            // What is dropped needs no hurry, and a flood of small messages holds up nobody: others have their turn.
            if self.clients.get(&id).is_none_or(Client::is_closing) || clock::now() - began > limits::NEWS {
                break;
            }
        }
        Self::queue(&mut self.ready, Peer::Client(id));
    }

    /// The same after a look at what the kernel holds by now.
    fn hear_anew(&mut self, now: f64, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.stream.doubt();
            self.hear_client(now, id);
        }
    }

    /// Hears a client before an attempt goes out for it: its end or what it takes back may have come already, also
    /// where the loop was not told yet, as a turn took long or the process had no core.
    pub(super) fn hear_before(&mut self, now: f64, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if clock::now() - client.heard() > limits::NEWS {
            client.stream.doubt();
        }
        self.hear_client(now, id);
    }

    /// Begins to close a connection on which nothing is owed, after a look at what came in the moment before: told
    /// that nothing more comes, the client closes its side, and what crosses is sent again on another connection.
    pub(super) fn retire_client(&mut self, now: f64, id: ClientId) {
        let idle_since = self.clients.get(&id).map(Client::idle_since);
        self.hear_anew(now, id);
        let Some(client) = self.clients.get_mut(&id).filter(|c| !c.is_closing()) else { return };
        let came = Some(client.idle_since()) != idle_since && self.terminating.is_none();
        if client.is_idle() && !client.is_amid() && !came {
            client.begin_close();
            self.flush_client(now, id);
        }
    }

    fn take_messages(&mut self, now: f64, id: ClientId) {
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            let before = client.stream.input.len();
            let message = client.take_message();
            let bytes = before - client.stream.input.len();
            match message {
                Ok(None) => {
                    let event = Event::Heard { client: id, bytes };
                    self.parts.tell(&context(now, &self.router), &event);
                    break;
                }
                Ok(Some(message)) => self.client_message(clock::now(), id, message, bytes),
                Err(broken) => {
                    let event = match broken.id {
                        Some(request) => Event::Asked { client: id, id: request, class: "", bytes },
                        None => Event::Heard { client: id, bytes },
                    };
                    self.parts.tell(&context(now, &self.router), &event);
                    // What can still be answered is, then the connection closes.
                    if let Some(request) = broken.id {
                        let answer = Answer::Unusable(broken.why);
                        self.put(now, (id, request), &answer, false);
                    }
                    self.dismiss(now, id, broken.why);
                }
            }
            if self.clients.get(&id).is_some_and(Client::is_overfull) {
                self.dismiss(now, id, "it reads none of its refusals");
            }
        }
    }

    /// A client's connection is of no more use: nothing that comes on it is looked at. What is open is answered,
    /// and it closes.
    pub(super) fn dismiss(&mut self, now: f64, id: ClientId, why: &str) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.begin_close();
        self.router.counters.invalid += 1;
        self.line(&format!("a client's connection closes: {why}"));
        self.chores.schedule(now + limits::CLOSING, Chore::Linger(id));
        self.flush_client(now, id);
    }

    /// Whether connections and bodies hold as many bytes as they may.
    pub(super) fn is_full(&self) -> bool {
        let (clients, members) = (&self.from_clients, &self.from_members);
        let all = clients.input.get() + clients.output.get() + members.input.get() + self.router.body_bytes();
        let all = all + self.parts.holds();
        let all = all + self.lines.as_ref().map_or(0, |l| l.holds());
        let all = all + self.exits.as_ref().map_or(0, |e| e.holds());
        all > self.bounds.bytes
    }

    /// A client's message came, of so many bytes.
    fn client_message(&mut self, now: f64, id: ClientId, message: Message, bytes: usize) {
        let is_full = self.is_full();
        let event = match &message {
            Message::Call(request, call) => {
                Event::Asked { client: id, id: *request, class: &call.class, bytes }
            }
            Message::Unusable(request, _) => Event::Asked { client: id, id: *request, class: "", bytes },
            Message::Ping(_) | Message::Abort(_) | Message::Ignored => Event::Heard { client: id, bytes },
        };
        self.parts.tell(&context(now, &self.router), &event);
        let Some(client) = self.clients.get_mut(&id) else { return };
        match message {
            Message::Call(request, call) => {
                if self.router.is_open(id, request) || self.parts.holds_request(id, request) {
                    // Two open requests of one id: no answer could be told from the other's.
                    self.router.counters.invalid += 1;
                    self.line("a client's connection closes: two open requests of one id");
                    return self.end_client(now, id);
                }
                if !client.follows(request) {
                    // The page has them start at 1 and count up; whoever does otherwise made this one up.
                    let why = "message ids do not start at 1 and count up";
                    self.put(now, (id, request), &Answer::Unusable(why), false);
                    return self.dismiss(now, id, why);
                }
                if self.last_accepts {
                    // The time for stragglers is over: what is refused at once is soon with another gateway.
                    self.router.counters.rejected += 1;
                    self.put(now, (id, request), &Answer::Refused(0.0), false);
                    return self.flush_client(now, id);
                }
                // What all hold is looked at before what this one may.
                if !is_full && client.admit() {
                    match self.parts.request(&context(now, &self.router), (id, request), &call) {
                        Verdict::Pass => self.router.request(now, id, request, *call),
                        Verdict::Taken => {}
                        Verdict::Answer(answer) => {
                            match answer {
                                Answer::Unusable(_) => self.router.counters.invalid += 1,
                                _ => self.router.counters.count(&answer),
                            }
                            self.answer(now, id, request, &answer);
                        }
                    }
                    return;
                }
                self.router.counters.rejected += 1;
                self.put(now, (id, request), &Answer::Refused(0.0), false);
            }
            Message::Ping(request) => {
                client.follows(request);
                client.push(downstream::ready(request, self.terminating.is_none()));
                self.parts.tell(&context(now, &self.router), &Event::Ponged { client: id });
            }
            Message::Abort(requests) => {
                for request in requests {
                    if self.router.is_open(id, request) || self.parts.holds_request(id, request) {
                        let Some(client) = self.clients.get_mut(&id) else { return };
                        let many = client.release();
                        let event = Event::GaveUp { client: id, id: request };
                        self.parts.tell(&context(now, &self.router), &event);
                        self.router.cancel(now, id, request);
                        if many {
                            return self.dismiss(now, id, "it takes back all that it asks for");
                        }
                    }
                }
                return;
            }
            Message::Unusable(request, why) => {
                client.follows(request);
                self.router.counters.invalid += 1;
                self.put(now, (id, request), &Answer::Unusable(why), false);
            }
            Message::Ignored => return,
        }
        self.flush_client(now, id);
    }

    pub(super) fn answer(&mut self, now: f64, id: ClientId, request: u32, answer: &Answer) {
        // Who left before the answer came was counted when it left.
        let told = match self.parts.is_on() {
            true => self.parts.answer(&context(now, &self.router), (id, request), answer),
            false => None,
        };
        self.put(now, (id, request), told.as_ref().unwrap_or(answer), true);
        self.flush_client(now, id);
    }

    /// Puts an answer behind what waits for a client.
    fn put(&mut self, now: f64, (id, request): (ClientId, u32), answer: &Answer, admitted: bool) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.answer(request, answer, admitted);
        let event = Event::Answered { client: id, id: request, answer };
        self.parts.tell(&context(now, &self.router), &event);
    }

    pub(super) fn flush_client(&mut self, now: f64, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (parts, cx) = (&mut self.parts, context(now, &self.router));
        let whole = |bytes| parts.tell(&cx, &Event::Wrote { client: id, bytes });
        let broken = client.flush(now, whole).is_err();
        if broken {
            self.end_client(now, id);
        } else if client.shut(now) {
            // From here on the client has a while to close its side.
            self.chores.schedule(now + limits::LINGER, Chore::Linger(id));
        }
    }

    /// A closing connection has had its time. As long as it owes the answer to what was asked before, it stays: each
    /// request has its own end.
    pub(super) fn lingered(&mut self, now: f64, id: ClientId) {
        match self.clients.get(&id) {
            Some(client) if !client.is_shut() && self.router.owes_to(id) => {
                self.chores.schedule(now + limits::CLOSING, Chore::Linger(id));
            }
            Some(client) if client.still_comes(now) => {
                self.chores.schedule(now + limits::LINGER, Chore::Linger(id));
            }
            Some(client) if client.is_shut() => self.end_client(now, id),
            _ => self.cut_client(now, id),
        }
    }

    /// Closes the connection of one who does not read what is written.
    pub(super) fn cut_client(&mut self, now: f64, id: ClientId) {
        if let Some(client) = self.clients.get(&id) {
            client.stream.abort();
            self.end_client(now, id);
        }
    }

    /// Closes a connection, or one that has ended. What had come is read first: closed over unread bytes it would
    /// be reset, and what was written on it taken back.
    pub(super) fn end_client(&mut self, now: f64, id: ClientId) {
        if let Some(mut client) = self.clients.remove(&id) {
            client.stream.read();
            let cut = client.stream.cut().map_or(0, |written| written.bytes);
            let event = Event::ClientGone { client: id, cut, unread: client.stream.input.len() };
            client.stream.close(&self.handle);
            self.parts.tell(&context(now, &self.router), &event);
            self.router.client_gone(now, id);
        }
    }
}
