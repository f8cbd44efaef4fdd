//! What a gateway's process uses, by /proc.

use super::Gateway;

/// What a process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The greatest resident memory so far, KB.
    pub peak_memory_kb: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// What it uses, by /proc.
impl Gateway {
    /// CPU time of its event loop, ms.
    pub fn cpu_ms(&self) -> u64 {
        self.cpu_ns() / 1_000_000
    }

    /// CPU time of its event loop, ns.
    ///
    /// # Panics
    /// Panics if the process has ended or the kernel's figures cannot be read.
    pub fn cpu_ns(&self) -> u64 {
        let text = self.proc_file("schedstat");
        text.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Its memory and descriptors.
    ///
    /// # Panics
    /// Panics if the process has ended or the kernel's figures cannot be read.
    pub fn usage(&self) -> Usage {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count();
        Usage { peak_memory_kb: self.memory_kb("VmHWM"), descriptors }
    }

    /// The greatest resident memory so far without the pages of the program itself, KB: a test build has twice as many
    /// of those as the deployed one.
    pub fn own_memory_kb(&self) -> u64 {
        self.memory_kb("VmHWM") - self.memory_kb("RssFile")
    }

    /// A line of /proc/PID/status, KB.
    fn memory_kb(&self, name: &str) -> u64 {
        let status = self.proc_file("status");
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// The state's letter in /proc/PID/stat.
    pub(super) fn state(&self) -> char {
        let stat = self.proc_file("stat");
        stat.rsplit(") ").next().and_then(|rest| rest.chars().next()).unwrap()
    }

    /// A file of the process in /proc.
    fn proc_file(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap()
    }
}
