//! Experiments as files.

use crate::scenario::{self, Fault, Host, Retry, Scenario, What};
pub use deckproxy_operator::Fault as Wrong;
use deckproxy_operator::text;
use prost::Message as _;
use prost_reflect::DescriptorPool;

#[allow(clippy::all)]
mod schema {
    include!(concat!(env!("OUT_DIR"), "/deckproxy.model.rs"));
}

/// An experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// What it is to answer.
    pub question: String,
    /// What is compared, by name; the first is the one that the others are held against.
    pub variants: Vec<(String, Scenario)>,
}

fn host(host: schema::Host) -> Host {
    match host {
        schema::Host::Gateway => Host::Gateway,
        schema::Host::Recovery => Host::Recovery,
        schema::Host::Random => Host::Random,
        schema::Host::TwoChoices => Host::TwoChoices,
        schema::Host::BoundedHash => Host::BoundedHash,
        schema::Host::NoCollapsing => Host::NoCollapsing,
    }
}

fn retry(retry: schema::Retry) -> Retry {
    match retry {
        schema::Retry::Advised => Retry::Advised,
        schema::Retry::AtOnce => Retry::AtOnce,
        schema::Retry::Never => Retry::Never,
    }
}

fn what(fault: &schema::Fault) -> Option<What> {
    use schema::fault::What as W;
    Some(match fault.what.as_ref()? {
        W::Crash(s) => What::Crash { share: s.share },
        W::Hang(s) => What::Hang { share: s.share },
        W::Slow(s) => What::Slow { share: s.share, times: s.times },
        W::Gray(s) => What::Gray { share: s.share, fails: s.fails },
        W::Site(site) => What::Site { site: *site as usize },
        W::Origin(times) => What::Origin { times: *times },
        W::Gateways(_) => What::Gateways,
        W::Flash(f) => What::Flash { times: f.times, one: f.one },
        W::Feed(_) => What::Feed,
        W::Reports(_) => What::Reports,
        W::Flap(f) => What::Flap { share: f.share, each: f.each_ms },
    })
}

fn scenario(e: &schema::Experiment, told: &mut Vec<(String, String)>) -> Scenario {
    let mut set = Scenario::default();
    let usize = |n: u32| n as usize;
    set.seconds = e.seconds.unwrap_or(set.seconds);
    set.sites = e.sites.map_or(set.sites, usize);
    set.locations = e.locations.map_or(set.locations, usize);
    set.gateways = e.gateways.map_or(set.gateways, usize);
    set.caches = e.caches.map_or(set.caches, usize);
    set.parents = e.parents.map_or(set.parents, usize);
    set.step = e.step_ms.unwrap_or(set.step);
    if let Some(l) = &e.load {
        let d = scenario::Load::default();
        set.load = scenario::Load {
            rate: l.rate.unwrap_or(d.rate),
            schedule: l.schedule.clone(),
            objects: l.objects.map_or(d.objects, usize),
            zipf: l.zipf.unwrap_or(d.zipf),
            drift: l.drift.unwrap_or(d.drift),
            writes: l.writes.unwrap_or(d.writes),
            patience: l.patience_ms.unwrap_or(d.patience),
            tries: l.tries.unwrap_or(d.tries),
            retry: l.retry.map_or(d.retry, |_| retry(l.retry())),
            purges: l.purges.unwrap_or(d.purges),
        };
    }
    if let Some(m) = &e.members {
        let mut three = |name: &str, given: &[f64], own: &mut [f64]| match given.len() {
            0 => {}
            n if n == own.len() => own.copy_from_slice(given),
            n => told.push((format!("members.{name}"), format!("{n} values; {} are wanted", own.len()))),
        };
        let wide = |all: &[u32]| all.iter().map(|n| f64::from(*n)).collect::<Vec<_>>();
        let mut cores = set.members.cores.map(|n| n as f64);
        three("cores", &wide(&m.cores), &mut cores);
        let mut queue = set.members.queue.map(|n| n as f64);
        three("queue", &wide(&m.queue), &mut queue);
        let mut keeps = set.members.keeps.map(|n| n as f64);
        three("keeps", &wide(&m.keeps), &mut keeps);
        three("work_ms", &m.work_ms, &mut set.members.work);
        set.members.cores = cores.map(|n| n as usize);
        set.members.queue = queue.map(|n| n as usize);
        set.members.keeps = keeps.map(|n| n as usize);
        set.members.flow = m.flow.unwrap_or(set.members.flow);
        set.members.inlet = m.inlet.unwrap_or(set.members.inlet);
    }
    for (i, fault) in e.faults.iter().enumerate() {
        match what(fault) {
            Some(what) => set.faults.push(Fault { at: fault.at * 1000.0, lasts: fault.lasts * 1000.0, what }),
            None => told.push((format!("faults[{i}]"), "what goes wrong is not said".to_string())),
        }
    }
    set
}

/// Reads a file's bytes. The error holds every fault, in the order of the text.
pub fn read(bytes: &[u8]) -> Result<Experiment, Vec<Wrong>> {
    let schema: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/experiment.bin"));
    // The bytes are this build's own; a test reads the experiments of the repository with them.
    let pool = DescriptorPool::decode(schema).expect("the schema that was compiled in");
    let root =
        pool.get_message_by_name("deckproxy.model.Experiment").expect("the schema's outermost message");
    let file = text::read(&root, bytes)?;
    let e = schema::Experiment::decode(&*file.encoded).map_err(|e| vec![file.fault("", &e.to_string())])?;
    let mut told = Vec::new();
    let base = scenario(&e, &mut told);
    // Where one of the faults could not be taken, the numbers of the others are not those of the text.
    let all = base.faults.len() == e.faults.len();
    told.extend(base.faults_of().into_iter().filter(|(field, _)| all || !field.starts_with("faults[")));
    let mut variants = Vec::new();
    for (i, v) in e.variants.iter().enumerate() {
        let mut set = base.clone();
        set.host = host(v.host());
        set.load.retry = v.retry.map_or(set.load.retry, |_| retry(v.retry()));
        if v.name.is_empty() || variants.iter().any(|(name, _): &(String, Scenario)| *name == v.name) {
            told.push((format!("variants[{i}].name"), "a name of its own is wanted".to_string()));
        }
        variants.push((v.name.clone(), set));
    }
    if variants.is_empty() {
        variants.push(("gateway".to_string(), base));
    }
    if told.is_empty() {
        return Ok(Experiment { question: e.question, variants });
    }
    let mut faults: Vec<Wrong> = told.iter().map(|(path, what)| file.fault(path, what)).collect();
    faults.sort();
    Err(faults)
}
