//! Plans: what runs, and what goes wrong when. As a file in text format, read with all its faults at once, and written so
//! that it plays again.

pub use deckproxy_operator::Fault as Wrong;
use deckproxy_operator::text;
use prost::Message as _;
use prost_reflect::DescriptorPool;
use std::fmt::Write as _;

#[allow(clippy::all, missing_docs)]
mod schema {
    include!(concat!(env!("OUT_DIR"), "/deckproxy.rig.rs"));
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// SIGKILL, and a new start when it ends.
    Kill(usize),
    /// SIGSTOP, and SIGCONT when it ends.
    Pause(usize),
    /// SIGTERM, and a new start once it has ended by itself.
    Restart(usize),
    /// All are restarted, one after another.
    Rolling,
    /// These and the others do not hear each other.
    Split(Vec<usize>),
    /// The others do not hear these.
    Mute(Vec<usize>),
    /// All datagrams fare so: share lost, share doubled, milliseconds late at most.
    Datagrams(f64, f64, u64),
    /// Something is wrong with a cache.
    Cache(usize, Trouble),
    /// The connections of these instances (none: all) to the caches of a zone; silent or reset.
    Cut(Vec<usize>, usize, bool),
    /// The feed of these instances (none: all) is so many ms late; 0: silent.
    Feed(Vec<usize>, u64),
    /// So many times the traffic.
    Load(f64),
    /// The origin takes so many ms longer.
    Origin(u64),
    /// All caches of a zone crash, and start again with nothing kept.
    Cold(usize),
}

/// What is wrong with a cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// It crashes, and starts again with nothing kept.
    Crashes,
    /// It answers nothing.
    Hangs,
    /// It fails a share of what it is asked.
    Fails(f64),
    /// It takes so many ms longer.
    Slow(u64),
}

/// What stands against overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Shed {
    /// The module alone.
    #[default]
    Nothing,
    /// A door at each instance.
    Door,
    /// All instances as one.
    Fleet,
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Seconds after the traffic began.
    pub at: f64,
    /// Seconds for which it lasts.
    pub lasts: f64,
    /// What it is.
    pub what: What,
}

/// A whole run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// What it is to show.
    pub question: String,
    /// Seconds of traffic.
    pub seconds: f64,
    /// Processes of the gateway.
    pub instances: usize,
    /// Zones, and caches of each.
    pub zones: usize,
    /// See `zones`.
    pub caches: usize,
    /// Requests a second of all clients.
    pub rate: f64,
    /// Clients.
    pub clients: usize,
    /// Seed of traffic and losses.
    pub seed: u64,
    /// The instances know of each other.
    pub fleet: bool,
    /// Milliseconds between an observer's probes of a member.
    pub probe: u64,
    /// Each is a fleet of its own, as a baseline.
    pub alone: bool,
    /// What stands against overload.
    pub shed: Shed,
    /// Requests that the origin works on at once; 0: any number.
    pub room: usize,
    /// Clients have many requests open, and go on at once when they are refused.
    pub throng: bool,
    /// They do so for ever.
    pub hasty: bool,
    /// Traffic of the first instance beside each other's.
    pub skew: f64,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            question: String::new(),
            seconds: 20.0,
            instances: 5,
            zones: 2,
            caches: 3,
            rate: 150.0,
            clients: 30,
            seed: 1,
            fleet: true,
            probe: 1000,
            alone: false,
            shed: Shed::Nothing,
            room: 0,
            throng: false,
            hasty: false,
            skew: 1.0,
            faults: Vec::new(),
        }
    }
}

fn places(all: &[u32]) -> Vec<usize> {
    all.iter().map(|i| *i as usize).collect()
}

fn what(fault: &schema::Fault) -> Result<What, (&'static str, &'static str)> {
    use schema::fault::What as W;
    Ok(match fault.what.as_ref().ok_or(("", "what goes wrong is not said"))? {
        W::Kill(i) => What::Kill(*i as usize),
        W::Pause(i) => What::Pause(*i as usize),
        W::Restart(i) => What::Restart(*i as usize),
        W::Rolling(_) => What::Rolling,
        W::Split(part) => What::Split(places(&part.instances)),
        W::Mute(part) => What::Mute(places(&part.instances)),
        W::Datagrams(d) => What::Datagrams(d.lost, d.doubled, u64::from(d.late_ms)),
        W::Cut(cut) => What::Cut(places(&cut.instances), cut.zone as usize, cut.silent),
        W::Load(times) => What::Load(*times),
        W::OriginSlowMs(ms) => What::Origin(u64::from(*ms)),
        W::ZoneCold(zone) => What::Cold(*zone as usize),
        W::Feed(feed) => What::Feed(places(&feed.instances), u64::from(feed.late_ms)),
        W::Cache(cache) => {
            use schema::cache::Trouble as T;
            let trouble = cache.trouble.as_ref().ok_or((".cache", "what is wrong with it is not said"))?;
            let trouble = match trouble {
                T::Crashes(_) => Trouble::Crashes,
                T::Hangs(_) => Trouble::Hangs,
                T::Fails(share) => Trouble::Fails(*share),
                T::SlowMs(ms) => Trouble::Slow(u64::from(*ms)),
            };
            What::Cache(cache.number as usize, trouble)
        }
    })
}

