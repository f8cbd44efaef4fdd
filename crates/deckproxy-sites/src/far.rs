//! The side that serves: attempts that came over links, by session and number.
//!
//! A number is run at most once, whatever connection it comes on and however often. What runs goes on through a cut;
//! its answer is kept until the near side says that it has it, until the session is forgotten, or until the room for
//! kept answers is needed. A number asked after in a session that remembers nothing of it never came, and is fenced:
//! should it still come on an old connection, it is dropped.

use crate::frame::{Answer, Ask, Became, Bye, Credit, Fate, Hello, Numbers, Piece, Say, Word};
use crate::{LinkLimits, Millis};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// A connection, by the caller's number.
pub type Conn = u64;
/// A run, by our number.
pub type Run = u64;

/// Attempts remembered of one session, at most; the near side has as many open at the most.
const REMEMBERED: usize = 1 << 20;
/// Numbers in one message that are looked at.
const NUMBERS: usize = 1 << 16;

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// How.
    pub word: Word,
    /// With a refusal: when to come back.
    pub cooldown: Millis,
    /// The body.
    pub body: Bytes,
    /// When the copy was given out by the origin, on our clock.
    pub issued: Option<Millis>,
    /// Its tag.
    pub tag: String,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Say something on a connection.
    Send(Conn, Say),
    /// Close it, after what was said.
    Close(Conn, String),
    /// Serve a request.
    Run(Run, Ask),
    /// Nobody waits for it any more.
    Withdraw(Run),
}

#[derive(Debug)]
enum State {
    Running(Run),
    /// Kept until it is known to be there; pieces were sent up to `sent`, more may go up to `credit`.
    Ended {
        ended: Ended,
        sent: usize,
        credit: usize,
        at: Millis,
    },
    /// It is not to be taken.
    Fenced,
    /// It ended, and its answer had to be dropped.
    Dropped,
}

#[derive(Debug)]
struct Attempt {
    conn: Option<Conn>,
    state: State,
}

#[derive(Debug)]
struct Session {
    attempts: BTreeMap<u64, Attempt>,
    /// Numbers below were used before this session was known here.
    floor: u64,
    /// Since when no connection speaks for it.
    cut: Option<Millis>,
    credit: usize,
}

#[derive(Debug)]
struct Peer {
    key: SessionKey,
    /// Attempts with pieces to send, in turn.
    sending: VecDeque<u64>,
    heard: Millis,
}

type SessionKey = (String, u64);

/// All that comes in over links.
#[derive(Debug)]
pub struct Far {
    limits: LinkLimits,
    sessions: BTreeMap<SessionKey, Session>,
    peers: BTreeMap<Conn, Peer>,
    runs: BTreeMap<Run, (SessionKey, u64)>,
    next: Run,
    /// Bytes of answers that are kept.
    kept: usize,
    away: Option<(String, Millis)>,
    effects: VecDeque<Effect>,
    /// Attempts that came a second time, or after they were fenced.
    pub doubled: u64,
    /// Answers dropped for room.
    pub dropped: u64,
}

impl Far {
    /// Nothing has come yet.
    pub fn new(limits: LinkLimits) -> Self {
        Far {
            limits,
            sessions: BTreeMap::new(),
            peers: BTreeMap::new(),
            runs: BTreeMap::new(),
            next: 0,
            kept: 0,
            away: None,
            effects: VecDeque::new(),
            doubled: 0,
            dropped: 0,
        }
    }

    /// The next thing to be done.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Runs, sessions, connections, and bytes of kept answers.
    pub fn sizes(&self) -> [usize; 4] {
        [self.runs.len(), self.sessions.len(), self.peers.len(), self.kept]
    }

