//! The router: carries requests between clients, the decision module and members.
//!
//! It makes no choice of its own. It tells the module what happened, carries out what the module decides,
//! ends attempts and requests whose time is over, and checks what must hold of that.

use crate::protocol::downstream::{Answer, Call};
use crate::protocol::feed::News;
use crate::protocol::limits;
use crate::protocol::upstream::{Copy, Orders, Reply, Word};
use crate::routing::counters::Counters;
use crate::routing::members::{Members, Place};
use crate::routing::timers::Timers;
use deckproxy_control::Control;
use deckproxy_control::interface::{
    Action, AttemptEnding, Event, FillNote, Idempotency, Lifecycle, ListKind, LoadReport, Member, MemberId,
    Request, RequestId,
};
use deckproxy_settings::Conf;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// A client's connection.
pub type ClientId = u64;
/// One attempt, or one probe: its key on connections.
pub type AttemptKey = u64;

/// How an attempt ended other than by an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broke {
    /// No connection came up, or it broke before all was written: it never ran.
    NeverSent,
    /// The connection broke after all was written: it may have run.
    Reset,
}

/// What is to be done outside.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send an attempt.
    Ask {
        /// Its key.
        key: AttemptKey,
        /// The member.
        member: MemberId,
        /// Where that is.
        place: Place,
        /// Whose request it is.
        client: ClientId,
        /// The request.
        call: Rc<Call>,
        /// Orders beside it.
        orders: Orders,
        /// Time until it is taken back if none of it is written, ms.
        unsent: f64,
    },
    /// Give an attempt up; to be answered with `withdrawn`.
    Withdraw {
        /// Its key.
        key: AttemptKey,
        /// The member.
        member: MemberId,
    },
    /// Send a probe.
    Probe {
        /// Its key.
        key: AttemptKey,
        /// The member.
        member: MemberId,
        /// Where that is.
        place: Place,
    },
    /// The final answer to a client.
    Answer {
        /// Its connection.
        client: ClientId,
        /// The client's id of the request.
        id: u32,
        /// The answer.
        answer: Answer,
        /// The copy that it is from, where that is told.
        copy: Option<Copy>,
    },
    /// The feed told a purge, which other sites are to hear of: of an object or, where there is none, of a group.
    Purged {
        /// The object.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// Time since the purge.
        age: f64,
    },
    /// A probe ended.
    Probed {
        /// The member.
        member: MemberId,
        /// Whether it answered.
        good: bool,
    },
    /// The list of members has changed.
    Listed,
    /// Close idle connections to a member.
    Close(MemberId),
    /// A line for the operators from the module.
    Log(String),
}

#[derive(Clone, Copy, Debug)]
enum Due {
    /// An attempt's time is over.
    Attempt(AttemptKey),
    /// A request's time is over.
    Request(RequestId),
    /// A probe's time is over.
    Probe(AttemptKey),
    /// The module's own timer.
    Module(u64),
}

struct Out {
    no: u32,
    member: MemberId,
    sent: f64,
    /// Being given up: the ending to tell if it was sent.
    given_up: Option<AttemptEnding>,
}

struct Open {
    client: ClientId,
    id: u32,
    call: Rc<Call>,
    expires: f64,
    sends: u32,
    out: Vec<Out>,
    /// When the first attempt that may have run was sent.
    maybe_run: Option<f64>,
    /// It has its final answer, or needs none any more.
    ended: bool,
}

/// The router of one gateway.
pub struct Router {
    control: Control,
    conf: Conf,
    classes: HashMap<Box<str>, usize>,
    members: Members,
    open: BTreeMap<RequestId, Open>,
    ids: BTreeMap<(ClientId, u32), RequestId>,
    names: HashSet<Box<str>>,
    /// Bytes of the bodies of all that is open.
    held: usize,
    probes: HashMap<AttemptKey, MemberId>,
    next: RequestId,
    next_probe: u64,
    timers: Timers<Due>,
    events: VecDeque<Event>,
    telling: bool,
    effects: VecDeque<Effect>,
    last_event: u64,
    /// What the summary tells.
    pub counters: Counters,
}

/// Attempts of one request that a key has room for.
const ATTEMPTS: u64 = 1 << 8;
/// Marks a probe's key.
const PROBE: u64 = 1 << 63;

