//! The instances' processes: started, killed, stopped, ended by themselves, restarted; and the times at which each could
//! not answer.

use crate::plan::{Plan, Shed};
use crate::relay::Relays;
use deckproxy_standins::link_relay::LinkRelay;
use deckproxy_standins::live_feed::FeedView;
use deckproxy_standins::record::Record;
use deckproxy_standins::site::{Site, zone_name};
use deckproxy_standins::wait::next_number;
use deckproxy_standins::{Gateway, free_address, until};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// Times at which an instance could not answer, ms of the record: killed, stopped or ending, and since when until when.
#[derive(Clone, Debug, Default)]
pub struct Absences(Arc<Mutex<Vec<(f64, f64)>>>);

impl Absences {
    fn begin(&self, at: f64) {
        self.0.lock().unwrap().push((at, f64::MAX));
    }

    fn end(&self, at: f64) {
        let mut all = self.0.lock().unwrap();
        all.iter_mut().filter(|(_, to)| *to == f64::MAX).for_each(|(_, to)| *to = at);
    }

    /// Whether some of it lies in a span.
    pub fn touch(&self, from: f64, to: f64) -> bool {
        self.0.lock().unwrap().iter().any(|(since, until)| *since <= to && from <= *until)
    }

    /// All of them.
    pub fn all(&self) -> Vec<(f64, f64)> {
        self.0.lock().unwrap().clone()
    }
}

/// Shims between instances and members, by instance and member's name; only where a plan cuts those.
pub type Shims = HashMap<(usize, String), LinkRelay>;

/// One instance.
pub struct InstanceProcess {
    /// Its number.
    pub index: usize,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// When it could not answer.
    pub absent: Absences,
    /// The feed as it sees it.
    pub feed: FeedView,
    config: Value,
    operator: String,
    folder: std::path::PathBuf,
    gateway: Option<Gateway>,
    /// What its lives logged.
    logs: String,
    /// Processes that did not end as they should have.
    pub wrongs: Vec<String>,
    record: Record,
}

/// Changes the members' addresses in an event to those at which an instance reaches them.
fn readdressed(event: &Value, ways: &HashMap<String, SocketAddr>) -> Value {
    let mut event = event.clone();
    let members = event["members"]["members"].as_array_mut();
    for member in members.into_iter().flatten() {
        if let Some(at) = member["id"].as_str().and_then(|id| ways.get(id)) {
            member["host_port"] = json!(at.to_string());
        }
    }
    event
}

/// Addresses of the instances' datagram sockets.
pub fn sockets(plan: &Plan) -> Vec<SocketAddr> {
    (0..plan.instances).map(|_| free_address()).collect()
}

impl InstanceProcess {
    /// One that is not started yet. `at`: its datagram socket's address.
    pub fn new(
        plan: &Plan,
        index: usize,
        site: &Site,
        relays: &Relays,
        at: SocketAddr,
        shims: &Shims,
        record: &Record,
    ) -> Self {
        let zone = zone_name(plan.zones, index % plan.zones);
        let name = format!("i{index}");
        let listen = free_address();
        let ways: HashMap<String, SocketAddr> = shims
            .iter()
            .filter(|((of, _), _)| *of == index)
            .map(|((_, member), shim)| (member.clone(), shim.address))
            .collect();
        let mut config = site.config(&name, listen);
        let zones: Vec<String> = std::iter::once("hub".to_string())
            .chain((0..plan.zones).map(|z| zone_name(plan.zones, z)))
            .collect();
        let of = |z: usize| (0..plan.instances).filter(|i| i % plan.zones == z).count();
        let routers: Vec<usize> = std::iter::once(0).chain((0..plan.zones).map(of)).collect();
        let inlets: Vec<f64> = std::iter::once(0.0).chain((0..plan.zones).map(|_| 1e6)).collect();
        let settings = &mut config["settings"];
        settings["zones"] = json!(zones);
        settings["locality"] = json!(1 + index % plan.zones);
        settings["groupSize"] = json!(plan.instances);
        settings["position"] = json!(index);
        settings["familyInfo"]["zoneBalancers"] = json!(routers);
        settings["familyInfo"]["inletKbPerS"] = json!(inlets);
        let known: Vec<Value> = config["known"]["events"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|event| readdressed(event, &ways))
            .collect();
        config["known"]["events"] = json!(known);
        let feed = site.feed.view(Box::new(move |event| readdressed(event, &ways)));
        config["feed"] = json!(feed.address.to_string());
        let (fleet, size) = if plan.alone { (name.as_str(), 1) } else { ("rig", plan.instances) };
        // One that is to be alone knows nobody to find.
        let known = if plan.alone { &relays.addresses[index..=index] } else { &relays.addresses[..] };
        let seeds: Vec<String> = known.iter().take(2).map(|at| format!("{:?}", at.to_string())).collect();
        let operator = format!(
            "fleet {{\n name: \"{fleet}\" listen: \"{at}\" address: \"{}\" seeds: [{}]\n prefixes: \"127.0.0.0/8\" \
             instance: \"{name}\" instances: {}\n probes {{ interval_ms: {} }}\n}}\n",
            relays.addresses[index],
            seeds.join(", "),
            size,
            plan.probe
        );
        let operator = match plan.shed {
            Shed::Nothing => operator,
            // What the instances of a site have to tell each other of 1,000 requests a second.
            Shed::Fleet => operator.replacen("probes {", "kb_per_s: 64 overload { } probes {", 1),
            Shed::Door => format!("{operator}recovery {{ client: ADDRESS }}\n"),
        };
        if plan.throng {
            config["settings"]["limits"]["maxRetryAfterMs"] = json!(2000.0);
            config["limits"]["sockets"] = json!(4096);
        }
        let operator =
            if plan.alone { operator.replace("probes {", "probes { observers: 1") } else { operator };
        let folder =
            std::env::temp_dir().join(format!("deckproxy-rig-{}-{}", std::process::id(), next_number()));
        std::fs::create_dir_all(&folder).expect("the folder for temporary files takes one");
        InstanceProcess {
            index,
            name,
            zone,
            listen,
            absent: Absences::default(),
            feed,
            config,
            operator: if plan.fleet { operator } else { String::new() },
            folder,
            gateway: None,
            logs: String::new(),
            wrongs: Vec::new(),
            record: record.clone(),
        }
    }

