//! The run: clients, gateways, members, links, feed and faults, event by event.

use crate::check::{Check, Passed};
use crate::expression::{self, Expression};
use crate::hosts::{Answered, Back, Effect, Host, Key, Listed, Order, TryNo};
use crate::load::{Class, Wish, Wishes};
use crate::members::{JobNo, Kind, Member, MemberNo};
use crate::queue::{Queue, Wheel};
use crate::record::{Point, Record, Times};
use crate::scenario::{Fault, Retry, Scenario, What};
use crate::{Micros, clock, micros, stream};
use ahash::AHashMap;
use deckproxy::protocol::feed::Phase;
use deckproxy::protocol::upstream::Status;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Instant;

/// Of random streams: what they are for.
const ARRIVALS: u64 = 1;
const WORK: u64 = 2;
const FAULTS: u64 = 3;
const HOSTS: u64 = 4;
const CLIENTS: u64 = 5;
/// Milliseconds of way from a client to its gateway.
const CLIENT_WAY: f64 = 0.2;
/// Until the feed tells of a crash, and from a change to a gateway, at the least and the most, ms.
const NOTICED: f64 = 1500.0;
const FEED_LAG: (f64, f64) = (20.0, 120.0);
/// Until a gateway that was killed serves again, ms.
const RESTART: f64 = 300.0;
/// Until a purged copy goes by itself, ms, and until none that is older may be asked for.
const LINGERS: f64 = 6000.0;
const PURGE_GRACE: f64 = 1000.0;
const DRAIN_GRACE: f64 = 500.0;
/// Milliseconds for which an answer may be late.
const SLACK: f64 = 60.0;
/// Distinct clients of a location.
const CLIENTS_EACH: u64 = 2000;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The next first try at a gateway; or, false, time to draw it anew, as the rate may have changed.
    Arrival(u32, bool),
    /// A client comes again.
    Again(TryNo),
    /// An answer to a client's so-manieth try reaches it.
    Answered(TryNo, u32, Answered),
    /// A gateway has something to do.
    Tick(u32, u32),
    /// A gateway starts anew, or serves again.
    Restart(u32),
    Back(u32),
    /// An attempt comes to a member; it is given up there.
    AtMember(JobNo),
    Quit(JobNo, u64),
    /// A core is done with a job, in that life of the member.
    Done(MemberNo, u32, JobNo, u64),
    /// A fill comes to its source, and back from there; issued 0: in vain.
    AtSource(JobNo, u64),
    Filled(JobNo, u64, Micros),
    /// An answer comes to a gateway.
    Reply(u32, u32, Key, Back),
    /// A connection is known to be broken.
    Broke(u32, u32, Key, bool),
    /// The feed tells a gateway how a member is, or a purge.
    Told(u32, u32, MemberNo),
    ToldPurge(u32, u32, u64, Micros),
    /// The feed notices that a member is not there, or is.
    Notice(MemberNo),
    Purge(usize),
    Fault(usize, bool),
    Flap(usize, usize),
    Step,
}

/// Work at a member.
#[derive(Clone, Copy, Debug)]
struct Job {
    /// One more for each use of this place.
    no: u64,
    /// Whose it is: an attempt of a gateway, or a fill for another member's job.
    of: Of,
    member: MemberNo,
    life: u32,
    order: Order,
    /// Nobody waits for it any more.
    given_up: bool,
    sent: Micros,
}

#[derive(Clone, Copy, Debug)]
enum Of {
    Attempt { gateway: u32, life: u32, key: Key, request: u64 },
    Fill { member: MemberNo, job: JobNo, no: u64 },
}

struct Gateway {
    host: Host,
    life: u32,
    up: bool,
    site: usize,
    location: usize,
    ticks: Option<Micros>,
    arrivals: Pcg64Mcg,
    clients: Pcg64Mcg,
    /// When purges were told here, by object: the time of the purge, and of the news.
    purged: AHashMap<u64, (Micros, Micros)>,
    /// Members that were told to be gone.
    gone: AHashMap<MemberNo, Micros>,
    attempts: AHashMap<Key, (JobNo, u64)>,
}

/// One client's wish over all its tries.
#[derive(Clone, Copy, Debug)]
struct Try {
    wish: Wish,
    client: u64,
    location: usize,
    gateway: u32,
    life: u32,
    first: Micros,
    until: Micros,
    tries: u32,
    write: u64,
    open: bool,
}

/// A model that runs.
pub struct World {
    set: Scenario,
    now: Micros,
    queue: Wheel<Event>,
    gateways: Vec<Gateway>,
    members: Vec<Member>,
    work: Vec<Pcg64Mcg>,
    jobs: Vec<Job>,
    free: Vec<JobNo>,
    next_job: u64,
    tries: AHashMap<TryNo, Try>,
    next_try: TryNo,
    next_write: u64,
    wishes: Vec<Wishes>,
    schedule: Option<Expression>,
    faults: Pcg64Mcg,
    feed_lag: Pcg64Mcg,
    /// When a location's link to its parents is free again, and the share that it carries.
    inlet: Vec<(Micros, f64)>,
    /// What faults have in force: times the load and the share of it for one object; the feed is still.
    load: (f64, f64),
    feed_still: bool,
    missed: Vec<MemberNo>,
    chosen: AHashMap<usize, Vec<MemberNo>>,
    purged: AHashMap<u64, Micros>,
    keyed: AHashMap<u64, Micros>,
    check: Check,
    point: Point,
    points: Vec<Point>,
    times: Times,
    all_times: Times,
    events: u64,
}

