//! A whole run: members, instances, clients, and a plan that hurts them.

use crate::client_population::{ClientPopulation, Counts, Endpoint, PopulationSettings};
use crate::fleet_view::{View, views};
use crate::load_generator::{self, LoadGenerator, Manners, Rate, Try};
use crate::plan::{Plan, Trouble, What};
use crate::processes::{Absences, InstanceProcess, Shims, sockets};
use crate::relay::{Fate, Relays};
use deckproxy_standins::link_relay::{LinkRelay, LinkState};
use deckproxy_standins::load_client::RequestGenerator;
use deckproxy_standins::record::{Fact, Record, Seen};
use deckproxy_standins::site::{NodeFault, Site, SiteConfig, zone_name};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What a run left.
#[derive(Clone)]
pub struct Played {
    /// The plan.
    pub plan: Plan,
    /// What passed on the sockets.
    pub facts: Vec<Seen>,
    /// The Unix millisecond at which the record began.
    pub unix: u64,
    /// When the traffic began and ended, ms of the record.
    pub from: f64,
    /// See `from`.
    pub to: f64,
    /// When all had ended.
    pub end: f64,
    /// What each instance logged.
    pub logs: Vec<String>,
    /// When each instance could not answer.
    pub absent: Vec<Absences>,
    /// What clients counted.
    pub counts: Arc<Counts>,
    /// What each try of a throng came to.
    pub tries: Vec<Try>,
    /// All members' names; the caches zone after zone first.
    pub members: Vec<String>,
    /// Datagrams and bytes between instances while there was traffic.
    pub sent: (u64, u64),
    /// What went wrong with processes.
    pub wrongs: Vec<String>,
}

/// Time for a start, also where many processes share few cores.
const START: Duration = Duration::from_secs(40);

/// Members, instances and clients that run, to be hurt step by step.
pub struct Rig {
    plan: Plan,
    record: Record,
    site: Site,
    relays: Relays,
    shims: Shims,
    posts: Vec<Arc<Mutex<InstanceProcess>>>,
    caches: Vec<String>,
    busy: Vec<JoinHandle<()>>,
    crowd: Option<ClientPopulation>,
    throng: Option<LoadGenerator>,
    rate: Arc<Rate>,
    from: f64,
    sent: (u64, u64),
}

/// Plays a plan. `tell` hears of each fault as it begins and ends.
pub fn play(plan: &Plan, draw: &RequestGenerator, mut tell: impl FnMut(f64, &str)) -> Played {
    let mut rig = Rig::start(plan, draw);
    let start = Instant::now();
    let mut moments: Vec<(f64, bool, usize)> = Vec::new();
    for (i, fault) in plan.faults.iter().enumerate() {
        moments.push((fault.at, true, i));
        moments.push((fault.at + fault.lasts, false, i));
    }
    moments.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, begins, i) in moments {
        thread::sleep(Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
        let what = &plan.faults[i].what;
        let word = if begins { "begins" } else { "ends" };
        tell(at, &format!("{} {word}", crate::plan::said(what)));
        rig.change(what, plan.faults[i].lasts, begins);
    }
    thread::sleep(Duration::from_secs_f64(plan.seconds).saturating_sub(start.elapsed()));
    rig.finish()
}

impl Rig {
    /// Starts all, waits until the instances have met, and lets the clients come.
    pub fn start(plan: &Plan, draw: &RequestGenerator) -> Self {
        let record = Record::default();
        let terms = SiteConfig {
            caches: plan.caches,
            zones: plan.zones,
            purge_delay_ms: 2000,
            origin_concurrency: plan.room,
            ..SiteConfig::default()
        };
        let site = Site::start(0, terms, &record);
        let at = sockets(plan);
        let relays = Relays::to(&at, plan.seed);
        let zones = (0..plan.zones).map(|z| zone_name(plan.zones, z));
        let caches: Vec<String> = zones.flat_map(|zone| site.caches_in_zone(&zone)).collect();
        let shims = shims(plan, &site);
        let post =
            |i| Arc::new(Mutex::new(InstanceProcess::new(plan, i, &site, &relays, at[i], &shims, &record)));
        let posts: Vec<Arc<Mutex<InstanceProcess>>> = (0..plan.instances).map(post).collect();
        thread::scope(|scope| {
            for post in &posts {
                scope.spawn(|| post.lock().unwrap().start());
            }
        });
        let mut rig = Rig {
            plan: plan.clone(),
            record,
            site,
            relays,
            shims,
            posts,
            caches,
            busy: Vec::new(),
            crowd: None,
            throng: None,
            rate: Arc::new(Rate::new(plan.rate)),
            from: 0.0,
            sent: (0, 0),
        };
        if plan.fleet && !plan.alone {
            rig.until("the instances have met", |rig| (0..rig.plan.instances).all(|i| rig.hears_all(i)));
        }
        let door = |p: &Arc<Mutex<InstanceProcess>>| {
            let post = p.lock().unwrap();
            Endpoint { at: post.listen, absent: post.absent.clone() }
        };
        let doors: Vec<Endpoint> = rig.posts.iter().map(door).collect();
        if plan.throng {
            let manners = if plan.hasty { Manners::Hasty } else { Manners::Moves };
            let (clients, rate, seed) = (plan.clients, rig.rate.clone(), plan.seed);
            let coming = load_generator::LoadSettings {
                clients,
                rate,
                seed,
                draw: draw.clone(),
                manners,
                skew: plan.skew,
            };
            rig.throng = Some(LoadGenerator::start(&coming, &doors, &rig.record));
            (rig.from, rig.sent) = (rig.record.now(), rig.relays.sent());
            return rig;
        }
        let coming = PopulationSettings {
            clients: plan.clients,
            rate: plan.rate,
            seed: plan.seed,
            draw: draw.clone(),
        };
        rig.crowd = Some(ClientPopulation::start(&coming, &doors, &rig.record));
        (rig.from, rig.sent) = (rig.record.now(), rig.relays.sent());
        rig
    }

