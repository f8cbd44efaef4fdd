//! What must hold in every run, held against what passed; the first event that broke something is named with what led
//! to it.

use crate::Micros;
use crate::members::MemberNo;
use ahash::AHashMap;
use serde::Serialize;
use std::collections::VecDeque;
use std::fmt::Write;

/// A gateway in one of its lives, and a request there.
pub type Request = (u32, u32, u64);

/// Something that passed.
#[derive(Clone, Copy, Debug)]
pub enum Passed {
    /// A client asked.
    Asked { request: Request },
    /// It was answered.
    Answered { request: Request, word: &'static str },
    /// An attempt came to a member.
    Came { request: Request, attempt: u64, member: MemberNo },
    /// It was over there.
    Over { request: Request, attempt: u64, member: MemberNo },
    /// A request with an effect ran.
    Ran { write: u64 },
    /// A gateway was told that a member drains or has gone.
    Told { gateway: u32, member: MemberNo },
    /// A member crashed or started.
    Member { member: MemberNo, up: bool },
}

/// Breaches by rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Breaches {
    /// Requests without a final answer, or with two.
    pub unanswered: u64,
    pub double_answers: u64,
    /// Effects that came twice.
    pub double_effects: u64,
    /// Attempts of one request out together.
    pub double_attempts: u64,
    /// Asked of a member 500 ms after its drain or end was told.
    pub after_drain: u64,
    /// Cold caches that were pushed over.
    pub pushed_over: u64,
    /// Copies older than a purge, asked for 1 s after it was told.
    pub stale: u64,
    /// Answers after the deadline and the slack.
    pub late: u64,
    /// Requests or bytes that do not add up.
    pub sums: u64,
}

impl Breaches {
    /// All of them.
    pub fn all(&self) -> u64 {
        self.unanswered
            + self.double_answers
            + self.double_effects
            + self.double_attempts
            + self.after_drain
            + self.pushed_over
            + self.stale
            + self.late
            + self.sums
    }
}

/// How much of what passed is kept for a trace.
const TRACE: usize = 4096;
/// Lines of a trace that are shown.
const SHOWN: usize = 30;

/// The checks of a run.
#[derive(Debug, Default)]
pub struct Check {
    /// Attempts of a request that are out at members.
    out: AHashMap<Request, u32>,
    open: AHashMap<Request, Micros>,
    ran: AHashMap<u64, u32>,
    passed: VecDeque<(Micros, Passed)>,
    pub breaches: Breaches,
    /// The first breach in words, and what led to it.
    pub first: Option<String>,
    pub asked: u64,
    pub answered: u64,
    /// Requests of gateways that were killed with them.
    pub killed: u64,
}

impl Check {
    fn pass(&mut self, now: Micros, passed: Passed) {
        if self.passed.len() == TRACE {
            self.passed.pop_front();
        }
        self.passed.push_back((now, passed));
    }

    /// Something broke, as `what` says; `about` picks what belongs to it.
    pub fn broke(&mut self, now: Micros, what: &str, about: impl Fn(&Passed) -> bool) {
        if self.first.is_some() {
            return;
        }
        let mut text = format!("at {:.3} ms: {what}", now as f64 / 1000.0);
        let lines: Vec<_> = self.passed.iter().filter(|(_, p)| about(p)).collect();
        for (at, passed) in lines.iter().skip(lines.len().saturating_sub(SHOWN)) {
            let _ = write!(text, "\n  {:.3} {passed:?}", *at as f64 / 1000.0);
        }
        self.first = Some(text);
    }

    /// A client asked; it must be answered by `until`.
    pub fn asked(&mut self, now: Micros, request: Request, until: Micros) {
        self.asked += 1;
        self.pass(now, Passed::Asked { request });
        self.open.insert(request, until);
    }

