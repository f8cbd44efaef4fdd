//! The process of a gateway: how it is started, signalled and measured.

mod program;
#[cfg(test)]
mod tests;
mod usage;

pub use program::Program;
pub use usage::Usage;

use crate::client::Client;
use crate::wait::{next_number, until};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

/// Bytes of the log that are read at a time.
const READ_CHUNK: usize = 4096;

/// The process of a gateway. It is killed when this is dropped, and its files are removed.
pub struct Gateway {
    /// The process.
    pub child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its configuration file.
    pub path: PathBuf,
    /// Its operator file.
    operator: Option<PathBuf>,
    /// What it has logged so far.
    log: Arc<Mutex<String>>,
    /// The reading end of its log is to be closed.
    log_closed: Arc<AtomicBool>,
    /// Copies the log; ends with it.
    log_reader: JoinHandle<()>,
}

/// How it is started. None of these waits until it is ready; all panic if the process can't be started.
impl Gateway {
    /// Starts it with a configuration.
    pub fn spawn(config: &str, address: SocketAddr) -> Self {
        Self::spawn_limited(config, address, "true")
    }

    /// Starts it after a shell command that sets its limits.
    ///
    /// # Panics
    /// Panics if the configuration cannot be written or the process cannot be started.
    pub fn spawn_limited(config: &str, address: SocketAddr, limit: &str) -> Self {
        let name = format!("deckproxy-test-{}-{}.json", std::process::id(), next_number());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config).unwrap();
        Self::spawn_with(&path, address, limit, &[])
    }

    /// Starts it with the text of an operator file, which [`Gateway::reload_operator`] changes.
    ///
    /// # Panics
    /// Panics if one of the files cannot be written or the process cannot be started.
    pub fn spawn_with_operator(config: &str, address: SocketAddr, limit: &str, operator: &str) -> Self {
        let name = format!("deckproxy-test-{}-{}", std::process::id(), next_number());
        let path = std::env::temp_dir().join(format!("{name}.json"));
        let file = std::env::temp_dir().join(format!("{name}.textproto"));
        std::fs::write(&path, config).unwrap();
        std::fs::write(&file, operator).unwrap();
        let arguments = ["run".to_string(), "--operator".to_string(), file.display().to_string()];
        let mut gateway = Self::spawn_with(&path, address, limit, &arguments);
        gateway.operator = Some(file);
        gateway
    }

    /// Starts it with a configuration file and arguments, after a shell command that sets its limits.
    pub fn spawn_with(path: &Path, address: SocketAddr, limit: &str, arguments: &[String]) -> Self {
        Self::spawn_program(&Program::default(), path, address, limit, arguments)
    }

    /// Like [`Gateway::spawn_with`], with another program.
    ///
    /// # Panics
    /// Panics if the process cannot be started.
    pub fn spawn_program(
        program: &Program,
        path: &Path,
        address: SocketAddr,
        limit: &str,
        arguments: &[String],
    ) -> Self {
        let command = format!("{limit} && exec \"$0\" \"$@\"");
        let mut child = Command::new("sh")
            .args(["-c", &command])
            .arg(&program.path)
            .args(&program.arguments)
            .args(arguments)
            .env("GW_CONFIG", path)
            .env("GW_LISTEN", address.to_string())
            .env("GW_NAME", "n1")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = child.stderr.take().unwrap();
        let log: Arc<Mutex<String>> = Arc::default();
        let log_closed = Arc::new(AtomicBool::new(false));
        let (copy, closed) = (log.clone(), log_closed.clone());
        let log_reader = thread::spawn(move || read_log(stderr, &copy, &closed));
        Gateway { child, address, path: path.to_path_buf(), operator: None, log, log_closed, log_reader }
    }
}

/// Its log, files and signals.
impl Gateway {
    /// A new connection to it.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Closes the reading end of its log once the next line has come.
    pub fn stop_reading_log(&self) {
        self.log_closed.store(true, Ordering::SeqCst);
    }

    /// Its log so far.
    ///
    /// # Panics
    /// Panics if a thread panicked while it held the lock.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Its operator file.
    ///
    /// # Panics
    /// If it was started without one.
    pub fn operator_file(&self) -> &Path {
        self.operator.as_deref().expect("it was started with an operator file")
    }

    /// Replaces its operator file and has it reload.
    ///
    /// # Panics
    /// If it was started without one.
    pub fn reload_operator(&self, text: &str) {
        std::fs::write(self.operator_file(), text).unwrap();
        self.signal("HUP");
    }

    /// Replaces its configuration file, or removes it for `None`, and has it reload.
    ///
    /// # Panics
    /// Panics if the file cannot be written or removed, or the signal cannot be sent.
    pub fn reload(&self, config: Option<&str>) {
        match config {
            Some(text) => std::fs::write(&self.path, text).unwrap(),
            None => std::fs::remove_file(&self.path).unwrap(),
        }
        self.signal("HUP");
    }

    /// Sends a signal by name (`TERM`, `HUP`, ...).
    ///
    /// # Panics
    /// If it can't be sent.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Waits until the process has ended by itself and its log is complete, and returns its exit code.
    ///
    /// # Panics
    /// If it doesn't end in time.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut status = None;
        until("the process ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        self.wait_for_log_end();
        status.and_then(|status| status.code())
    }

    /// Kills the process (SIGKILL), and waits until it has ended and its log is complete.
    ///
    /// # Panics
    /// If the system refuses the signal, or the log doesn't end in time.
    pub fn kill(&mut self) {
        self.child.kill().expect("a process of our own");
        self.child.wait().expect("a process of our own");
        self.wait_for_log_end();
    }

    /// Waits until everything that the ended process wrote is in its log.
    fn wait_for_log_end(&self) {
        until("the log ends", || self.log_reader.is_finished());
    }

    /// Pauses the process (SIGSTOP) and waits until it is paused; what is sent to it meanwhile stays in the kernel.
    pub fn pause(&self) {
        self.signal("STOP");
        until("the process is paused", || self.state() == 'T');
    }

    /// Resumes the paused process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Connects silent clients all at once until they use all of its descriptors, of which it has so many. As none of
    /// them is overdue with its first message at that moment, none can be evicted.
    ///
    /// # Panics
    /// Panics if a client cannot connect, or if the descriptors are not used up in time.
    pub fn fill_descriptors(&self, descriptors: usize) -> Vec<TcpStream> {
        self.pause();
        let silent = (0..descriptors).map(|_| TcpStream::connect(self.address).unwrap()).collect();
        self.resume();
        until("no descriptor is left", || self.usage().descriptors >= descriptors);
        silent
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // Not when its log ends: by then its successor may have files of the same names.
        let _ = std::fs::remove_file(&self.path);
        if let Some(file) = &self.operator {
            let _ = std::fs::remove_file(file);
        }
        if thread::panicking() {
            eprintln!("the gateway's log:\n{}", self.log());
        }
    }
}

/// Copies the log until it ends, or its reading end is to be closed.
fn read_log(mut stderr: ChildStderr, log: &Mutex<String>, closed: &AtomicBool) {
    let mut chunk = [0; READ_CHUNK];
    while let (false, Ok(length @ 1..)) = (closed.load(Ordering::SeqCst), stderr.read(&mut chunk)) {
        log.lock().unwrap().push_str(&String::from_utf8_lossy(&chunk[..length]));
    }
}