impl World {
    /// Sets a scenario up. It is to be good (`Scenario::faults_of`).
    pub fn new(set: &Scenario) -> Self {
        let mut members = Vec::new();
        let locations = set.sites * set.locations;
        for site in 0..set.sites {
            for location in site * set.locations..(site + 1) * set.locations {
                for _ in 0..set.caches {
                    members.push(Member::new(
                        Kind::Cache,
                        site,
                        location,
                        members.len() as MemberNo,
                        &set.members,
                    ));
                }
            }
            for _ in 0..set.parents {
                members.push(Member::new(
                    Kind::Parent,
                    site,
                    usize::MAX,
                    members.len() as MemberNo,
                    &set.members,
                ));
            }
            members.push(Member::new(
                Kind::Origin,
                site,
                usize::MAX,
                members.len() as MemberNo,
                &set.members,
            ));
        }
        let mut world = World {
            now: 0,
            queue: Wheel::default(),
            gateways: Vec::new(),
            work: (0..members.len()).map(|i| stream(set.seed, WORK, i as u64)).collect(),
            members,
            jobs: Vec::new(),
            free: Vec::new(),
            next_job: 0,
            tries: AHashMap::new(),
            next_try: 0,
            next_write: 0,
            wishes: (0..set.sites).map(|site| Wishes::new(site, &set.load)).collect(),
            schedule: set.load.schedule.as_deref().and_then(|text| expression::parse(text).ok()),
            faults: stream(set.seed, FAULTS, 0),
            feed_lag: stream(set.seed, FAULTS, 1),
            inlet: vec![(0, 1.0); locations],
            load: (1.0, 0.0),
            feed_still: false,
            missed: Vec::new(),
            chosen: AHashMap::new(),
            purged: AHashMap::new(),
            keyed: AHashMap::new(),
            check: Check::default(),
            point: Point::default(),
            points: Vec::new(),
            times: Times::default(),
            all_times: Times::default(),
            events: 0,
            set: set.clone(),
        };
        for location in 0..locations {
            for position in 0..set.gateways {
                let no = world.gateways.len() as u64;
                let site = location / set.locations;
                let listed = world.listed(site, location);
                let seed: u64 = stream(set.seed, HOSTS, no).random();
                world.gateways.push(Gateway {
                    host: Host::new(0, set, position, seed, &listed),
                    life: 0,
                    up: true,
                    site,
                    location,
                    ticks: None,
                    arrivals: stream(set.seed, ARRIVALS, no),
                    clients: stream(set.seed, CLIENTS, no),
                    purged: AHashMap::new(),
                    gone: AHashMap::new(),
                    attempts: AHashMap::new(),
                });
            }
        }
        for g in 0..world.gateways.len() as u32 {
            world.schedule_arrival(g);
            world.after(g);
        }
        for (i, fault) in set.faults.iter().enumerate() {
            world.queue.push(micros(fault.at), Event::Fault(i, true));
        }
        if set.load.purges > 0.0 {
            (0..set.sites).for_each(|site| world.schedule_purge(site));
        }
        world.queue.push(micros(set.step), Event::Step);
        world
    }

    /// What a gateway of a location is told of members.
    fn listed(&self, site: usize, location: usize) -> Vec<Listed> {
        let here = |m: &Member| m.site == site && (m.kind != Kind::Cache || m.location == location);
        let all = self.members.iter().enumerate().filter(|(_, m)| here(m));
        all.map(|(no, _)| self.list(no as MemberNo)).collect()
    }

    fn list(&self, no: MemberNo) -> Listed {
        let m = &self.members[no as usize];
        Listed {
            member: no,
            name: m.name.clone(),
            cache: m.kind == Kind::Cache,
            origin: m.kind == Kind::Origin,
            phase: if m.up { Phase::Ready } else { Phase::Gone },
            started: m.started.map(clock),
        }
    }

