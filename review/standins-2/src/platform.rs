//! The platform: starts gateways by the deploy file, and sends them signals.

use crate::client::Client;
use crate::record::Record;
use crate::sys::send_signal;
use crate::{lock, now_ms, sleep_ms};
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

/// A signal.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Kill = 9,
    Term = 15,
}

/// Sends a signal to a process that this one started.
pub fn signal_process(process: u32, signal: Signal) {
    send_signal(process, signal as i32);
}

/// Sends a signal to a child of this process.
pub fn signal(child: &Child, signal: Signal) {
    send_signal(child.id(), signal as i32);
}

/// The processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    for process in lock(&STARTED).drain(..) {
        send_signal(process, Signal::Kill as i32);
    }
}

fn end(child: &mut Child) {
    lock(&STARTED).retain(|process| *process != child.id());
    let _ = child.kill();
    let _ = child.wait();
}

/// A free address on the loopback interface.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The command of the deploy file with this name.
pub fn deploy_command(root: &Path, name: &str) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} = \"")));
    let command = line.and_then(|rest| rest.split_once('"')).map(|(command, _)| command.to_string());
    command.ok_or_else(|| io::Error::other(format!("deploy/balancer.toml has no {name}")))
}

/// A private temporary folder, removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates the folder.
    pub fn create() -> io::Result<Folder> {
        let path =
            std::env::temp_dir().join(format!("deckproxy-review-{}-{:.0}", std::process::id(), now_ms()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A program of the project that stands in for another one.
pub struct Program {
    child: Child,
}

impl Drop for Program {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}

/// Starts a program by a shell command from the repository's root.
pub fn start_program(root: &Path, command: &str, log: &Path, record: &Record) -> io::Result<Program> {
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new("/bin/sh")
        .arg("-c")
        .arg(command)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    lock(&STARTED).push(child.id());
    record.line(&format!("start process {}: {command}", child.id()));
    Ok(Program { child })
}

/// A gateway's process.
pub struct Gateway {
    child: Child,
    pub name: String,
    pub listen: SocketAddr,
    record: Record,
}

/// What a gateway is started with.
#[derive(Clone)]
pub struct Setup {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub feed: SocketAddr,
    /// The JSON of `settings`.
    pub settings: String,
    /// The JSON of `known`.
    pub known: String,
    /// The limits on memory, in MB, and on descriptors.
    pub memory_mb: u32,
    pub sockets: u32,
    /// The text of the operator file, if there is one.
    pub operator: Option<String>,
}

impl Setup {
    fn file(&self, suffix: &str) -> PathBuf {
        self.folder.join(format!("{}{suffix}", self.name))
    }

    /// Writes the configuration and the operator file.
    pub fn write(&self) -> io::Result<()> {
        let seed = (now_ms() * 1000.0) as u64;
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"feed\":\"{}\",\
             \"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":{},\"settings\":{}}}",
            self.name, self.listen, self.memory_mb, self.sockets, self.feed, self.known, self.settings
        );
        // Replaced whole, as a platform does.
        fs::write(self.file(".new"), config)?;
        fs::rename(self.file(".new"), self.file(".json"))?;
        if let Some(operator) = &self.operator {
            fs::write(self.file(".textproto"), operator)?;
        }
        Ok(())
    }

    /// Starts the gateway by `run` of the deploy file, with the operator file if there is one.
    pub fn start(&self, record: &Record) -> io::Result<Gateway> {
        self.write()?;
        let mut command = deploy_command(&self.root, "run")?;
        if self.operator.is_some() {
            command = format!("{command} run --operator '{}'", self.file(".textproto").display());
        }
        let log = File::options().create(true).append(true).open(self.file(".log"))?;
        let temporary = self.file(".tmp");
        fs::create_dir_all(&temporary)?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .current_dir(&self.root)
            .env("GW_NAME", &self.name)
            .env("GW_LISTEN", self.listen.to_string())
            .env("GW_CONFIG", self.file(".json"))
            .env("TMPDIR", temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        lock(&STARTED).push(child.id());
        record.line(&format!("start {} (process {}): {command}", self.name, child.id()));
        Ok(Gateway { child, name: self.name.clone(), listen: self.listen, record: record.clone() })
    }

    /// The log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.file(".log")).unwrap_or_default()
    }
}

impl Gateway {
    /// Waits until it answers `ping` with true; an error after 15 s.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = now_ms() + 15_000.0;
        while now_ms() < until {
            if Client::is_ready(self.listen, &self.record) {
                return Ok(());
            }
            sleep_ms(20.0);
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }

    /// Sends a signal.
    pub fn signal(&self, which: Signal) {
        self.record.line(&format!("signal {which:?} to {}", self.name));
        signal(&self.child, which);
    }

    /// Waits for its end, for so many ms at most; whether it has ended.
    pub fn wait_end(&mut self, ms: f64) -> bool {
        let until = now_ms() + ms;
        while now_ms() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            sleep_ms(10.0);
        }
        false
    }

    /// Its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Whether it is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        end(&mut self.child);
    }
}