    /// What an instance sees of the fleet now, by its log.
    pub fn view(&self, i: usize) -> Option<View> {
        views(&self.posts[i].lock().unwrap().log()).pop()
    }

    /// What an instance's lives have logged.
    pub fn log(&self, i: usize) -> String {
        self.posts[i].lock().unwrap().log()
    }

    /// Whether an instance hears all others and holds its view for a new one.
    pub fn hears_all(&self, i: usize) -> bool {
        self.view(i).is_some_and(|view| view.heard.len() + 1 == self.plan.instances && !view.old)
    }

    /// Whether all hear each other and have the same board.
    pub fn is_one(&self) -> bool {
        let views: Vec<Option<View>> = (0..self.plan.instances).map(|i| self.view(i)).collect();
        let boards: BTreeSet<&str> = views.iter().flatten().map(|v| v.board.as_str()).collect();
        boards.len() == 1 && (0..self.plan.instances).all(|i| self.hears_all(i))
    }

    /// The caches' names, zone after zone.
    pub fn caches(&self) -> &[String] {
        &self.caches
    }

    /// Probes that came to a member so far.
    pub fn probes(&self, member: &str) -> usize {
        self.record.count(|fact| matches!(fact, Fact::HealthChecked { member: m } if m == member))
    }

    /// Requests that came to a member so far.
    pub fn came(&self, member: &str) -> usize {
        self.record.count(|fact| matches!(fact, Fact::AttemptReceived { member: m, .. } if m == member))
    }

    /// Where an instance's datagrams are taken, as others know it.
    pub fn reached_at(&self, i: usize) -> std::net::SocketAddr {
        self.relays.addresses[i]
    }

    /// Datagrams that passed the relays so far.
    pub fn sent(&self) -> u64 {
        self.relays.sent().0
    }

    /// Requests that an instance has served so far.
    pub fn served_by(&self, i: usize) -> u64 {
        let crowd = self.crowd.as_ref().map(|crowd| crowd.counts.by_instance.lock().unwrap());
        crowd.and_then(|by| by.get(&i).map(|[_, served]| *served)).unwrap_or(0)
    }

    /// Milliseconds since all began.
    pub fn now(&self) -> f64 {
        self.record.now()
    }

