//! The instances' processes: started, killed, stopped, ended by themselves, restarted.

use crate::absence::Absences;
use crate::instance_config::{self, MemberAddresses, readdress};
use crate::plan::Plan;
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
use std::path::PathBuf;

/// Relays between instances and members, by instance and member's name; only where a plan cuts those connections.
pub type MemberRelays = HashMap<(usize, String), LinkRelay>;

/// One instance, through all its restarts. Dropping it kills its process and removes its folder.
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
    pub absences: Absences,
    /// The control feed as it sees it.
    pub feed: FeedView,
    config: Value,
    operator_file: String,
    folder: PathBuf,
    gateway: Option<Gateway>,
    /// The logs of the processes that have ended.
    past_logs: String,
    /// Processes that did not end as they should have, or whose own checks failed.
    pub process_faults: Vec<String>,
    record: Record,
}

/// Free addresses for the instances' datagram sockets.
pub fn datagram_addresses(plan: &Plan) -> Vec<SocketAddr> {
    (0..plan.instances).map(|_| free_address()).collect()
}

impl InstanceProcess {
    /// An instance that is not started yet. `datagrams`: the address of its datagram socket.
    ///
    /// # Panics
    ///
    /// If the folder for temporary files takes none.
    pub fn new(
        plan: &Plan,
        index: usize,
        site: &Site,
        relays: &Relays,
        datagrams: SocketAddr,
        member_relays: &MemberRelays,
        record: &Record,
    ) -> Self {
        let listen = free_address();
        let addresses: MemberAddresses = member_relays
            .iter()
            .filter(|((instance, _), _)| *instance == index)
            .map(|((_, member), relay)| (member.clone(), relay.address))
            .collect();
        let mut config = instance_config::config(plan, index, site, listen, &addresses);
        let feed = site.feed.view(Box::new(move |event| readdress(event, &addresses)));
        config["feed"] = json!(feed.address.to_string());
        let folder =
            std::env::temp_dir().join(format!("deckproxy-rig-{}-{}", std::process::id(), next_number()));
        std::fs::create_dir_all(&folder).expect("the folder for temporary files takes one");
        InstanceProcess {
            index,
            name: format!("i{index}"),
            zone: zone_name(plan.zones, index % plan.zones),
            listen,
            absences: Absences::default(),
            feed,
            config,
            operator_file: instance_config::operator_file(plan, index, relays, datagrams),
            folder,
            gateway: None,
            past_logs: String::new(),
            process_faults: Vec::new(),
            record: record.clone(),
        }
    }

    /// The operator file that it is started with; empty: none.
    pub fn operator_file(&self) -> &str {
        &self.operator_file
    }

    /// Starts it, and waits until clients can connect.
    ///
    /// # Panics
    ///
    /// If its files cannot be written, or it ends at once.
    pub fn start(&mut self) {
        let config = self.folder.join("config.json");
        std::fs::write(&config, self.config.to_string()).expect("the folder takes a file");
        let mut arguments = vec!["run".to_string(), "--log-format".to_string(), "json".to_string()];
        if !self.operator_file.is_empty() {
            let operator = self.folder.join("operator.textproto");
            std::fs::write(&operator, &self.operator_file).expect("the folder takes a file");
            arguments.extend(["--operator".to_string(), operator.display().to_string()]);
        }
        let mut gateway = Gateway::spawn_with(&config, self.listen, "true", &arguments);
        let listen = self.listen;
        until("an instance listens", || {
            let ended = gateway.child.try_wait().expect("a process of our own");
            assert!(ended.is_none(), "an instance ended at its start: {}", gateway.log());
            TcpStream::connect(listen).is_ok()
        });
        self.gateway = Some(gateway);
        self.absences.end(self.record.now());
    }

    /// Ends it by SIGKILL.
    ///
    /// # Panics
    ///
    /// If the system refuses the signal.
    pub fn kill(&mut self) {
        self.absences.begin(self.record.now());
        if let Some(mut gateway) = self.gateway.take() {
            gateway.kill();
            self.keep_log(&gateway);
        }
    }

    /// Stops it by SIGSTOP.
    pub fn pause(&mut self) {
        if let Some(gateway) = &self.gateway {
            self.absences.begin(self.record.now());
            gateway.signal("STOP");
        }
    }

    /// Has it go on by SIGCONT.
    pub fn resume(&mut self) {
        if let Some(gateway) = &self.gateway {
            gateway.signal("CONT");
            self.absences.end(self.record.now());
        }
    }

    /// Ends it by SIGTERM, and waits until it has drained.
    pub fn shut_down(&mut self) {
        let Some(mut gateway) = self.gateway.take() else { return };
        self.absences.begin(self.record.now());
        gateway.signal("TERM");
        let code = gateway.wait_for_exit();
        self.keep_log(&gateway);
        if code != Some(0) {
            self.process_faults.push(format!("{} ended with {code:?} on SIGTERM", self.name));
        }
    }

    /// Ends it by SIGTERM, and starts it again.
    pub fn restart(&mut self) {
        self.shut_down();
        self.start();
    }

    fn keep_log(&mut self, gateway: &Gateway) {
        let log = gateway.log();
        if log.contains("broken invariant") || log.contains("panicked") {
            self.process_faults.push(format!("{}'s own checks failed: {log}", self.name));
        }
        self.past_logs.push_str(&log);
    }

    /// The logs of all its processes, a JSON object a line.
    pub fn log(&self) -> String {
        let current = self.gateway.as_ref().map_or(String::new(), Gateway::log);
        format!("{}{current}", self.past_logs)
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.gateway = None;
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