    /// The operator file that it is started with; empty: none.
    pub fn operator(&self) -> &str {
        &self.operator
    }

    /// Starts it, and waits until clients can connect.
    pub fn start(&mut self) {
        let config = self.folder.join("config.json");
        std::fs::write(&config, self.config.to_string()).expect("the folder takes a file");
        let mut words = vec!["run".to_string(), "--log-format".to_string(), "json".to_string()];
        if !self.operator.is_empty() {
            let operator = self.folder.join("operator.textproto");
            std::fs::write(&operator, &self.operator).expect("the folder takes a file");
            words.extend(["--operator".to_string(), operator.display().to_string()]);
        }
        let mut gateway = Gateway::spawn_with(&config, self.listen, "true", &words);
        let listen = self.listen;
        until("an instance listens", || {
            let ended = gateway.child.try_wait().expect("a process of our own");
            assert!(ended.is_none(), "an instance ended at its start: {}", gateway.log());
            TcpStream::connect(listen).is_ok()
        });
        self.gateway = Some(gateway);
        self.absent.end(self.record.now());
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.absent.begin(self.record.now());
        if let Some(mut gateway) = self.gateway.take() {
            gateway.child.kill().expect("a process of our own");
            let _ = gateway.child.wait();
            self.keep(&gateway);
        }
    }

    /// SIGSTOP.
    pub fn stop(&mut self) {
        if let Some(gateway) = &self.gateway {
            self.absent.begin(self.record.now());
            gateway.signal("STOP");
        }
    }

    /// SIGCONT.
    pub fn go_on(&mut self) {
        if let Some(gateway) = &self.gateway {
            gateway.signal("CONT");
            self.absent.end(self.record.now());
        }
    }

    /// SIGTERM; waits until it has ended by itself.
    pub fn end(&mut self) {
        let Some(mut gateway) = self.gateway.take() else { return };
        self.absent.begin(self.record.now());
        gateway.signal("TERM");
        let code = gateway.wait_for_exit();
        self.keep(&gateway);
        if code != Some(0) {
            self.wrongs.push(format!("{} ended with {code:?} on SIGTERM", self.name));
        }
    }

    fn keep(&mut self, gateway: &Gateway) {
        let log = gateway.log();
        if log.contains("broken invariant") || log.contains("panicked") {
            self.wrongs.push(format!("{}'s own checks failed: {log}", self.name));
        }
        self.logs.push_str(&log);
    }

    /// What all its lives have logged, a JSON object a line.
    pub fn log(&self) -> String {
        let now = self.gateway.as_ref().map_or(String::new(), Gateway::log);
        format!("{}{now}", self.logs)
    }

    /// CPU time of its event loop, ms; 0 where it does not run.
    pub fn cpu(&self) -> u64 {
        self.gateway.as_ref().map_or(0, Gateway::cpu_ms)
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.gateway = None;
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
