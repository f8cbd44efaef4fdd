//! The gateway's process.

use crate::client::{Answer, Client};
use crate::wait::{free_address, next_number, until};
use serde_json::json;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

pub fn settings() -> serde_json::Value {
    json!({
        "services": [
            {"name": "page", "aimMs": 600.0, "aimStretch": 2.0, "deadlineMs": 1500.0, "effect": "retryable",
             "group": "all", "importance": 1.0, "lateShare": 0.2, "dedupWindowMs": 0.0, "stream": false},
            {"name": "post", "aimMs": 800.0, "deadlineMs": 1500.0, "effect": "dedup", "group": "all",
             "importance": 3.0, "lateShare": 0.0, "dedupWindowMs": 6000.0, "stream": false},
            {"name": "once", "aimMs": 800.0, "deadlineMs": 1500.0, "effect": "fragile", "group": "all",
             "importance": 3.0, "lateShare": 0.0, "dedupWindowMs": 0.0, "stream": false}
        ],
        "familyInfo": {"maxAgeMs": [0.0, 0.0, 0.0], "usableAfterMs": [0.0, 0.0, 0.0],
            "agedWorth": [0.0, 0.0, 0.0], "goesThrough": [false, true, true], "shieldKind": 1, "sourceKind": 2,
            "bypassAllowed": true, "canJoin": true, "sideways": "none", "flowKbPerS": 1000.0,
            "zoneBalancers": [0, 1], "inletKbPerS": [0.0, 1_000_000.0], "obeyAfterMs": 500.0,
            "clearedWithinMs": 6000.0, "upperColdFrom": 0.1, "upperColdMs": 5000.0, "parentFallMultiple": 2.0},
        "rules": {"coldFrom": 0.2, "rampTimeMs": 5000.0, "fallMultiple": 3.0, "fallMs": 1000.0,
            "drainGraceMs": 500.0, "answerSlackMs": 8.0},
        "limits": {"sendCap": 6, "secondCopies": false, "cancel": true, "retryAfter": true,
            "maxRetryAfterMs": 500.0, "connIdleMs": 15000.0, "connectTimeoutMs": 400.0, "maxStreams": 100,
            "maxOpen": 20000, "probes": true},
        "report": {"fields": ["busy_reqs", "x1"], "via": "probe"},
        "machineTypes": ["box", "parent", "origin"], "zones": ["hub", "edge"], "locality": 1,
        "groupSize": 1, "position": 0, "discovery": "pushed"
    })
}

/// What a gateway is configured with; a test changes what it is about.
pub struct Setup {
    pub settings: serde_json::Value,
    pub events: Vec<serde_json::Value>,
    pub feed: SocketAddr,
    pub listen: SocketAddr,
    pub sockets: u64,
    /// The operator file, if there is one.
    pub operator: Option<String>,
    pub memory: u64,
}

impl Setup {
    /// A gateway that knows these entries and no feed that answers.
    pub fn knowing(entries: &[serde_json::Value]) -> Self {
        let list = json!({"n": 1, "members": {"revision": 1, "complete": true, "members": entries}});
        Setup {
            settings: settings(),
            events: vec![list],
            feed: free_address(),
            listen: free_address(),
            sockets: 1024,
            operator: None,
            memory: 192,
        }
    }

    pub fn config(&self) -> serde_json::Value {
        json!({"name": "n1", "listen": self.listen.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory, "sockets": self.sockets}, "feed": self.feed.to_string(),
            "flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000,
            "known": {"n": self.events.len(), "events": self.events}, "settings": self.settings})
    }

    pub fn start(&self) -> Gateway {
        self.start_under("true")
    }

    /// Starts it after a shell's command that sets its limits.
    pub fn start_under(&self, limit: &str) -> Gateway {
        let gateway = match &self.operator {
            None => Gateway::spawn_under(&self.config().to_string(), self.listen, limit),
            Some(text) => Gateway::spawn_operated(&self.config().to_string(), self.listen, limit, text),
        };
        until("the gateway is ready", || TcpStream::connect(self.listen).is_ok());
        let mut client = Client::connect(self.listen);
        let id = client.ping();
        assert_eq!(client.answer(), (id, Answer::Ready(true)));
        gateway
    }
}

/// The program that serves, and the words that have it do so: what DECKPROXY_PROGRAM names, the lab's own program, or
/// the gateway built beside the running test.
pub fn program() -> (PathBuf, Vec<String>) {
    if let Some(path) = std::env::var_os("DECKPROXY_PROGRAM") {
        return (path.into(), Vec::new());
    }
    let own = std::env::current_exe().expect("the running program has a path");
    if own.file_stem().is_some_and(|name| name == "decklab") {
        return (own, vec!["gateway".to_string()]);
    }
    let folder = own.parent().expect("a program stands in a folder");
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    (folder.join("deckproxy"), Vec::new())
}

