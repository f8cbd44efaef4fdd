//! What the process uses, as the kernel tells it.

use std::fs;

/// CPU time in ms, memory in KB, open descriptors; 0 where the kernel does not tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time used by the main thread, ms.
    pub cpu: u64,
    /// Resident memory, KB.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads it.
    pub fn now() -> Self {
        let first = |path: &str, at: usize| -> u64 {
            let text = fs::read_to_string(path).unwrap_or_default();
            text.split_whitespace().nth(at).and_then(|n| n.parse().ok()).unwrap_or(0)
        };
        Usage {
            cpu: first("/proc/self/schedstat", 0) / 1_000_000,
            memory: first("/proc/self/statm", 1) * 4,
            descriptors: fs::read_dir("/proc/self/fd").map_or(0, |all| all.count().saturating_sub(1)),
        }
    }
}