impl Plan {
    /// Faults between the fields, as path and text; `named`: the places of faults in the file.
    fn wrongs(&self) -> Vec<(String, String)> {
        let mut out = Vec::new();
        let mut range = |field: &str, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                out.push((field.to_string(), format!("{value} is not from {least} to {most}")));
            }
        };
        range("seconds", self.seconds, 1.0, 3600.0);
        range("instances", self.instances as f64, 1.0, 24.0);
        range("zones", self.zones as f64, 1.0, 8.0);
        range("caches", self.caches as f64, 1.0, 16.0);
        range("rate", self.rate, 1.0, 5000.0);
        range("clients", self.clients as f64, 1.0, 500.0);
        range("probe_ms", self.probe as f64, 100.0, 60_000.0);
        range("origin_room", self.room as f64, 0.0, 1000.0);
        range("skew", self.skew, 0.1, 20.0);
        for (i, fault) in self.faults.iter().enumerate() {
            let mut wrong = |field: &str, what: String| out.push((format!("faults[{i}]{field}"), what));
            if !(fault.at >= 0.0 && fault.lasts > 0.0 && fault.at + fault.lasts <= self.seconds) {
                let what = format!(
                    "from {} to {} s is not within the run of {} s",
                    fault.at,
                    fault.at + fault.lasts,
                    self.seconds
                );
                wrong("", what);
            }
            let instances = match &fault.what {
                What::Kill(i) | What::Pause(i) | What::Restart(i) => std::slice::from_ref(i),
                What::Split(all) | What::Mute(all) | What::Cut(all, ..) | What::Feed(all, _) => all,
                What::Rolling | What::Datagrams(..) | What::Cache(..) => &[],
                What::Load(_) | What::Origin(_) | What::Cold(_) => &[],
            };
            if let Some(i) = instances.iter().find(|i| **i >= self.instances) {
                wrong("", format!("there is no instance {i}; they are 0 to {}", self.instances - 1));
            }
            match &fault.what {
                What::Split(part) | What::Mute(part) if part.is_empty() || part.len() >= self.instances => {
                    wrong("", "some of the instances are wanted, and not all".to_string());
                }
                What::Cache(n, _) if *n >= self.zones * self.caches => {
                    let most = self.zones * self.caches - 1;
                    wrong(".cache.number", format!("there is no cache {n}; they are 0 to {most}"));
                }
                What::Cache(_, Trouble::Fails(share)) if !(0.0..=1.0).contains(share) => {
                    wrong(".cache.fails", format!("{share} is no share"));
                }
                What::Load(times) if !(*times > 0.0 && *times <= 20.0) => {
                    wrong(".load", format!("{times} is not over 0 and up to 20"));
                }
                What::Load(_) if !self.throng => {
                    wrong(".load", "only a throng of clients has another traffic: set throng".to_string());
                }
                What::Cold(zone) if *zone >= self.zones => {
                    let most = self.zones - 1;
                    wrong(".zone_cold", format!("there is no zone {zone}; they are 0 to {most}"));
                }
                What::Cut(_, zone, _) if *zone >= self.zones => {
                    wrong(".cut.zone", format!("there is no zone {zone}; they are 0 to {}", self.zones - 1));
                }
                What::Datagrams(lost, doubled, _)
                    if !(0.0..=1.0).contains(lost) || !(0.0..=1.0).contains(doubled) =>
                {
                    wrong(".datagrams", "a share is from 0 to 1".to_string());
                }
                _ => {}
            }
        }
        out
    }

    /// The plan as a file.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(out, "question: {:?}", self.question);
        let _ = writeln!(
            out,
            "seconds: {:?} instances: {} zones: {} caches: {} rate: {:?} clients: {} seed: {} fleet: {} probe_ms: {} alone: {} \
             shed: {} origin_room: {} throng: {} hasty: {} skew: {:?}",
            self.seconds,
            self.instances,
            self.zones,
            self.caches,
            self.rate,
            self.clients,
            self.seed,
            self.fleet,
            self.probe,
            self.alone,
            match self.shed {
                Shed::Nothing => "NOTHING",
                Shed::Door => "DOOR",
                Shed::Fleet => "FLEET",
            },
            self.room,
            self.throng,
            self.hasty,
            self.skew
        );
        for fault in &self.faults {
            let _ = writeln!(
                out,
                "faults {{ at: {:?} lasts: {:?} {} }}",
                fault.at,
                fault.lasts,
                said(&fault.what)
            );
        }
        out
    }
}