/// The gateway's process.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    /// Its configuration file.
    pub path: PathBuf,
    operator: Option<PathBuf>,
    log: Arc<Mutex<String>>,
    unheard: Arc<AtomicBool>,
}

impl Gateway {
    pub fn spawn(config: &str, address: SocketAddr) -> Self {
        Self::spawn_under(config, address, "true")
    }

    /// Starts it by a shell after a command that sets its limits.
    pub fn spawn_under(config: &str, address: SocketAddr, limit: &str) -> Self {
        let name = format!("deckproxy-test-{}-{}.json", std::process::id(), next_number());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config).unwrap();
        Self::spawn_with(&path, address, limit, &[])
    }

    /// The same with an operator file, which `Gateway::operate` changes.
    pub fn spawn_operated(config: &str, address: SocketAddr, limit: &str, operator: &str) -> Self {
        let name = format!("deckproxy-test-{}-{}", std::process::id(), next_number());
        let path = std::env::temp_dir().join(format!("{name}.json"));
        let file = std::env::temp_dir().join(format!("{name}.textproto"));
        std::fs::write(&path, config).unwrap();
        std::fs::write(&file, operator).unwrap();
        let words = ["run".to_string(), "--operator".to_string(), file.display().to_string()];
        let mut gateway = Self::spawn_with(&path, address, limit, &words);
        gateway.operator = Some(file);
        gateway
    }

    /// Its operator file.
    pub fn operator_file(&self) -> &Path {
        self.operator.as_deref().expect("it was started with one")
    }

    /// Replaces its operator file and tells it so.
    pub fn operate(&self, text: &str) {
        std::fs::write(self.operator.as_ref().unwrap(), text).unwrap();
        self.signal("HUP");
    }

    /// Starts it with a configuration file and further words on its command line.
    pub fn spawn_with(path: &Path, address: SocketAddr, limit: &str, words: &[String]) -> Self {
        Self::spawn_by(program(), path, address, limit, words)
    }

    /// The same by a program, given with the words that have it serve.
    pub fn spawn_by(
        (program, first): (PathBuf, Vec<String>),
        path: &Path,
        address: SocketAddr,
        limit: &str,
        words: &[String],
    ) -> Self {
        let command = format!("{limit} && exec \"$0\" \"$@\"");
        let mut child = Command::new("sh")
            .args(["-c", &command])
            .arg(program)
            .args(first)
            .args(words)
            .env("GW_CONFIG", path)
            .env("GW_LISTEN", address.to_string())
            .env("GW_NAME", "n1")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stderr = child.stderr.take().unwrap();
        let log: Arc<Mutex<String>> = Arc::default();
        let unheard = Arc::new(AtomicBool::new(false));
        let path = path.to_path_buf();
        let (copy, stop) = (log.clone(), unheard.clone());
        thread::spawn(move || {
            let mut chunk = [0; 4096];
            while let (false, Ok(n @ 1..)) = (stop.load(Ordering::SeqCst), stderr.read(&mut chunk)) {
                copy.lock().unwrap().push_str(&String::from_utf8_lossy(&chunk[..n]));
            }
        });
        Gateway { child, address, path, operator: None, log, unheard }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Closes the log's reader when its next line has come.
    pub fn stop_reading_log(&self) {
        self.unheard.store(true, Ordering::SeqCst);
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Replaces its configuration file and tells it so; none removes the file.
    pub fn reload(&self, config: Option<&str>) {
        match config {
            Some(text) => std::fs::write(&self.path, text).unwrap(),
            None => std::fs::remove_file(&self.path).unwrap(),
        }
        self.signal("HUP");
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Waits until the process has ended by itself; gives its exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let mut code = None;
        until("the process ends", || {
            code = self.child.try_wait().unwrap();
            code.is_some()
        });
        code.and_then(|c| c.code())
    }

    /// CPU time of its event loop in ms.
    pub fn cpu(&self) -> u64 {
        self.cpu_ns() / 1_000_000
    }

    /// The same in ns.
    pub fn cpu_ns(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id())).unwrap();
        text.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Most resident memory so far in KB, and open descriptors.
    pub fn usage(&self) -> (u64, usize) {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count();
        (self.memory("VmHWM"), descriptors)
    }

    /// Most resident memory so far in KB but for the pages of the program itself, of which a build for tests has twice as
    /// many as the one that is deployed.
    pub fn own_memory(&self) -> u64 {
        self.memory("VmHWM") - self.memory("RssFile")
    }

    /// A line of what the kernel tells of its memory, KB.
    fn memory(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // Here and not where its log ends: by then a next life may have its own under the same name.
        let _ = std::fs::remove_file(&self.path);
        if let Some(file) = &self.operator {
            let _ = std::fs::remove_file(file);
        }
        if thread::panicking() {
            eprintln!("the gateway's log:\n{}", self.log());
        }
    }
}