    /// A gateway answered.
    pub fn answered(&mut self, now: Micros, request: Request, word: &'static str) {
        self.pass(now, Passed::Answered { request, word });
        match self.open.remove(&request) {
            Some(until) => {
                self.answered += 1;
                if now > until {
                    self.breaches.late += 1;
                    self.broke(now, "an answer after its deadline", of(request));
                }
            }
            None => {
                self.breaches.double_answers += 1;
                self.broke(now, "an answer to what was answered, or never asked", of(request));
            }
        }
    }

    /// A gateway was killed: what was open there is owed by nobody.
    pub fn killed(&mut self, gateway: u32, life: u32) {
        let before = self.open.len();
        self.open.retain(|(g, l, _), _| (*g, *l) != (gateway, life));
        self.killed += (before - self.open.len()) as u64;
    }

    /// An attempt came to a member.
    pub fn came(&mut self, now: Micros, request: Request, attempt: u64, member: MemberNo) {
        self.pass(now, Passed::Came { request, attempt, member });
        let out = self.out.entry(request).or_default();
        *out += 1;
        if *out > 1 {
            self.breaches.double_attempts += 1;
            self.broke(now, "two attempts of one request are out", of(request));
        }
    }

    /// It is over there.
    pub fn over(&mut self, now: Micros, request: Request, attempt: u64, member: MemberNo) {
        self.pass(now, Passed::Over { request, attempt, member });
        if let Some(out) = self.out.get_mut(&request) {
            *out -= 1;
            if *out == 0 {
                self.out.remove(&request);
            }
        }
    }

    /// A write ran.
    pub fn ran(&mut self, now: Micros, write: u64) {
        self.pass(now, Passed::Ran { write });
        let times = self.ran.entry(write).or_default();
        *times += 1;
        if *times == 2 {
            self.breaches.double_effects += 1;
            self.broke(now, "an effect came twice", |p| matches!(p, Passed::Ran { write: w } if *w == write));
        }
    }

    /// A member's news, for the trace.
    pub fn news(&mut self, now: Micros, passed: Passed) {
        self.pass(now, passed);
    }

    /// The run is over: what is still open past its time was never answered, and all adds up.
    pub fn end(&mut self, now: Micros) {
        let overdue = self.open.iter().filter(|(_, until)| **until < now).map(|(r, _)| *r).min();
        if let Some(request) = overdue {
            self.breaches.unanswered += self.open.values().filter(|until| **until < now).count() as u64;
            self.broke(now, "a request was never answered", of(request));
        }
        let counted = self.answered + self.killed + self.open.len() as u64 + self.breaches.double_answers;
        if counted < self.asked {
            self.breaches.sums += 1;
            let what = format!(
                "{} asked, {} answered, {} killed, {} open",
                self.asked,
                self.answered,
                self.killed,
                self.open.len()
            );
            self.broke(now, &what, |_| false);
        }
    }
}

fn of(request: Request) -> impl Fn(&Passed) -> bool {
    move |passed| match passed {
        Passed::Asked { request: r }
        | Passed::Answered { request: r, .. }
        | Passed::Came { request: r, .. }
        | Passed::Over { request: r, .. } => *r == request,
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_wrong_is_seen_and_the_first_is_told_with_its_trace() {
        let mut check = Check::default();
        let request = (1, 0, 7);
        check.asked(10, request, 1000);
        check.came(20, request, 1, 3);
        check.over(30, request, 1, 3);
        check.came(31, request, 2, 4);
        assert_eq!(check.breaches.all(), 0);
        check.came(32, request, 3, 5);
        check.answered(40, request, "served");
        check.answered(41, request, "served");
        check.ran(50, 9);
        check.ran(51, 9);
        check.asked(60, (1, 0, 8), 100);
        check.asked(60, (2, 0, 1), 100);
        check.killed(2, 0);
        check.end(5000);
        let b = check.breaches;
        assert_eq!((b.double_attempts, b.double_answers, b.double_effects, b.unanswered), (1, 1, 1, 1));
        let first = check.first.unwrap();
        assert!(
            first.starts_with("at 0.032 ms: two attempts") && first.matches("Came").count() == 3,
            "{first}"
        );
    }
}