    /// A peer has said who it is, and fits.
    pub fn up(&mut self, now: Millis, conn: Conn, hello: &Hello) {
        let key = (hello.site.clone(), hello.session);
        let credit = (hello.credit as usize).clamp(1, 1 << 30);
        let fresh = || Session { attempts: BTreeMap::new(), floor: hello.next, cut: None, credit };
        let session = self.sessions.entry(key.clone()).or_insert_with(fresh);
        session.cut = None;
        self.peers.insert(conn, Peer { key, sending: VecDeque::new(), heard: now });
        if let Some((why, cooldown)) = self.away.clone() {
            let away = crate::frame::GoAway { why, cooldown };
            self.effects.push_back(Effect::Send(conn, Say::GoAway(away)));
        }
    }

    /// A connection has ended.
    pub fn down(&mut self, now: Millis, conn: Conn) {
        let Some(peer) = self.peers.remove(&conn) else { return };
        let others = self.peers.values().any(|p| p.key == peer.key);
        let Some(session) = self.sessions.get_mut(&peer.key) else { return };
        for attempt in session.attempts.values_mut().filter(|a| a.conn == Some(conn)) {
            attempt.conn = None;
        }
        if !others {
            session.cut = Some(now);
        }
    }

    /// Something came on a connection that has said hello. Tells whether it belonged here.
    pub fn say(&mut self, now: Millis, conn: Conn, say: Say) -> bool {
        let Some(peer) = self.peers.get_mut(&conn) else { return false };
        peer.heard = now;
        match say {
            Say::Ask(ask) => self.ask(now, conn, ask),
            Say::Credit(credit) => self.credit(conn, &credit),
            Say::Done(numbers) => {
                for number in numbers.numbers.into_iter().take(NUMBERS) {
                    self.done(conn, number);
                }
            }
            Say::Resume(numbers) => self.resume(now, conn, numbers),
            _ => return false,
        }
        true
    }

