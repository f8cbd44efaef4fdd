//! The process's CPU, memory and descriptor usage, as reported by the kernel.

use std::fs;

/// Resource usage of the process; 0 for values that the kernel does not report.
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
    /// Reads the current usage.
    pub fn now() -> Self {
        let number_at = |path: &str, position: usize| -> u64 {
            let text = fs::read_to_string(path).unwrap_or_default();
            text.split_whitespace().nth(position).and_then(|n| n.parse().ok()).unwrap_or(0)
        };
        Usage {
            cpu: number_at("/proc/self/schedstat", 0) / 1_000_000,
            memory: number_at("/proc/self/statm", 1) * 4,
            descriptors: fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count().saturating_sub(1)),
        }
    }
}