    /// Runs to the end. `progress` is called now and then with the share that is done.
    pub fn run(mut self, mut progress: impl FnMut(f64)) -> Record {
        let start = Instant::now();
        let end = micros(self.set.seconds * 1000.0);
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.events += 1;
            if self.events.is_multiple_of(65_536) {
                progress(at as f64 / end as f64);
            }
            self.handle(event);
        }
        self.now = end;
        self.check.end(end.saturating_sub(micros(SLACK)));
        let broken_inside = self.gateways.iter().map(|g| g.host.own_counts().0).sum();
        Record {
            points: self.points,
            breaches: self.check.breaches,
            first: self.check.first,
            events: self.events,
            took: start.elapsed().as_secs_f64(),
            per_cache: self.members.iter().filter(|m| m.kind == Kind::Cache).map(|m| m.came).collect(),
            p50: self.all_times.quantile(0.5),
            p99: self.all_times.quantile(0.99),
            broken_inside,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(g, true) => self.arrival(g),
            Event::Arrival(g, false) => self.schedule_arrival(g),
            Event::Again(no) => self.ask(no),
            Event::Answered(no, tries, answer) => self.answered(no, tries, answer),
            Event::Tick(g, life) => {
                let gateway = &mut self.gateways[g as usize];
                if gateway.life == life && gateway.up && gateway.ticks == Some(self.now) {
                    gateway.ticks = None;
                    gateway.host.tick(self.now);
                    self.after(g);
                }
            }
            Event::Restart(g) => self.restart(g),
            Event::Back(g) => {
                self.gateways[g as usize].up = true;
                self.after(g);
            }
            Event::AtMember(job) => self.at_member(job),
            Event::Quit(job, no) => self.quit(job, no),
            Event::Done(member, life, job, no) => self.done(member, life, job, no),
            Event::AtSource(job, no) => self.at_source(job, no),
            Event::Filled(job, no, issued) => self.filled(job, no, issued),
            Event::Reply(g, life, key, back) => self.reply(g, life, key, &back),
            Event::Broke(g, life, key, sent) => {
                if self.alive(g, life) {
                    self.gateways[g as usize].attempts.remove(&key);
                    self.gateways[g as usize].host.broke(self.now, key, sent);
                    self.after(g);
                }
            }
            Event::Told(g, life, member) => self.told(g, life, member),
            Event::ToldPurge(g, life, object, at) => {
                if self.alive(g, life) {
                    let gateway = &mut self.gateways[g as usize];
                    gateway.purged.insert(object, (at, self.now));
                    gateway.host.purged(self.now, object, at);
                    self.after(g);
                }
            }
            Event::Notice(member) => self.notice(member),
            Event::Purge(site) => self.purge(site),
            Event::Fault(i, on) => self.fault(i, on),
            Event::Flap(i, on) => self.flap(i, on),
            Event::Step => {
                let caches = self.members.iter().filter(|m| m.kind == Kind::Cache && m.up).count() as u64;
                let (p50, p99) = (self.times.quantile(0.5), self.times.quantile(0.99));
                self.points.push(Point { caches, p50, p99, ..std::mem::take(&mut self.point) });
                self.point.at = self.now as f64 / 1000.0;
                self.times.reset();
                self.queue.push(self.now + micros(self.set.step), Event::Step);
            }
        }
    }

    fn alive(&self, g: u32, life: u32) -> bool {
        let gateway = &self.gateways[g as usize];
        gateway.life == life && gateway.up
    }

    // ---- Clients -------------------------------------------------------------------------------------------

    fn schedule_arrival(&mut self, g: u32) {
        let times = self.schedule.as_ref().map_or(1.0, |e| e.at(self.now as f64 / 1e6));
        // Where nobody comes for a while, that is looked at again soon.
        let times = if times.is_finite() { times.max(0.001) } else { 1.0 };
        let rate = self.set.load.rate * self.load.0 * times / self.gateways.len() as f64;
        let rng = &mut self.gateways[g as usize].arrivals;
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        // Gaps have no memory: one that is cut off goes on as a new one.
        let arrival = Event::Arrival(g, gap <= 1.0);
        self.queue.push(self.now + micros(gap.min(1.0) * 1000.0).max(1), arrival);
    }

    fn arrival(&mut self, g: u32) {
        self.schedule_arrival(g);
        let seconds = self.now as f64 / 1e6;
        let one = self.load.1;
        let gateway = &mut self.gateways[g as usize];
        let wish = self.wishes[gateway.site].draw(&mut gateway.clients, seconds, one);
        let client = gateway.location as u64 * CLIENTS_EACH + gateway.clients.random_range(0..CLIENTS_EACH);
        let location = gateway.location;
        let until = self.now + micros(self.set.load.patience);
        self.next_try = self.next_try.wrapping_add(1);
        self.next_write += 1;
        let one = Try {
            wish,
            client,
            location,
            gateway: g,
            life: 0,
            first: self.now,
            until,
            tries: 0,
            write: self.next_write,
            open: false,
        };
        self.tries.insert(self.next_try, one);
        self.point.wanted += 1;
        self.ask(self.next_try);
    }

    /// A client asks, at its gateway or, where that is down or it comes again, at any of its location.
    fn ask(&mut self, no: TryNo) {
        let Some(one) = self.tries.get(&no).copied() else { return };
        let here = one.location * self.set.gateways;
        let up: Vec<u32> = (here..here + self.set.gateways)
            .map(|g| g as u32)
            .filter(|g| self.gateways[*g as usize].up)
            .collect();
        let left = one.until.saturating_sub(self.now);
        if up.is_empty() {
            // Connections are refused; it tries again as it was.
            return self.come_again(no, 0.0);
        }
        if left < 20_000 {
            return self.give_up(no);
        }
        let own = up.contains(&one.gateway) && one.tries == 0;
        let g = if own {
            one.gateway
        } else {
            up[self.gateways[one.gateway as usize].clients.random_range(0..up.len())]
        };
        let life = self.gateways[g as usize].life;
        if let Some(t) = self.tries.get_mut(&no) {
            (t.gateway, t.life, t.open, t.tries) = (g, life, true, t.tries + 1);
        }
        self.point.tries += 1;
        let allow = left as f64 / 1000.0;
        self.check.asked(self.now, (g, life, u64::from(no)), one.until + micros(SLACK));
        let gateway = &mut self.gateways[g as usize];
        gateway.host.request(self.now, no, one.client, &one.wish, allow, one.write);
        self.after(g);
    }

    fn answered(&mut self, no: TryNo, tries: u32, answer: Answered) {
        // One whose gateway was killed meanwhile came again already.
        let Some(one) = self.tries.get(&no).copied().filter(|t| t.open && t.tries == tries) else { return };
        match answer {
            Answered::Served => {
                let took = self.now - one.first;
                self.times.note(took);
                self.all_times.note(took);
                self.point.served += 1;
                self.tries.remove(&no);
            }
            Answered::Refused(back) => self.come_again(no, back),
            // What failed may have run; only safe requests come again.
            Answered::Failed if one.wish.class == Class::Page => self.come_again(no, 0.0),
            Answered::Failed => self.give_up(no),
        }
    }

    fn come_again(&mut self, no: TryNo, back: f64) {
        let Some(one) = self.tries.get_mut(&no) else { return };
        one.open = false;
        let (tries, until, g) = (one.tries.max(1), one.until, one.gateway);
        let rng = &mut self.gateways[g as usize].clients;
        let wait = match self.set.load.retry {
            Retry::Never => return self.give_up(no),
            Retry::AtOnce => 1.0,
            Retry::Advised if back > 0.0 => back,
            Retry::Advised => {
                let base = 200.0 * f64::from(1u32 << (tries - 1).min(5));
                base * (0.5 + 0.5 * rng.random::<f64>())
            }
        };
        let at = self.now + micros(wait + 2.0 * CLIENT_WAY);
        if tries >= self.set.load.tries || at + 20_000 > until {
            return self.give_up(no);
        }
        self.queue.push(at, Event::Again(no));
    }

    fn give_up(&mut self, no: TryNo) {
        if self.tries.remove(&no).is_some() {
            self.point.given_up += 1;
        }
    }

    // ---- Gateways ------------------------------------------------------------------------------------------

    /// Carries out what a gateway wants done, and sets its next tick.
    fn after(&mut self, g: u32) {
        let life = self.gateways[g as usize].life;
        while let Some(effect) = self.gateways[g as usize].host.effect(self.now) {
            match effect {
                Effect::Ask { key, request, member, order } => {
                    self.send(g, life, key, request, member, order)
                }
                Effect::Withdraw { key } => {
                    let found = self.gateways[g as usize].attempts.remove(&key);
                    if let Some((job, no)) = found {
                        self.queue.push(self.now + micros(self.set.members.way[0]), Event::Quit(job, no));
                    }
                }
                Effect::Probe { key, member } => {
                    let way = micros(self.set.members.way[0]);
                    let m = &mut self.members[member as usize];
                    if m.up && !m.hung {
                        let report = m.report(&self.set.members);
                        let back = Back { word: Status::Health(true), issued: None, report };
                        self.queue.push(self.now + 2 * way, Event::Reply(g, life, key, back));
                    } else if !m.up {
                        self.queue.push(self.now + 2 * way, Event::Broke(g, life, key, false));
                    }
                }
                Effect::Answer { of, answer, by_door } => {
                    self.point.turned += u64::from(by_door);
                    let word = match answer {
                        Answered::Served => "served",
                        Answered::Refused(_) => {
                            self.point.refused += 1;
                            "refused"
                        }
                        Answered::Failed => {
                            self.point.failed += 1;
                            "failed"
                        }
                    };
                    self.check.answered(self.now, (g, life, u64::from(of)), word);
                    let tries = self.tries.get(&of).map_or(0, |t| t.tries);
                    self.queue.push(self.now + micros(CLIENT_WAY), Event::Answered(of, tries, answer));
                }
            }
        }
        let gateway = &mut self.gateways[g as usize];
        if let Some(due) = gateway.host.next_due() {
            let due = due.max(self.now + 1);
            if gateway.ticks.is_none_or(|at| due < at) {
                gateway.ticks = Some(due);
                self.queue.push(due, Event::Tick(g, life));
            }
        }
    }

    fn send(&mut self, g: u32, life: u32, key: Key, request: u64, member: MemberNo, order: Order) {
        let of = Of::Attempt { gateway: g, life, key, request };
        let job = self.job(of, member, order);
        let no = self.jobs[job].no;
        self.gateways[g as usize].attempts.insert(key, (job, no));
        self.queue.push(self.now + micros(self.set.members.way[0]), Event::AtMember(job));
    }

    fn reply(&mut self, g: u32, life: u32, key: Key, back: &Back) {
        if !self.alive(g, life) {
            return;
        }
        let gateway = &mut self.gateways[g as usize];
        if let Some((job, no)) = gateway.attempts.remove(&key) {
            let job = self.jobs[job];
            if let (true, Status::Ok, Some(issued)) = (job.no == no, back.word, back.issued)
                && let Some((purged, told)) = gateway.purged.get(&job.order.object).copied()
                && issued < clock(purged)
                && job.sent > told + micros(PURGE_GRACE)
            {
                self.check.breaches.stale += 1;
                self.check.broke(self.now, "a copy older than a purge that was told long ago", |_| false);
            }
        }
        gateway.host.reply(self.now, key, back);
        self.after(g);
    }

    fn restart(&mut self, g: u32) {
        let gateway = &mut self.gateways[g as usize];
        if !gateway.up {
            return;
        }
        let (life, site, location) = (gateway.life, gateway.site, gateway.location);
        gateway.up = false;
        gateway.life += 1;
        gateway.ticks = None;
        gateway.gone.clear();
        // Its connections break: members end what they did for it, clients come again.
        let mut attempts: Vec<(JobNo, u64)> = std::mem::take(&mut gateway.attempts).into_values().collect();
        attempts.sort_unstable();
        for (job, no) in attempts {
            self.queue.push(self.now + micros(self.set.members.way[0]), Event::Quit(job, no));
        }
        self.check.killed(g, life);
        let mut open: Vec<TryNo> = self
            .tries
            .iter()
            .filter(|(_, t)| t.open && t.gateway == g && t.life == life)
            .map(|(no, _)| *no)
            .collect();
        open.sort_unstable();
        for no in open {
            // What may have run is not asked for again.
            match self.tries[&no].wish.class {
                Class::Once => self.give_up(no),
                _ => self.come_again(no, 0.0),
            }
        }
        let listed = self.listed(site, location);
        let position = g as usize % self.set.gateways;
        let seed: u64 = stream(self.set.seed, HOSTS, u64::from(g) | u64::from(life + 1) << 32).random();
        let back = self.now + micros(RESTART);
        self.gateways[g as usize].host = Host::new(back, &self.set, position, seed, &listed);
        self.queue.push(back, Event::Back(g));
    }

    // ---- Members -------------------------------------------------------------------------------------------

    fn job(&mut self, of: Of, member: MemberNo, order: Order) -> JobNo {
        self.next_job += 1;
        let life = self.members[member as usize].epoch;
        let job = Job { no: self.next_job, of, member, life, order, given_up: false, sent: self.now };
        match self.free.pop() {
            Some(place) => {
                self.jobs[place] = job;
                place
            }
            None => {
                self.jobs.push(job);
                self.jobs.len() - 1
            }
        }
    }

    fn drop_job(&mut self, place: JobNo) {
        self.jobs[place].no = 0;
        self.free.push(place);
    }

    fn is(&self, place: JobNo, no: u64) -> bool {
        self.jobs[place].no == no
    }

    /// An attempt comes to a member.
    fn at_member(&mut self, place: JobNo) {
        let job = self.jobs[place];
        let Of::Attempt { gateway, life, key, request } = job.of else { return };
        let way = micros(self.set.members.way[0]);
        let up = self.members[job.member as usize].up;
        if !up || self.members[job.member as usize].epoch != job.life {
            if !job.given_up {
                self.queue.push(self.now + way, Event::Broke(gateway, life, key, false));
            }
            return self.drop_job(place);
        }
        if job.given_up {
            return self.drop_job(place);
        }
        self.check.came(self.now, (gateway, life, request), key, job.member);
        let told = self.gateways[gateway as usize].gone.get(&job.member).copied();
        if told.is_some_and(|at| job.sent > at + micros(DRAIN_GRACE))
            && self.gateways[gateway as usize].life == life
        {
            self.check.breaches.after_drain += 1;
            let member = job.member;
            let what = "an attempt at a member that was told to be gone";
            self.check.broke(self.now, what, |p| matches!(p, Passed::Told { member: m, .. } if *m == member));
        }
        if self.members[job.member as usize].kind == Kind::Cache {
            self.point.attempts += 1;
        }
        self.members[job.member as usize].came += 1;
        self.enqueue(place);
    }

    /// Work waits for a core, or is turned away.
    fn enqueue(&mut self, place: JobNo) {
        let member = self.jobs[place].member;
        let m = &mut self.members[member as usize];
        if !m.has_room(&self.set.members) {
            return self.finish(place, Status::Rejected, None);
        }
        m.waiting.push_back(place);
        self.begin(member);
    }

    /// Free cores take what waits.
    fn begin(&mut self, member: MemberNo) {
        loop {
            let m = &mut self.members[member as usize];
            if !m.up || m.hung || m.busy >= m.cores(&self.set.members) {
                return;
            }
            let Some(place) = m.waiting.pop_front() else { return };
            let job = self.jobs[place];
            if job.given_up {
                self.drop_job(place);
                continue;
            }
            let rng = &mut self.work[member as usize];
            let took = micros(m.work(&self.set.members) * (0.6 + 0.8 * rng.random::<f64>())).max(1);
            m.busy += 1;
            m.worked += took;
            self.queue.push(self.now + took, Event::Done(member, m.epoch, place, job.no));
        }
    }

    fn done(&mut self, member: MemberNo, life: u32, place: JobNo, no: u64) {
        if self.members[member as usize].epoch != life {
            return;
        }
        let m = &mut self.members[member as usize];
        m.busy -= 1;
        if m.hung {
            // It never says so; what it holds is given up elsewhere.
            return;
        }
        self.begin(member);
        if !self.is(place, no) {
            return;
        }
        let job = self.jobs[place];
        if job.given_up {
            self.point.wasted += 1;
            return self.drop_job(place);
        }
        let m = &mut self.members[member as usize];
        if m.gray > 0.0 && self.work[member as usize].random::<f64>() < m.gray {
            return self.finish(place, Status::Error, None);
        }
        if m.kind == Kind::Origin {
            if job.order.class != Class::Page {
                self.write(&job);
            }
            return self.finish(place, Status::Ok, Some(self.now));
        }
        self.serve(place);
    }

    /// A write runs at the origin, unless it is a repeat under the same key.
    fn write(&mut self, job: &Job) {
        let fresh = job.order.class == Class::Once || self.keyed.insert(job.order.write, self.now).is_none();
        if fresh {
            self.check.ran(self.now, job.order.write);
        }
    }

    /// A cold cache that is asked for more than it can bear falls. Tells whether it did.
    fn falls(&mut self, place: JobNo) -> bool {
        let (member, kb) = (self.jobs[place].member, self.jobs[place].order.size);
        let falls = self.members[member as usize].pushed_over(self.now, kb, &self.set.members);
        if falls {
            self.check.breaches.pushed_over += 1;
            let what = "a cold cache was pushed over";
            self.check.broke(self.now, what, |p| matches!(p, Passed::Came { member: m, .. } if *m == member));
            self.crash(member, Some(place));
            self.queue.push(self.now + micros(3000.0), Event::Notice(member));
        }
        falls
    }

    /// A cache or parent looks for a copy, and fills where it has none.
    fn serve(&mut self, place: JobNo) {
        let job = self.jobs[place];
        let (object, order) = (job.order.object, job.order);
        let purged = self.purged.get(&object).copied();
        let origin = self.origin_of(job.member);
        let m = &mut self.members[job.member as usize];
        if let Some(at) = purged.filter(|at| self.now > at + micros(LINGERS)) {
            m.store.drop_before(object, at);
        }
        if order.class == Class::Page
            && let Some(issued) = m.store.get(object)
        {
            let young = order.age <= 0.0 || self.now.saturating_sub(issued) <= micros(order.age);
            if young {
                if m.kind == Kind::Cache {
                    self.point.hits += 1;
                }
                // What is looked up in vain sends nothing; the rest is what the cache has to bear.
                if self.falls(place) {
                    return;
                }
                return self.finish(place, Status::Ok, Some(issued));
            }
        }
        let source = match m.kind {
            Kind::Cache => order.source,
            Kind::Parent => Some(origin),
            Kind::Origin => None,
        };
        let Some(source) = source else {
            return self.finish(place, Status::Miss, None);
        };
        if self.falls(place) {
            return;
        }
        let m = &mut self.members[job.member as usize];
        if let Some(waiters) = m.filling.get_mut(&object)
            && order.join
        {
            waiters.push(place);
            return;
        }
        if order.class == Class::Page {
            m.filling.entry(object).or_default();
        }
        match self.members[source as usize].kind {
            Kind::Origin => self.point.origin += 1,
            _ => self.point.fills += 1,
        }
        let of = Of::Fill { member: job.member, job: place, no: job.no };
        let fill = self.job(of, source, Order { source: None, join: true, ..order });
        let way = match self.members[job.member as usize].kind {
            Kind::Cache => self.set.members.way[1],
            _ => self.set.members.way[2],
        };
        let no = self.jobs[fill].no;
        self.queue.push(self.now + micros(way), Event::AtSource(fill, no));
    }

    fn origin_of(&self, member: MemberNo) -> MemberNo {
        let site = self.members[member as usize].site;
        let each = self.set.locations * self.set.caches + self.set.parents + 1;
        ((site + 1) * each - 1) as MemberNo
    }

    fn at_source(&mut self, place: JobNo, no: u64) {
        if !self.is(place, no) {
            return;
        }
        let job = self.jobs[place];
        let m = &self.members[job.member as usize];
        if !m.up || m.epoch != job.life {
            return self.finish(place, Status::Error, None);
        }
        self.enqueue(place);
    }

    /// A job has its end: the answer goes to the gateway, or to who asked for the fill.
    fn finish(&mut self, place: JobNo, word: Status, issued: Option<Micros>) {
        let job = self.jobs[place];
        self.drop_job(place);
        let set = &self.set.members;
        let kb = if word == Status::Ok { job.order.size } else { 0.3 };
        let m = &mut self.members[job.member as usize];
        let sent = m.put_out(self.now, kb, set);
        // Who waits for the same fill has its end too.
        match job.of {
            Of::Attempt { gateway, life, key, request } => {
                let report = m.report(set);
                let back = Back { word, issued: issued.map(clock), report };
                self.check.over(self.now, (gateway, life, request), key, job.member);
                self.queue.push(sent + micros(set.way[0]), Event::Reply(gateway, life, key, back));
            }
            Of::Fill { member, job: asker, no } => {
                let to = &self.members[member as usize];
                let way = if to.kind == Kind::Cache { set.way[1] } else { set.way[2] };
                let mut at = sent;
                if to.kind == Kind::Cache {
                    // The location's link to its parents is shared by all its fills.
                    let (free, carries) = self.inlet[to.location];
                    at = free.max(sent) + micros(kb / (set.inlet * carries.max(1e-3)) * 1000.0);
                    self.inlet[to.location].0 = at;
                }
                let issued = if word == Status::Ok { issued.unwrap_or(0).max(1) } else { 0 };
                self.queue.push(at + micros(way), Event::Filled(asker, no, issued));
            }
        }
    }

    fn filled(&mut self, place: JobNo, no: u64, issued: Micros) {
        if !self.is(place, no) {
            return;
        }
        let job = self.jobs[place];
        let object = job.order.object;
        let m = &mut self.members[job.member as usize];
        if m.epoch != job.life {
            return;
        }
        let waiters = m.filling.remove(&object).unwrap_or_default();
        if issued > 0 && (job.order.keep || m.kind == Kind::Parent) && job.order.class == Class::Page {
            m.store.put(object, issued);
        }
        let word = if issued > 0 { Status::Ok } else { Status::Error };
        let young =
            |order: &Order, now: Micros| order.age <= 0.0 || now.saturating_sub(issued) <= micros(order.age);
        for waiter in std::iter::once(place).chain(waiters) {
            let one = self.jobs[waiter];
            if one.given_up {
                self.point.wasted += 1;
                self.drop_job(waiter);
            } else if issued > 0 && !young(&one.order, self.now) {
                // It joined a fill that began before the purge it goes by.
                self.serve(waiter);
            } else {
                self.finish(waiter, word, Some(issued).filter(|at| *at > 0));
            }
        }
    }

    /// An attempt is given up.
    fn quit(&mut self, place: JobNo, no: u64) {
        if !self.is(place, no) || self.jobs[place].given_up {
            return;
        }
        let job = self.jobs[place];
        self.jobs[place].given_up = true;
        if let Of::Attempt { gateway, life, key, request } = job.of {
            self.check.over(self.now, (gateway, life, request), key, job.member);
        }
        // What waits only for a core leaves at once; else whoever holds it finds it given up.
        let m = &mut self.members[job.member as usize];
        if let Some(at) = m.waiting.iter().position(|p| *p == place) {
            m.waiting.remove(at);
            self.drop_job(place);
        }
    }

    /// A member goes down with all that it holds.
    fn crash(&mut self, member: MemberNo, also: Option<JobNo>) {
        if !self.members[member as usize].up {
            return;
        }
        let life = self.members[member as usize].epoch;
        self.check.news(self.now, Passed::Member { member, up: false });
        self.members[member as usize].crash();
        let held: Vec<JobNo> =
            (0..self.jobs.len()).filter(|p| self.jobs[*p].no > 0 && self.jobs[*p].member == member).collect();
        let way = micros(self.set.members.way[0]);
        for place in held {
            let job = self.jobs[place];
            // What is on its way there finds nobody.
            let arrived = job.life == life && (Some(place) == also || job.sent + way <= self.now);
            if !arrived {
                continue;
            }
            match job.of {
                Of::Attempt { gateway, life, key, request } => {
                    if !job.given_up {
                        self.check.over(self.now, (gateway, life, request), key, member);
                        self.queue.push(self.now + way, Event::Broke(gateway, life, key, true));
                    }
                }
                Of::Fill { job: asker, no, .. } => {
                    self.queue.push(self.now + micros(self.set.members.way[1]), Event::Filled(asker, no, 0));
                }
            }
            self.drop_job(place);
        }
    }

    // ---- Feed ----------------------------------------------------------------------------------------------

    /// The feed notices how a member is, and tells the gateways; one that should be there again starts first.
    fn notice(&mut self, member: MemberNo) {
        let m = &mut self.members[member as usize];
        if !m.up && !self.chosen.values().any(|c| c.contains(&member)) {
            m.start(self.now);
            self.check.news(self.now, Passed::Member { member, up: true });
        }
        if self.feed_still {
            return self.missed.push(member);
        }
        let m = &self.members[member as usize];
        let (site, location, cache) = (m.site, m.location, m.kind == Kind::Cache);
        for g in 0..self.gateways.len() as u32 {
            let gateway = &self.gateways[g as usize];
            if gateway.site == site && (!cache || gateway.location == location) {
                let lag = micros(self.feed_lag.random_range(FEED_LAG.0..FEED_LAG.1));
                self.queue.push(self.now + lag, Event::Told(g, gateway.life, member));
            }
        }
    }

    fn told(&mut self, g: u32, life: u32, member: MemberNo) {
        let listed = self.list(member);
        if !self.alive(g, life) {
            return;
        }
        let gateway = &mut self.gateways[g as usize];
        match listed.phase {
            Phase::Ready => drop(gateway.gone.remove(&member)),
            _ => drop(gateway.gone.insert(member, self.now)),
        }
        self.check.news(self.now, Passed::Told { gateway: g, member });
        gateway.host.members(self.now, &[listed]);
        self.after(g);
    }

    fn schedule_purge(&mut self, site: usize) {
        let gap = -(1.0 - self.faults.random::<f64>()).ln() / self.set.load.purges;
        self.queue.push(self.now + micros(gap * 1000.0).max(1), Event::Purge(site));
    }

    fn purge(&mut self, site: usize) {
        self.schedule_purge(site);
        let wish = self.wishes[site].draw(&mut self.faults, self.now as f64 / 1e6, 0.0);
        self.purged.insert(wish.object, self.now);
        for g in 0..self.gateways.len() as u32 {
            let gateway = &self.gateways[g as usize];
            if gateway.site == site {
                let lag = micros(self.feed_lag.random_range(FEED_LAG.0..FEED_LAG.1));
                self.queue.push(self.now + lag, Event::ToldPurge(g, gateway.life, wish.object, self.now));
            }
        }
    }

    // ---- Faults --------------------------------------------------------------------------------------------

    /// The caches that a fault is about: drawn once, the same when it ends.
    fn caches_of(&mut self, i: usize, share: f64, site: Option<usize>) -> Vec<MemberNo> {
        if let Some(chosen) = self.chosen.get(&i) {
            return chosen.clone();
        }
        let all = self.members.iter().enumerate();
        let caches = all.filter(|(_, m)| m.kind == Kind::Cache && site.is_none_or(|s| m.site == s));
        let mut caches: Vec<MemberNo> = caches.map(|(no, _)| no as MemberNo).collect();
        let wanted = (caches.len() as f64 * share).round() as usize;
        for at in 0..wanted.min(caches.len()) {
            let other = self.faults.random_range(at..caches.len());
            caches.swap(at, other);
        }
        caches.truncate(wanted);
        self.chosen.insert(i, caches.clone());
        caches
    }

    fn fault(&mut self, i: usize, on: bool) {
        let Fault { lasts, what, .. } = self.set.faults[i].clone();
        if on && what != What::Gateways {
            self.queue.push(self.now + micros(lasts), Event::Fault(i, false));
        }
        match what {
            What::Crash { share } => self.down(i, share, None, on),
            What::Site { site } => self.down(i, 1.0, Some(site), on),
            What::Hang { share } => {
                for member in self.caches_of(i, share, None) {
                    self.members[member as usize].hung = on;
                    if !on {
                        // What it held hung is lost; it begins anew with what waits.
                        self.members[member as usize].busy = 0;
                        self.members[member as usize].epoch += 1;
                        self.begin(member);
                    }
                }
            }
            What::Slow { share, times } => {
                for member in self.caches_of(i, share, None) {
                    self.members[member as usize].slow = if on { times } else { 1.0 };
                }
            }
            What::Gray { share, fails } => {
                for member in self.caches_of(i, share, None) {
                    self.members[member as usize].gray = if on { fails } else { 0.0 };
                }
            }
            What::Origin { times } => {
                for m in self.members.iter_mut().filter(|m| m.kind == Kind::Origin) {
                    m.slow = if on { times } else { 1.0 };
                }
            }
            What::Gateways => {
                for g in 0..self.gateways.len() as u32 {
                    let at = self.now + micros(lasts * self.faults.random::<f64>());
                    self.queue.push(at, Event::Restart(g));
                }
            }
            What::Flash { times, one } => self.load = if on { (times, one) } else { (1.0, 0.0) },
            What::Feed => {
                self.feed_still = on;
                if !on {
                    let missed = std::mem::take(&mut self.missed);
                    missed.into_iter().for_each(|m| self.notice(m));
                }
            }
            What::Reports => {
                let set = self.set.members.clone();
                for m in &mut self.members {
                    m.frozen = on.then(|| m.report(&set));
                }
            }
            What::Flap { .. } => {
                if on {
                    self.flap(i, 1);
                } else {
                    self.inlet.iter_mut().for_each(|(_, carries)| *carries = 1.0);
                }
            }
        }
        if !on {
            self.chosen.remove(&i);
        }
    }

    /// Caches are gone, and come back cold.
    fn down(&mut self, i: usize, share: f64, site: Option<usize>, on: bool) {
        let members = self.caches_of(i, share, site);
        if on {
            for member in &members {
                self.crash(*member, None);
                self.queue.push(self.now + micros(NOTICED), Event::Notice(*member));
            }
            return;
        }
        self.chosen.remove(&i);
        for member in members {
            // Not all in the same instant.
            let at = self.now + micros(self.faults.random::<f64>() * 500.0);
            self.queue.push(at, Event::Notice(member));
        }
    }

    /// Links to parents change between whole and poor.
    fn flap(&mut self, i: usize, on: usize) {
        let Fault { at, lasts, what: What::Flap { share, each } } = self.set.faults[i] else { return };
        if self.now >= micros(at + lasts) {
            return;
        }
        for (_, carries) in &mut self.inlet {
            *carries = if on == 1 { share } else { 1.0 };
        }
        self.queue.push(self.now + micros(each), Event::Flap(i, 1 - on));
    }
}