    /// Something else came on it.
    pub fn heard(&mut self, now: Millis, conn: Conn) {
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.heard = now;
        }
    }

    fn ask(&mut self, now: Millis, conn: Conn, ask: Ask) {
        let Some(peer) = self.peers.get(&conn) else { return };
        let key = peer.key.clone();
        let Some(session) = self.sessions.get_mut(&key) else { return };
        if ask.number < session.floor || session.attempts.contains_key(&ask.number) {
            self.doubled += 1;
            return;
        }
        let number = ask.number;
        if session.attempts.len() >= REMEMBERED || ask.allow.is_nan() || ask.allow <= 0.0 {
            let word = if ask.allow > 0.0 { Word::Refused } else { Word::Unusable };
            let ended = Ended { word, cooldown: 0.0, body: Bytes::new(), issued: None, tag: String::new() };
            let state = State::Ended { ended, sent: 0, credit: 0, at: now };
            session.attempts.insert(number, Attempt { conn: Some(conn), state });
            return self.tell(now, &key, number);
        }
        self.next += 1;
        let run = self.next;
        session.attempts.insert(number, Attempt { conn: Some(conn), state: State::Running(run) });
        self.runs.insert(run, (key, number));
        self.effects.push_back(Effect::Run(run, ask));
    }

    /// A run has ended.
    pub fn ended(&mut self, now: Millis, run: Run, ended: Ended) {
        let Some((key, number)) = self.runs.remove(&run) else { return };
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let Some(attempt) = session.attempts.get_mut(&number) else { return };
        self.kept += ended.body.len();
        attempt.state = State::Ended { ended, sent: 0, credit: session.credit, at: now };
        self.tell(now, &key, number);
        self.make_room();
    }

    /// Tells the near side how an attempt ended, if there is a connection for that, and starts on its body.
    fn tell(&mut self, now: Millis, key: &SessionKey, number: u64) {
        let Some(attempt) = self.sessions.get_mut(key).and_then(|s| s.attempts.get_mut(&number)) else {
            return;
        };
        let (Some(conn), State::Ended { ended, sent, .. }) = (attempt.conn, &mut attempt.state) else {
            return;
        };
        *sent = 0;
        let answer = Answer {
            number,
            word: ended.word.into(),
            cooldown: ended.cooldown,
            length: ended.body.len() as u32,
            age: ended.issued.map(|at| (now - at).max(0.0)),
            tag: ended.tag.clone(),
        };
        let has_body = !ended.body.is_empty();
        self.effects.push_back(Effect::Send(conn, Say::Answer(answer)));
        if let Some(peer) = self.peers.get_mut(&conn).filter(|_| has_body) {
            peer.sending.push_back(number);
        }
    }

    /// The next piece for a connection whose socket takes more: bodies take turns, piece by piece.
    pub fn piece(&mut self, conn: Conn) -> Option<Say> {
        let peer = self.peers.get_mut(&conn)?;
        let session = self.sessions.get_mut(&peer.key)?;
        for _ in 0..peer.sending.len() {
            let number = peer.sending.pop_front()?;
            let Some(attempt) = session.attempts.get_mut(&number).filter(|a| a.conn == Some(conn)) else {
                continue;
            };
            let State::Ended { ended, sent, credit, .. } = &mut attempt.state else { continue };
            let end = ended.body.len().min(*credit).min(*sent + self.limits.chunk);
            if *sent < end {
                let piece = Piece { number, at: *sent as u32, bytes: ended.body.slice(*sent..end) };
                *sent = end;
                if *sent < ended.body.len() {
                    peer.sending.push_back(number);
                }
                return Some(Say::Piece(piece));
            }
            // Out of credit: it comes back into the turns with the next.
        }
        None
    }

    fn credit(&mut self, conn: Conn, told: &Credit) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        let Some(session) = self.sessions.get_mut(&peer.key) else { return };
        let Some(attempt) = session.attempts.get_mut(&told.number) else { return };
        if let State::Ended { ended, sent, credit, .. } = &mut attempt.state {
            *credit = (*credit).max(told.up_to as usize);
            if *sent < ended.body.len().min(*credit) && !peer.sending.contains(&told.number) {
                peer.sending.push_back(told.number);
            }
        }
    }

    /// The near side needs nothing more of an attempt.
    fn done(&mut self, conn: Conn, number: u64) {
        let Some(peer) = self.peers.get(&conn) else { return };
        let Some(session) = self.sessions.get_mut(&peer.key) else { return };
        if number < session.floor {
            return;
        }
        match session.attempts.remove(&number).map(|a| a.state) {
            // It was given up before it came: the ask may still be on another connection.
            None => {
                let state = State::Fenced;
                session.attempts.insert(number, Attempt { conn: None, state });
            }
            Some(State::Running(run)) => {
                self.runs.remove(&run);
                self.effects.push_back(Effect::Withdraw(run));
                let state = State::Fenced;
                session.attempts.insert(number, Attempt { conn: None, state });
            }
            Some(State::Ended { ended, .. }) => self.kept -= ended.body.len(),
            Some(fenced @ State::Fenced) => {
                session.attempts.insert(number, Attempt { conn: None, state: fenced });
            }
            Some(State::Dropped) => {}
        }
    }

    fn resume(&mut self, now: Millis, conn: Conn, numbers: Numbers) {
        let Some(key) = self.peers.get(&conn).map(|p| p.key.clone()) else { return };
        for number in numbers.numbers.into_iter().take(NUMBERS) {
            let Some(session) = self.sessions.get_mut(&key) else { return };
            let known = session.attempts.get_mut(&number);
            let became = match known {
                None if number < session.floor => Became::Unknown,
                None => {
                    let fenced = Attempt { conn: None, state: State::Fenced };
                    session.attempts.insert(number, fenced);
                    Became::Never
                }
                Some(attempt) => {
                    attempt.conn = Some(conn);
                    match attempt.state {
                        State::Running(_) => Became::Running,
                        State::Ended { .. } => Became::Ended,
                        State::Fenced => Became::Never,
                        State::Dropped => Became::Unknown,
                    }
                }
            };
            let fate = Fate { number, became: became.into() };
            self.effects.push_back(Effect::Send(conn, Say::Fate(fate)));
            if became == Became::Ended {
                // It begins anew, with the credit that a new answer has.
                let all = session.credit;
                if let Some(State::Ended { credit, .. }) =
                    session.attempts.get_mut(&number).map(|a| &mut a.state)
                {
                    *credit = all;
                }
                self.tell(now, &key, number);
            }
        }
    }

    /// Drops the oldest answers for which no connection waits, while too many bytes are kept. What is being sent
    /// stays: its end is bounded by the near side's credit and time.
    fn make_room(&mut self) {
        while self.kept > self.limits.retain {
            let all =
                self.sessions.iter().flat_map(|(key, s)| s.attempts.iter().map(move |(n, a)| (key, n, a)));
            let waiting = all.filter_map(|(key, number, a)| match &a.state {
                State::Ended { ended, at, .. } if a.conn.is_none() && !ended.body.is_empty() => {
                    Some((*at, key, *number))
                }
                _ => None,
            });
            let oldest = waiting.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key, n)| (key.clone(), n));
            let Some((key, number)) = oldest else { return };
            let attempt = self.sessions.get_mut(&key).and_then(|s| s.attempts.get_mut(&number));
            if let Some(attempt) = attempt {
                if let State::Ended { ended, .. } = &attempt.state {
                    self.kept -= ended.body.len();
                }
                attempt.state = State::Dropped;
                self.dropped += 1;
            }
        }
    }

    /// Ends connections that are silent, and forgets sessions that were cut for too long.
    pub fn tick(&mut self, now: Millis) {
        let silence = self.limits.silence;
        let silent = self.peers.iter().filter(|(_, p)| now - p.heard > silence).map(|(conn, _)| *conn);
        for conn in silent.collect::<Vec<_>>() {
            self.effects.push_back(Effect::Close(conn, "silent".to_string()));
            self.down(now, conn);
        }
        let over = |s: &Session| s.cut.is_some_and(|at| now - at > self.limits.reattach);
        let over: Vec<SessionKey> =
            self.sessions.iter().filter(|(_, s)| over(s)).map(|(key, _)| key.clone()).collect();
        for key in over {
            let Some(session) = self.sessions.remove(&key) else { continue };
            for attempt in session.attempts.into_values() {
                self.forget(attempt.state);
            }
        }
    }

    /// Attempts with lower numbers are over for the near side, whatever was said of them before: they are forgotten,
    /// and should one still come on some connection, it is not taken.
    pub fn floor(&mut self, conn: Conn, floor: u64) {
        let Some(session) = self.peers.get(&conn).and_then(|p| self.sessions.get_mut(&p.key)) else { return };
        session.floor = session.floor.max(floor);
        let open = session.attempts.split_off(&session.floor);
        let over = std::mem::replace(&mut session.attempts, open);
        for attempt in over.into_values() {
            self.forget(attempt.state);
        }
    }

    fn forget(&mut self, state: State) {
        match state {
            State::Running(run) => {
                self.runs.remove(&run);
                self.effects.push_back(Effect::Withdraw(run));
            }
            State::Ended { ended, .. } => self.kept -= ended.body.len(),
            State::Fenced | State::Dropped => {}
        }
    }

    /// Nothing new is taken any more: the near sides go elsewhere.
    pub fn go_away(&mut self, why: &str, cooldown: Millis) {
        self.away = Some((why.to_string(), cooldown));
        for conn in self.peers.keys().copied().collect::<Vec<_>>() {
            let away = crate::frame::GoAway { why: why.to_string(), cooldown };
            self.effects.push_back(Effect::Send(conn, Say::GoAway(away)));
        }
    }

    /// Attempts whose end the near side does not have yet.
    pub fn owed(&self) -> usize {
        let owed = |a: &Attempt| match &a.state {
            State::Running(_) => true,
            State::Ended { ended, sent, .. } => a.conn.is_some() && *sent < ended.body.len(),
            _ => false,
        };
        self.sessions.values().flat_map(|s| s.attempts.values()).filter(|a| owed(a)).count()
    }

    /// Ends a connection with a word on why.
    pub fn refuse(&mut self, conn: Conn, why: &str) {
        self.effects.push_back(Effect::Send(conn, Say::Bye(Bye { why: why.to_string() })));
        self.effects.push_back(Effect::Close(conn, why.to_string()));
    }
}