    /// Waits until a condition holds.
    pub fn until(&self, what: &str, holds: impl Fn(&Rig) -> bool) {
        let end = Instant::now() + START;
        while !holds(self) {
            if Instant::now() > end {
                let logs: Vec<String> = (0..self.plan.instances).map(|i| self.log(i)).collect();
                panic!("in vain: {what}; the instances' logs:\n{}", logs.join("\n"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until all that is being changed at processes has been.
    pub fn settle(&mut self) {
        self.busy
            .drain(..)
            .for_each(|thread| thread.join().expect("an instance starts and ends as it should"));
    }

    /// Ends all, and gives what happened.
    pub fn finish(mut self) -> Played {
        self.settle();
        let to = self.record.now();
        let after = self.relays.sent();
        let counts = self.crowd.take().map_or_else(Arc::default, ClientPopulation::finish);
        let tries = self.throng.take().map_or_else(Vec::new, LoadGenerator::finish);
        thread::scope(|scope| {
            for post in &self.posts {
                scope.spawn(|| post.lock().unwrap().end());
            }
        });
        let end = self.record.now();
        let others = self.site.members().into_iter().map(|(name, _)| name);
        let others: Vec<String> = others.filter(|name| !self.caches.contains(name)).collect();
        let posts = || self.posts.iter().map(|p| p.lock().unwrap());
        Played {
            plan: self.plan.clone(),
            unix: self.record.start_unix_ms(),
            from: self.from,
            to,
            end,
            logs: posts().map(|p| p.log()).collect(),
            absent: posts().map(|p| p.absent.clone()).collect(),
            counts,
            tries,
            members: self.caches.iter().cloned().chain(others).collect(),
            sent: (after.0 - self.sent.0, after.1 - self.sent.1),
            wrongs: posts().flat_map(|p| p.wrongs.clone()).collect(),
            facts: self.record.take(),
        }
    }
}

/// Shims where the plan cuts connections between instances and caches.
fn shims(plan: &Plan, site: &Site) -> Shims {
    let mut shims = Shims::new();
    let members = site.members();
    for fault in &plan.faults {
        let What::Cut(instances, zone, _) = &fault.what else { continue };
        for i in (0..plan.instances).filter(|i| instances.is_empty() || instances.contains(i)) {
            for name in site.caches_in_zone(&zone_name(plan.zones, *zone)) {
                let Some((_, at)) = members.iter().find(|(other, _)| *other == name) else { continue };
                shims.entry((i, name)).or_insert_with(|| LinkRelay::to(*at));
            }
        }
    }
    shims
}

impl Rig {
    /// Something at an instance, beside all else: it may take its time.
    fn at(&mut self, i: usize, what: impl FnOnce(&mut InstanceProcess) + Send + 'static) {
        let post = self.posts[i].clone();
        self.busy.push(thread::spawn(move || what(&mut post.lock().unwrap())));
    }

    fn others(&self, part: &[usize]) -> Vec<usize> {
        (0..self.plan.instances).filter(|i| !part.contains(i)).collect()
    }

    /// Something goes wrong from now on, meant for so many seconds, or no more.
    pub fn change(&mut self, what: &What, lasts: f64, begins: bool) {
        match what {
            What::Kill(i) if begins => self.at(*i, InstanceProcess::kill),
            What::Kill(i) => self.at(*i, InstanceProcess::start),
            What::Pause(i) if begins => self.at(*i, InstanceProcess::stop),
            What::Pause(i) => self.at(*i, InstanceProcess::go_on),
            What::Restart(i) if begins => self.at(*i, |post| {
                post.end();
                post.start();
            }),
            What::Rolling if begins => {
                let gap = Duration::from_secs_f64(lasts / self.plan.instances as f64);
                for i in 0..self.plan.instances {
                    self.at(i, move |post| {
                        thread::sleep(gap * post.index as u32);
                        post.end();
                        post.start();
                    });
                }
            }
            What::Restart(_) | What::Rolling => {}
            What::Split(part) | What::Mute(part) => {
                let others = self.others(part);
                let out = part.iter().flat_map(|i| others.iter().map(|j| (*i, *j)));
                let back = part.iter().flat_map(|i| others.iter().map(|j| (*j, *i)));
                let both = matches!(what, What::Split(_));
                let pairs: Vec<(usize, usize)> = out.chain(back.filter(|_| both)).collect();
                if begins { self.relays.cut(pairs) } else { self.relays.join(pairs) }
            }
            What::Datagrams(lost, doubled, late) => {
                let fate = Fate { lost: *lost, doubled: *doubled, late: *late };
                self.relays.fate(if begins { fate } else { Fate::default() });
            }
            What::Cache(n, Trouble::Crashes) if begins => self.site.crash(&self.caches[*n]),
            What::Cache(n, Trouble::Crashes) => self.site.restart(&self.caches[*n]),
            What::Cache(n, trouble) => {
                let trouble = match trouble {
                    _ if !begins => NodeFault::None,
                    Trouble::Hangs => NodeFault::Hangs,
                    Trouble::Fails(share) => NodeFault::Fails(*share),
                    Trouble::Slow(ms) => NodeFault::Slow(*ms),
                    Trouble::Crashes => return,
                };
                self.site.set_fault(&self.caches[*n], trouble);
            }
            What::Cut(instances, zone, silent) => {
                let cut = if *silent { LinkState::Silent } else { LinkState::Reset };
                let of = self.site.caches_in_zone(&zone_name(self.plan.zones, *zone));
                for ((i, member), shim) in &self.shims {
                    if (instances.is_empty() || instances.contains(i)) && of.contains(member) {
                        shim.set_state(if begins { cut } else { LinkState::Up });
                    }
                }
            }
            What::Load(times) => self.rate.set(self.plan.rate * if begins { *times } else { 1.0 }),
            What::Origin(ms) => self.site.slow_origin(if begins { *ms } else { 0 }),
            What::Cold(zone) => {
                let of = self.site.caches_in_zone(&zone_name(self.plan.zones, *zone));
                for name in of {
                    if begins { self.site.crash(&name) } else { self.site.restart(&name) }
                }
            }
            What::Feed(instances, late) => {
                let all = (0..self.plan.instances).filter(|i| instances.is_empty() || instances.contains(i));
                for i in all.collect::<Vec<_>>() {
                    let late = *late;
                    self.at(i, move |post| {
                        post.feed.set_silent(begins && late == 0);
                        post.feed.set_delay(if begins { late } else { 0 });
                    });
                }
            }
        }
    }
}
