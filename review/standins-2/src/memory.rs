//! The platform's limit on memory: a gateway that goes over it is killed.

use crate::platform::{Gateway, Signal};
use crate::record::Record;
use crate::{lock, sleep_ms};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// Time between two looks at a process.
const LOOK_MS: f64 = 3.0;
const BYTES_PER_KB: u64 = 1024;

/// The anonymous memory of a process in bytes: what it has allocated and touched, without its program file, shared
/// libraries and socket buffers.
fn anonymous_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.split_whitespace().next()?.parse::<u64>().ok().map(|kb| kb * BYTES_PER_KB)
}

/// What was seen of one gateway's memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    pub looks: u64,
    pub peak_bytes: u64,
    pub killed: bool,
}

/// Watches one gateway, and kills it once it is over its limit.
pub struct MemoryLimit {
    seen: Arc<Mutex<Seen>>,
    done: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryLimit {
    /// Begins to watch a gateway; `limit_mb` as in its configuration.
    pub fn watch(gateway: &Gateway, limit_mb: u32, record: &Record) -> MemoryLimit {
        let (seen, done) = (Arc::new(Mutex::new(Seen::default())), Arc::new(AtomicBool::new(false)));
        let (process, name) = (gateway.process(), gateway.name.clone());
        let limit = u64::from(limit_mb) * BYTES_PER_KB * BYTES_PER_KB;
        let (own, stop, record) = (Arc::clone(&seen), Arc::clone(&done), record.clone());
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Some(bytes) = anonymous_bytes(process) else { return };
                let mut seen = lock(&own);
                seen.looks += 1;
                if bytes > seen.peak_bytes {
                    seen.peak_bytes = bytes;
                    record.line(&format!("{name}: {} KB of anonymous memory", bytes / BYTES_PER_KB));
                }
                if bytes > limit {
                    seen.killed = true;
                    record.line(&format!("{name} is over its limit of {limit_mb} MB, and is killed"));
                    crate::platform::signal_process(process, Signal::Kill);
                    return;
                }
                drop(seen);
                sleep_ms(LOOK_MS);
            }
        });
        MemoryLimit { seen, done, thread: Some(thread) }
    }

    /// What was seen so far.
    pub fn seen(&self) -> Seen {
        *lock(&self.seen)
    }
}

impl Drop for MemoryLimit {
    fn drop(&mut self) {
        self.done.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
