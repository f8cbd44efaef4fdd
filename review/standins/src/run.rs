//! One run of a case: its clock, its record, its temporary folder, the gateway's process, and the end of it all.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970").as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: u64) {
    sleep(Duration::from_millis(ms));
}

/// The record of what was sent, answered and run: one line an entry, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Writes a line; returns its time.
    pub fn line(&self, text: impl AsRef<str>) -> f64 {
        let now = self.now();
        let mut file = self.file.lock().expect("no writer panicked");
        let _ = writeln!(file, "{now:10.1} {}", text.as_ref());
        now
    }
}

/// A loopback address that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("a bound socket has an address")
}

/// What the platform tells a gateway in its configuration.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub feed: SocketAddr,
    /// The services, as the settings list them (JSON).
    pub services: String,
    /// `familyInfo.goesThrough`, a list (JSON).
    pub goes_through: String,
    /// `familyInfo.maxAgeMs`, a list (JSON).
    pub max_age: String,
    /// The entries of the first event of the feed (JSON).
    pub members: Vec<String>,
    /// The gateway's place among all, and their number.
    pub position: (usize, usize),
    /// The text of its operator file, if it has one.
    pub operator: Option<String>,
}

impl Config {
    /// The first event of the feed: the complete list.
    pub fn first_event(&self) -> String {
        let members = self.members.join(",");
        format!(r#"{{"n":1,"members":{{"revision":1,"complete":true,"members":[{members}]}}}}"#)
    }

    /// The configuration file, in the form of DEPLOY.md, with the settings of a small tatra-branches.
    fn json(&self) -> String {
        let (listen, feed, first) = (self.listen, self.feed, self.first_event());
        let (services, goes_through, max_age) = (&self.services, &self.goes_through, &self.max_age);
        let (name, (position, count)) = (&self.name, self.position);
        format!(
            r#"{{"name":"{name}","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"feed":"{feed}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"n":1,"events":[{first}]}},
"settings":{{"services":[{services}],
"familyInfo":{{"maxAgeMs":{max_age},"usableAfterMs":[0,0,0],"agedWorth":[0.7,0.7,0.7],
"goesThrough":{goes_through},"shieldKind":1,"sourceKind":2,"bypassAllowed":true,"canJoin":true,
"sideways":"location","flowKbPerS":6200,"zoneBalancers":[0,{count}],"inletKbPerS":[0,46706],"obeyAfterMs":1000,
"clearedWithinMs":6000,"upperColdFrom":0.081,"upperColdMs":20000,"parentFallMultiple":2}},
"limits":{{"sendCap":6,"secondCopies":false,"cancel":true,"retryAfter":true,"maxRetryAfterMs":500,
"connIdleMs":15000,"connectTimeoutMs":400,"maxStreams":100,"maxOpen":20000,"probes":true}},
"rules":{{"coldFrom":0.17,"rampTimeMs":18000,"fallMultiple":2.5,"fallMs":1000,"drainGraceMs":500,
"answerSlackMs":8}},
"report":{{"fields":["busy_reqs","x1"],"via":"probe"}},"machineTypes":["box-a","parent","origin"],
"weightKind":"nominal","zones":["west","edge-1"],"locality":1,"groupSize":{count},"position":{position},
"discovery":"pushed"}}}}
"#
        )
    }
}

/// The entry of a member list (JSON), in the form of PROTOCOL.md.
pub fn entry(id: &str, at: SocketAddr, zone: &str, kind: &str, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{at}","locality":"{zone}","flavor":"{kind}","cell":0,"phase":"{phase}","size":4,"up_since_ms":0}}"#
    )
}

/// The gateway: a process of its own, started by the command `run` of the deploy file.
pub struct Gateway {
    child: Child,
    folder: PathBuf,
}

impl Gateway {
    /// Starts it from the repository's root and waits until it accepts connections.
    pub fn start(record: &Record, config: &Config, log: &Path) -> Result<Gateway, String> {
        let deploy =
            std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy file: {e}"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .ok_or("the deploy file has no run")?;
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), config.name));
        std::fs::create_dir_all(&folder).map_err(|e| format!("temporary folder: {e}"))?;
        let file = folder.join("config.json");
        std::fs::write(&file, config.json()).map_err(|e| format!("configuration: {e}"))?;
        let mut command = run.to_string();
        if let Some(text) = &config.operator {
            let operator = folder.join("operator.textproto");
            std::fs::write(&operator, text).map_err(|e| format!("operator file: {e}"))?;
            command += &format!(" run --operator {}", operator.display());
        }
        let log = File::create(log).map_err(|e| format!("log: {e}"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("GW_CONFIG", &file)
            .env("GW_LISTEN", config.listen.to_string())
            .env("GW_NAME", &config.name)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("gateway: {e}"))?;
        record.line(format!("gateway {} started: {command} (pid {})", config.name, child.id()));
        let mut gateway = Gateway { child, folder };
        for _ in 0..200 {
            if TcpStream::connect(config.listen).is_ok() {
                return Ok(gateway);
            }
            if let Ok(Some(status)) = gateway.child.try_wait() {
                return Err(format!("the gateway ended at its start: {status}"));
            }
            sleep_ms(50);
        }
        Err("the gateway does not listen".to_string())
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends it a signal, by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