fn key(request: RequestId, no: u32) -> AttemptKey {
    u64::from(request) * ATTEMPTS + u64::from(no)
}

fn place_in(endings: AttemptEnding) -> usize {
    match endings {
        AttemptEnding::Served => 0,
        AttemptEnding::Error => 1,
        AttemptEnding::Rejected => 2,
        AttemptEnding::Timeout => 3,
        AttemptEnding::ConnectFailed => 4,
        AttemptEnding::Reset => 5,
        AttemptEnding::Cancelled => 6,
        AttemptEnding::NotSent => 7,
        AttemptEnding::Miss => 8,
    }
}

impl Router {
    /// A router that has just started and knows the events so far.
    pub fn new(now: f64, conf: Conf, seed: u64, known: (u64, Vec<(u64, News)>)) -> Self {
        let classes = conf.classes.iter().enumerate().map(|(i, name)| (name.as_str().into(), i)).collect();
        let mut router = Router {
            control: Control::new(conf.settings.clone(), seed),
            conf,
            classes,
            members: Members::default(),
            open: BTreeMap::new(),
            ids: BTreeMap::new(),
            names: HashSet::new(),
            held: 0,
            probes: HashMap::new(),
            next: 0,
            next_probe: 0,
            timers: Timers::default(),
            events: VecDeque::new(),
            telling: false,
            effects: VecDeque::new(),
            last_event: 0,
            counters: Counters::default(),
        };
        router.tell(now, Event::Started);
        for (number, news) in known.1 {
            router.last_event = router.last_event.max(number);
            router.news(now, news, ListKind::Cached);
        }
        router.last_event = router.last_event.max(known.0);
        router
    }

    /// The next thing to be done outside.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The settings.
    pub fn conf(&self) -> &Conf {
        &self.conf
    }

    /// Requests that are owed an answer.
    pub fn owed(&self) -> usize {
        self.ids.len()
    }

    /// Bytes of the bodies of all that is open.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Sizes of its tables and of the module's.
    pub fn sizes(&self) -> impl Iterator<Item = (&'static str, usize)> {
        let own = [
            ("requests", self.open.len()),
            ("members", self.members.len()),
            ("probing", self.probes.len()),
            ("timers", self.timers.len()),
        ];
        let names = ["peers", "deciding", "filling", "objects", "purges"];
        own.into_iter().chain(names.into_iter().zip(self.control.sizes()))
    }

