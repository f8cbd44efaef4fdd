//! Judges of what no rule of the platform counts in one place: what a cold member gets from all processes together,
//! what begins for a client that has left, whether a restarted fleet is ready in time, and who is served where idle
//! clients hold the descriptors. They are told what came at members, feed and clients, and ask nobody else.

use std::collections::HashMap;

/// What a cold member bears, by the site's settings.
#[derive(Clone, Copy, Debug)]
pub struct ColdMember {
    /// When its process started, ms.
    pub started: f64,
    /// Its link, in answers at full pace.
    pub weight: f64,
    /// Share of its capacity that it starts with, ms until it is warm, times its capacity that it bears, and the
    /// window, ms.
    pub from: f64,
    pub ramp: f64,
    pub multiple: f64,
    pub window: f64,
}

/// Calls that came to one cold member, whoever sent them, fills counted: when, and of what sending time, ms.
#[derive(Debug, Default)]
pub struct ColdCalls {
    came: Vec<(f64, f64)>,
}

/// A window in which more came than the member bears and chance explains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fall {
    pub end: f64,
    pub calls: f64,
    /// What the settings allow in it, in calls of mean work.
    pub budget: f64,
}

impl ColdCalls {
    pub fn came(&mut self, at: f64, work: f64) {
        self.came.push((at, work));
    }

    /// The work that came, ms of sending.
    pub fn work(&self) -> f64 {
        self.came.iter().map(|c| c.1).sum()
    }

    /// The first window that breaks it: beyond a budget of N calls only 2 x root of N + 2 are chance.
    pub fn fall(&self, member: ColdMember) -> Option<Fall> {
        let mean = self.work() / self.came.len().max(1) as f64;
        self.came.iter().enumerate().find_map(|(i, (end, _))| {
            let warm = ((end - member.started) / member.ramp).clamp(0.0, 1.0);
            let capacity = (member.from + (1.0 - member.from) * warm) * member.weight;
            let budget = member.multiple * capacity * member.window / mean;
            let calls = self.came[..=i].iter().filter(|c| c.0 > end - member.window).count() as f64;
            (calls > budget + 2.0 * budget.sqrt() + 2.0).then_some(Fall { end: *end, calls, budget })
        })
    }
}

/// Clients that left, by the name of their request, and attempts that began for them all the same.
#[derive(Debug, Default)]
pub struct Leavers {
    left: HashMap<String, f64>,
    late: Vec<(String, f64)>,
}

impl Leavers {
    /// Longest time from a client's end until an attempt for it may begin, ms.
    pub const GRACE: f64 = 100.0;
    /// Cases that are let pass.
    pub const PASSED: usize = 2;

    /// The client of a request closed or took it back.
    pub fn left(&mut self, request: &str, at: f64) {
        self.left.entry(request.to_string()).or_insert(at);
    }

    /// An attempt for a request came whole to a member.
    pub fn began(&mut self, request: &str, at: f64) {
        if let Some(late) = self.left.get(request).map(|left| at - left).filter(|late| *late > Self::GRACE) {
            self.late.push((request.to_string(), late));
        }
    }

    /// All that began late, by how many ms.
    pub fn late(&self) -> &[(String, f64)] {
        &self.late
    }

    /// Whether that breaks the rule.
    pub fn is_broken(&self) -> bool {
        self.late.len() > Self::PASSED
    }
}

/// Processes that were started together, and when each said that it is ready, ms.
#[derive(Debug, Default)]
pub struct Starts {
    took: Vec<Option<f64>>,
}

impl Starts {
    /// Longest time from its start until a process is ready, ms.
    pub const IN_TIME: f64 = 10_000.0;
    /// Share of the processes that must be ready by then.
    pub const SHARE: f64 = 0.9;

    /// A process was started, and was ready so many ms later; none: it never was.
    pub fn took(&mut self, ms: Option<f64>) {
        self.took.push(ms);
    }

    /// Whether enough of them were ready in time.
    pub fn hold(&self) -> bool {
        let ready = self.took.iter().flatten().filter(|ms| **ms <= Self::IN_TIME).count();
        !self.took.is_empty() && ready as f64 >= Self::SHARE * self.took.len() as f64
    }
}

/// Idle clients hold all descriptors while discovery is down: what becomes of honest newcomers, and of the watch once
/// discovery is back.
#[derive(Debug, Default)]
pub struct Filled {
    came: usize,
    answered: usize,
    back: Option<f64>,
    watched: Option<f64>,
}

impl Filled {
    /// Share of the newcomers that must be answered in their time.
    pub const SHARE: f64 = 0.9;
    /// Longest time from discovery's return until it is watched, ms: less than the time after which idle clients are
    /// closed for being idle, which would give back descriptors in any case.
    pub const WATCHED: f64 = 3000.0;

    /// An honest newcomer asked; whether it was answered in its time.
    pub fn newcomer(&mut self, answered: bool) {
        self.came += 1;
        self.answered += usize::from(answered);
    }

    /// Discovery is back.
    pub fn back(&mut self, at: f64) {
        self.back = Some(at);
    }

    /// The watch has subscribed.
    pub fn watched(&mut self, at: f64) {
        self.watched.get_or_insert(at);
    }

    /// Whether newcomers were served and discovery is watched.
    pub fn holds(&self) -> bool {
        let served = self.came > 0 && self.answered as f64 >= Self::SHARE * self.came as f64;
        served && self.back.zip(self.watched).is_some_and(|(back, at)| at - back <= Self::WATCHED)
    }
}