/// What goes wrong, as a file says it.
pub fn said(what: &What) -> String {
    let list = |all: &[usize]| format!("instances: {all:?}");
    match what {
        What::Kill(i) => format!("kill: {i}"),
        What::Pause(i) => format!("pause: {i}"),
        What::Restart(i) => format!("restart: {i}"),
        What::Rolling => "rolling: true".to_string(),
        What::Split(part) => format!("split {{ {} }}", list(part)),
        What::Mute(part) => format!("mute {{ {} }}", list(part)),
        What::Datagrams(lost, doubled, late) => {
            format!("datagrams {{ lost: {lost:?} doubled: {doubled:?} late_ms: {late} }}")
        }
        What::Cache(n, trouble) => {
            let trouble = match trouble {
                Trouble::Crashes => "crashes: true".to_string(),
                Trouble::Hangs => "hangs: true".to_string(),
                Trouble::Fails(share) => format!("fails: {share:?}"),
                Trouble::Slow(ms) => format!("slow_ms: {ms}"),
            };
            format!("cache {{ number: {n} {trouble} }}")
        }
        What::Cut(all, zone, silent) => format!("cut {{ {} zone: {zone} silent: {silent} }}", list(all)),
        What::Load(times) => format!("load: {times:?}"),
        What::Origin(ms) => format!("origin_slow_ms: {ms}"),
        What::Cold(zone) => format!("zone_cold: {zone}"),
        What::Feed(all, late) => format!("feed {{ {} late_ms: {late} }}", list(all)),
    }
}

/// Reads a file's bytes. The error holds every fault, in the order of the text.
pub fn read(bytes: &[u8]) -> Result<Plan, Vec<Wrong>> {
    let schema: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/plan.bin"));
    // The bytes are this build's own; a test reads the plans of the repository with them.
    let pool = DescriptorPool::decode(schema).expect("the schema that was compiled in");
    let root = pool.get_message_by_name("deckproxy.rig.Plan").expect("the schema's outermost message");
    let file = text::read(&root, bytes)?;
    let p = schema::Plan::decode(&*file.encoded).map_err(|e| vec![file.fault("", &e.to_string())])?;
    let d = Plan::default();
    let usize = |given: Option<u32>, usual: usize| given.map_or(usual, |n| n as usize);
    let mut plan = Plan {
        question: p.question.clone(),
        seconds: p.seconds.unwrap_or(d.seconds),
        instances: usize(p.instances, d.instances),
        zones: usize(p.zones, d.zones),
        caches: usize(p.caches, d.caches),
        rate: p.rate.unwrap_or(d.rate),
        clients: usize(p.clients, d.clients),
        seed: p.seed.unwrap_or(d.seed),
        fleet: p.fleet.unwrap_or(d.fleet),
        probe: p.probe_ms.map_or(d.probe, u64::from),
        alone: p.alone.unwrap_or(d.alone),
        shed: match p.shed() {
            schema::Shed::Nothing => Shed::Nothing,
            schema::Shed::Door => Shed::Door,
            schema::Shed::Fleet => Shed::Fleet,
        },
        room: usize(p.origin_room, d.room),
        throng: p.throng.unwrap_or(d.throng),
        hasty: p.hasty.unwrap_or(d.hasty),
        skew: p.skew.unwrap_or(d.skew),
        faults: Vec::new(),
    };
    let mut told = Vec::new();
    for (i, fault) in p.faults.iter().enumerate() {
        match what(fault) {
            Ok(what) => plan.faults.push(Fault { at: fault.at, lasts: fault.lasts, what }),
            Err((field, why)) => told.push((format!("faults[{i}]{field}"), why.to_string())),
        }
    }
    // Where one of the faults could not be taken, the numbers of the others are not those of the text.
    let all = told.is_empty();
    told.extend(plan.wrongs().into_iter().filter(|(field, _)| all || !field.starts_with("faults[")));
    if told.is_empty() {
        return Ok(plan);
    }
    let mut faults: Vec<Wrong> = told.iter().map(|(path, what)| file.fault(path, what)).collect();
    faults.sort();
    Err(faults)
}