    /// When `tick` is to be called next.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.next()
    }

    /// The number of the last event of the feed.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// A member's name on the wire.
    pub fn member_name(&self, id: MemberId) -> &str {
        self.members.name(id).unwrap_or("?")
    }

    /// Checks what must hold: asserted in debug builds, counted in release builds.
    fn must(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.counters.broken += 1;
            self.effects.push_back(Effect::Log(format!("broken invariant: {what}")));
        }
    }

    // ---- Input ---------------------------------------------------------------------------------------------

    /// The class of a request, by its place in the settings; the error tells why it can't be used.
    pub fn usable(&self, call: &Call) -> Result<usize, &'static str> {
        let class = self.classes.get(&call.class).copied().ok_or("an unknown class")?;
        let kind = &self.conf.settings.classes[class];
        // A size that takes so long would also be learned as the class's.
        let sending = call.size.filter(|_| self.conf.settings.transfer_rate > 0.0);
        let sending = sending.map_or(0.0, |kb| kb / self.conf.settings.transfer_rate * 1000.0);
        let wrong = [
            (
                call.key.is_some() != (kind.idempotency == Idempotency::Keyed),
                "replay: in keyed classes and in no other",
            ),
            (call.allow > kind.deadline + limits::SOCKET_SLACK, "allow is over the class's longest time"),
            (sending > kind.deadline * limits::LARGEST, "room is out of range"),
        ];
        wrong.iter().find(|(wrong, _)| *wrong).map_or(Ok(class), |(_, why)| Err(why))
    }

    /// Another site told a purge.
    pub fn purged(&mut self, now: f64, object: Option<u64>, group: u32, age: f64) {
        self.tell(now, Event::Purged { object, group, age });
    }

    /// A request came whole.
    pub fn request(&mut self, now: f64, client: ClientId, id: u32, call: Call) {
        let answer = |answer| Effect::Answer { client, id, answer, copy: None };
        let class = match self.usable(&call) {
            Ok(class) => class,
            Err(why) => {
                self.counters.unusable += 1;
                return self.effects.push_back(answer(Answer::Unusable(why)));
            }
        };
        if self.names.contains(&call.name) {
            // Attempts go by this name on the members' connections: two of one name can't be told apart.
            self.counters.unusable += 1;
            return self.effects.push_back(answer(Answer::Unusable("ref is in use")));
        }
        if self.open.len() >= self.conf.limits.open {
            self.counters.refused += 1;
            return self.effects.push_back(answer(Answer::Refused(0.0)));
        }
        let request = self.next;
        self.next = self.next.wrapping_add(1);
        let free = !self.open.contains_key(&request) && !self.ids.contains_key(&(client, id));
        self.must(free, "a request's id is free");
        self.counters.taken += 1;
        let expires = now + call.allow.min(self.conf.settings.classes[class].deadline);
        let told = Request {
            id: request,
            object: call.object.1,
            part: call.part.unwrap_or(0),
            group: call.group,
            size: call.size,
            class,
            deadline: expires,
        };
        self.held += call.body.len();
        self.names.insert(call.name.clone());
        self.ids.insert((client, id), request);
        let open = Open {
            client,
            id,
            call: call.into(),
            expires,
            sends: 0,
            out: Vec::new(),
            maybe_run: None,
            ended: false,
        };
        self.open.insert(request, open);
        let last = expires + (self.conf.limits.slack + limits::SOCKET_SLACK) * 0.5;
        self.timers.set(last, Due::Request(request));
        self.tell(now, Event::Request(told));
    }

    /// Whether a request of a client is open under this id.
    pub fn is_open(&self, client: ClientId, id: u32) -> bool {
        self.ids.contains_key(&(client, id))
    }

    /// Whether a client is owed an answer.
    pub fn owes_to(&self, client: ClientId) -> bool {
        self.ids.range((client, 0)..=(client, u32::MAX)).next().is_some()
    }

    /// A client gave a request up.
    pub fn abort(&mut self, now: f64, client: ClientId, id: u32) {
        if let Some(request) = self.ids.get(&(client, id)).copied() {
            self.counters.gone += 1;
            self.leave(now, request);
        }
    }

    /// A client's connection has ended with these requests open.
    pub fn client_gone(&mut self, now: f64, client: ClientId) {
        let left: Vec<u32> = self.ids.range((client, 0)..=(client, u32::MAX)).map(|(k, _)| k.1).collect();
        left.into_iter().for_each(|id| self.abort(now, client, id));
    }

    /// Nothing is owed for a request any more: the module hears of it, and what is out is given up.
    fn leave(&mut self, now: f64, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.ended = true;
        self.ids.remove(&(open.client, open.id));
        for out in open.out.iter_mut().filter(|o| o.given_up.is_none()) {
            out.given_up = Some(AttemptEnding::Cancelled);
            self.effects.push_back(Effect::Withdraw { key: key(request, out.no), member: out.member });
        }
        self.tell(now, Event::ClientGone(request));
        self.forget(request);
    }

    /// An attempt or a probe was answered.
    pub fn reply(&mut self, now: f64, at: AttemptKey, reply: Reply) {
        let values = reply.report.iter().map(|(name, v)| (&**name, *v));
        let load = deckproxy_settings::load(values);
        if let Some(member) = self.probes.remove(&at) {
            return self.probed(now, member, reply.word == Word::Alive(true), load);
        }
        let copy = reply.copy;
        // That a copy holds is believed only of the one that the client named.
        let held = self.open.get(&((at / ATTEMPTS) as RequestId)).and_then(|o| o.call.have.as_ref());
        let named = held.is_some() && held == copy.as_ref().map(|c| &c.tag);
        let (ending, answer) = match reply.word {
            Word::Ok => (AttemptEnding::Served, Some(Answer::Served(reply.body))),
            Word::Unchanged if named => (AttemptEnding::Served, Some(Answer::Unchanged)),
            Word::Miss => (AttemptEnding::Miss, None),
            Word::Full => (AttemptEnding::Rejected, None),
            Word::Over => (AttemptEnding::NotSent, None),
            // A probe's word under an attempt's id, and that another copy holds than the client's, prove nothing.
            Word::Error | Word::Alive(_) | Word::Unchanged => (AttemptEnding::Error, None),
        };
        self.end(now, at, ending, answer.map(|answer| (answer, copy)), load);
    }

    /// An attempt's or a probe's connection broke.
    pub fn broke(&mut self, now: f64, at: AttemptKey, how: Broke) {
        if let Some(member) = self.probes.remove(&at) {
            return self.probed(now, member, false, None);
        }
        let ending =
            if how == Broke::NeverSent { AttemptEnding::ConnectFailed } else { AttemptEnding::Reset };
        self.end(now, at, ending, None, None);
    }

    /// Whether an attempt is out and not given up.
    pub fn is_wanted(&self, at: AttemptKey) -> bool {
        let open = self.open.get(&((at / ATTEMPTS) as RequestId));
        open.is_some_and(|o| {
            o.out.iter().any(|out| u64::from(out.no) == at % ATTEMPTS && out.given_up.is_none())
        })
    }

    /// Whose request an attempt is of, if it is out.
    pub fn client_of(&self, at: AttemptKey) -> Option<ClientId> {
        self.open.get(&((at / ATTEMPTS) as RequestId)).map(|o| o.client)
    }

    /// An attempt that was to be given up is off its connection; `sent`: some of it had been written.
    pub fn withdrawn(&mut self, now: f64, at: AttemptKey, sent: bool) {
        let out = self.open.get(&((at / ATTEMPTS) as RequestId));
        let out = out.and_then(|o| o.out.iter().find(|o| key((at / ATTEMPTS) as RequestId, o.no) == at));
        let Some(ending) = out.and_then(|o| o.given_up) else { return };
        self.end(now, at, if sent { ending } else { AttemptEnding::NotSent }, None, None);
    }

    /// The feed told an event. One that was told before is passed over. Tells whether it followed the last one;
    /// if some are missing it is not taken, unless `gaps` says that they can't be had.
    pub fn feed(&mut self, now: f64, number: u64, news: News, gaps: bool) -> bool {
        if number <= self.last_event {
            return true;
        }
        if number != self.last_event + 1 && !gaps {
            return false;
        }
        self.last_event = number;
        self.news(now, news, ListKind::Full);
        true
    }

    /// Carries out what is due.
    pub fn tick(&mut self, now: f64) {
        while let Some((at, due)) = self.timers.due(now) {
            self.counters.late = self.counters.late.max(now - at);
            match due {
                Due::Module(token) => self.tell(now, Event::Timer(token)),
                Due::Attempt(at) => self.give_up(at, AttemptEnding::Timeout),
                Due::Probe(at) => {
                    if let Some(member) = self.probes.get(&at).copied() {
                        self.effects.push_back(Effect::Withdraw { key: at, member });
                        self.broke(now, at, Broke::Reset);
                    }
                }
                Due::Request(request) => {
                    // The module answers at the last attempt's end or before; this is the net below it.
                    if self.open.get(&request).is_some_and(|o| !o.ended) {
                        self.counters.overdue += 1;
                        self.finish(request, Answer::Failed);
                        self.leave(now, request);
                    }
                }
            }
        }
    }

    /// Ends all that is open, as the process is about to be killed.
    pub fn end_all(&mut self, now: f64) {
        let owed: Vec<RequestId> = self.open.iter().filter(|(_, o)| !o.ended).map(|(id, _)| *id).collect();
        for request in owed {
            self.finish(request, Answer::Failed);
            self.leave(now, request);
        }
    }

    // ---- The module ----------------------------------------------------------------------------------------

    fn news(&mut self, now: f64, news: News, whole_list: ListKind) {
        match news {
            News::Members { whole, entries, dropped } => {
                let (zones, kinds) = (&self.conf.zones, &self.conf.kinds);
                let all: Vec<Member> =
                    entries.iter().filter_map(|e| self.members.take(e, zones, kinds)).collect();
                let dropped = dropped + entries.len() - all.len();
                if dropped > 0 {
                    let text = format!("{dropped} lines of the list of members could not be read");
                    self.effects.push_back(Effect::Log(text));
                }
                // What is idle to one that has left is closed at once; the address may get a new member.
                let left = all.iter().filter(|m| m.lifecycle == Lifecycle::Gone).map(|m| m.id);
                let unlisted = self.members.ids().filter(|id| whole && !all.iter().any(|m| m.id == *id));
                let gone: Vec<MemberId> = left.chain(unlisted).collect();
                self.effects.extend(gone.iter().copied().map(Effect::Close));
                self.tell(now, Event::MemberList(if whole { whole_list } else { ListKind::Delta }, all));
                // The module asks them for nothing more; what is out there ends by its number alone.
                gone.into_iter().for_each(|id| self.members.forget(id));
                self.effects.push_back(Effect::Listed);
            }
            News::PurgeObject(object, at) => {
                let age = (now - at).max(0.0);
                self.purged_here(now, Some(object), 0, age);
            }
            News::PurgeGroup(group, at) => {
                let age = (now - at).max(0.0);
                self.purged_here(now, None, group, age);
            }
            News::Unknown => {}
            News::Unreadable(why) => {
                self.effects.push_back(Effect::Log(format!("an event of the feed can't be read: {why}")));
            }
        }
    }

    fn purged_here(&mut self, now: f64, object: Option<u64>, group: u32, age: f64) {
        self.effects.push_back(Effect::Purged { object, group, age });
        self.purged(now, object, group, age);
    }

    /// Hands an event to the module and carries out what it decides, until it has nothing more to say. Events
    /// that come up meanwhile wait until the actions before them are carried out.
    fn tell(&mut self, now: f64, event: Event) {
        self.events.push_back(event);
        if std::mem::replace(&mut self.telling, true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.control.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
        self.telling = false;
    }

    fn act(&mut self, now: f64, action: Action) {
        match action {
            Action::Lookup { request, member, deadline } => {
                self.ask(now, request, member, deadline, Orders::default());
            }
            Action::Get { request, member, deadline, source, copy_rank, max_age, options } => {
                let name = self.members.name(source).filter(|_| source != member).map(Into::into);
                let orders = Orders {
                    source: name,
                    keep: copy_rank,
                    age: max_age,
                    join: options.join,
                    held_only: options.cached_only,
                    no_parent_copy: options.no_parent_copy,
                    renew: options.renew,
                    wait: 0.0,
                };
                self.ask(now, request, member, deadline, orders);
            }
            Action::Reject { request, retry_after } => self.finish(request, Answer::Refused(retry_after)),
            Action::Fail { request } => self.finish(request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                self.give_up(key(request, attempt), AttemptEnding::Cancelled)
            }
            // Never at once: a timer that is always due would hold the loop for good.
            Action::Timer { token, at } => self.timers.set(at.max(now + limits::TICK), Due::Module(token)),
            Action::HealthCheck(member) => self.probe(now, member),
            Action::CloseIdle(member) => self.effects.push_back(Effect::Close(member)),
            Action::Log(text) => self.effects.push_back(Effect::Log(text)),
            // The feed pushes every change, and no page tells of messages between gateways.
            Action::SendToPeer(..) | Action::WatchMembers(_) | Action::FetchMembers => {}
        }
    }

    fn ask(&mut self, now: f64, request: RequestId, member: MemberId, until: f64, orders: Orders) {
        let known = self.open.get(&request).is_some_and(|o| !o.ended);
        self.must(known, "no attempt for a request that has ended");
        let place = self.members.place(member);
        let most = self.conf.settings.max_attempts;
        let Some(open) = self.open.get_mut(&request) else { return };
        let no = open.sends;
        open.sends += 1;
        open.out.push(Out { no, member, sent: now, given_up: None });
        let until = if until > 0.0 { until.min(open.expires) } else { open.expires };
        let moot = open.ended || until <= now || no >= most;
        let (client, call) = (open.client, Rc::clone(&open.call));
        // What may have run goes again only in its class's time for repeats, however long it waits to be written.
        let class = self.classes.get(&call.class).map(|class| &self.conf.settings.classes[*class]);
        let window = class.filter(|c| c.idempotency == Idempotency::Keyed).map(|c| c.dedup_window);
        let window = open.maybe_run.zip(window).map_or(f64::MAX, |(first, window)| first + window - now);
        let unsent = self.conf.limits.unsent.min(window);
        let at = key(request, no);
        match place {
            Some(place) if !moot => {
                self.timers.set(until, Due::Attempt(at));
                let orders = Orders { wait: until - now, ..orders };
                self.effects.push_back(Effect::Ask { key: at, member, place, client, call, orders, unsent });
            }
            _ => self.end(
                now,
                at,
                if moot { AttemptEnding::NotSent } else { AttemptEnding::ConnectFailed },
                None,
                None,
            ),
        }
    }

    /// Sends a member a probe.
    pub fn probe(&mut self, now: f64, member: MemberId) {
        self.must(self.conf.limits.probes, "probes are allowed");
        self.next_probe += 1;
        let at = PROBE | self.next_probe;
        match self.members.place(member).filter(|_| self.conf.limits.probes) {
            Some(place) => {
                self.counters.probes += 1;
                self.probes.insert(at, member);
                self.timers.set(now + limits::PROBE, Due::Probe(at));
                self.effects.push_back(Effect::Probe { key: at, member, place });
            }
            None => self.probed(now, member, false, None),
        }
    }

    fn probed(&mut self, now: f64, member: MemberId, good: bool, load: Option<LoadReport>) {
        self.effects.push_back(Effect::Probed { member, good });
        self.tell(now, Event::HealthChecked { member, ok: good, load });
    }

    /// The members as the list has them, with their names.
    pub fn listed(&self) -> impl Iterator<Item = (&Member, &str)> {
        self.members.listed()
    }

    /// From now on these members, and no others, are told to the module as draining: it sends them nothing new. One that
    /// the list itself has drain, or gone, stays so whatever is held back: the module never hears better of a member than
    /// the list says.
    pub fn hold_back(&mut self, now: f64, members: &[MemberId]) {
        let changed = self.members.hold_back(members);
        if !changed.is_empty() {
            self.tell(now, Event::MemberList(ListKind::Delta, changed));
        }
    }

    /// Gives an attempt up, if it is still out.
    fn give_up(&mut self, at: AttemptKey, ending: AttemptEnding) {
        let request = (at / ATTEMPTS) as RequestId;
        let out =
            self.open.get_mut(&request).and_then(|o| o.out.iter_mut().find(|o| key(request, o.no) == at));
        if let Some(out) = out.filter(|o| o.given_up.is_none()) {
            out.given_up = Some(ending);
            self.effects.push_back(Effect::Withdraw { key: at, member: out.member });
        }
    }

    /// An attempt has ended: an answer goes to the client, the module hears of it.
    fn end(
        &mut self,
        now: f64,
        at: AttemptKey,
        ending: AttemptEnding,
        answer: Option<(Answer, Option<Copy>)>,
        load: Option<LoadReport>,
    ) {
        let request = (at / ATTEMPTS) as RequestId;
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(i) = open.out.iter().position(|o| key(request, o.no) == at) else { return };
        let out = open.out.remove(i);
        let never_ran = matches!(
            ending,
            AttemptEnding::Rejected
                | AttemptEnding::ConnectFailed
                | AttemptEnding::NotSent
                | AttemptEnding::Miss
        );
        if !never_ran {
            open.maybe_run.get_or_insert(out.sent);
        }
        self.counters.endings[place_in(ending)] += 1;
        if let Some((answer, copy)) = answer.filter(|_| !open.ended) {
            self.finish_with(request, answer, copy);
        }
        let finished = self.open.get(&request).is_none_or(|o| o.ended);
        let elapsed = now - out.sent;
        let (attempt, member, note) = (out.no, out.member, FillNote::None);
        self.forget(request);
        let told = Event::AttemptEnded { request, attempt, member, ending, elapsed, finished, note, load };
        self.tell(now, told);
    }

    /// The final answer to a request.
    fn finish(&mut self, request: RequestId, answer: Answer) {
        self.finish_with(request, answer, None);
    }

    fn finish_with(&mut self, request: RequestId, answer: Answer, copy: Option<Copy>) {
        let open = self.open.get_mut(&request).filter(|o| !o.ended);
        let Some(open) = open else {
            // The module's word on a request that ended meanwhile.
            return;
        };
        open.ended = true;
        let (client, id) = (open.client, open.id);
        self.counters.count(&answer);
        let owed = self.ids.remove(&(client, id)).is_some();
        self.must(owed, "one final answer to a request");
        self.effects.push_back(Effect::Answer { client, id, answer, copy });
        self.forget(request);
    }

    /// Drops a request that has ended and has nothing out.
    fn forget(&mut self, request: RequestId) {
        if self.open.get(&request).is_none_or(|o| !o.ended || !o.out.is_empty()) {
            return;
        }
        if let Some(open) = self.open.remove(&request) {
            self.names.remove(&open.call.name);
            self.held -= open.call.body.len();
        }
    }
}
