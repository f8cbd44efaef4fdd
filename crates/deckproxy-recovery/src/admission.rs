//! All of it together, before the decision module.

use crate::budget::{self, Budget};
use crate::class_shedding::{self, ClassShedding, Step};
use crate::retries::RetryTracker;
use crate::retry_after::RetryAfterSchedule;
use crate::retry_storm::{self, RetryStorm};
use crate::{ClassNo, Millis};

/// A class, as far as this goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Its place among all by worth, from 0 to 1.
    pub worth: f64,
    /// Whether it may be refused: a new try does no harm.
    pub refusable: bool,
    /// Time left under which it is not worth beginning in a storm.
    pub least: Millis,
}

/// How a door is set. Each part can be left out, so that it can be tried without.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, by their places.
    pub classes: Vec<Class>,
    /// Budgets of repeats, one a class.
    pub budget: Option<budget::Limits>,
    /// Storms.
    pub storm: Option<retry_storm::Limits>,
    /// Clients that come before they were asked to are refused for the rest of the time.
    pub holds_hasty: bool,
    /// Clients are asked back in turns; else after `least_back`.
    pub spreads: bool,
    /// What is given up, in order.
    pub steps: Vec<Step>,
    /// How long the pressure must last for a step.
    pub times: class_shedding::Times,
    /// Shortest and longest time after which a client is asked back.
    pub least_back: Millis,
    /// See `least_back`.
    pub most_back: Millis,
    /// Requests turned away that are remembered, and for how long at least.
    pub remembered: usize,
    /// See `remembered`.
    pub span: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            budget: Some(budget::Limits::default()),
            storm: Some(retry_storm::Limits::default()),
            holds_hasty: true,
            spreads: true,
            steps: Vec::new(),
            times: class_shedding::Times::default(),
            least_back: 50.0,
            most_back: 500.0,
            remembered: 65_536,
            span: 5000.0,
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It goes to the module.
    Pass,
    /// It is refused at once, and asked back after so many milliseconds.
    Refuse(Millis),
}

/// How a request that passed ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Turned away by the module.
    Rejected,
    /// Failed.
    Failed,
    /// Its client left first.
    ClientGone,
}

/// Why requests were refused here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// First tries and repeats that came, and those that passed.
    pub firsts: u64,
    /// See `firsts`.
    pub repeats: u64,
    /// See `firsts`.
    pub passed_firsts: u64,
    /// See `firsts`.
    pub passed_repeats: u64,
    /// Came before they were asked to; no budget was left; the cap of a storm; too little time left in one; given up.
    pub hasty: u64,
    /// See `hasty`.
    pub no_budget: u64,
    /// See `hasty`.
    pub capped: u64,
    /// See `hasty`.
    pub aged: u64,
    /// See `hasty`.
    pub given_up: u64,
}

/// The door of one gateway.
#[derive(Debug)]
pub struct Admission {
    set: Settings,
    repeats: RetryTracker,
    budgets: Vec<Budget>,
    storm: Option<RetryStorm>,
    brownout: ClassShedding,
    returns: RetryAfterSchedule,
    /// Counts.
    pub counters: Counters,
}

impl Admission {
    /// An open one.
    pub fn new(set: Settings, seed: u64) -> Self {
        Admission {
            repeats: RetryTracker::new(set.remembered, set.span, seed),
            budgets: set.budget.iter().flat_map(|b| set.classes.iter().map(|_| Budget::new(*b))).collect(),
            storm: set.storm.map(RetryStorm::new),
            brownout: ClassShedding::new(set.steps.clone(), set.times),
            returns: RetryAfterSchedule::new(!seed),
            counters: Counters::default(),
            set,
        }
    }

    /// Whether a storm is on, and how many requests a second it lets in.
    pub fn cap(&self) -> Option<f64> {
        self.storm.as_ref().and_then(RetryStorm::cap)
    }

    /// Storms so far, steps of the brown-out that are taken, requests remembered, and clients asked back where there was
    /// no room for them.
    pub fn sizes(&self) -> [u64; 4] {
        let storms = self.storm.as_ref().map_or(0, |s| s.storms);
        [storms, self.brownout.level() as u64, self.repeats.len() as u64, self.returns.crowded]
    }

    /// A request of a client came, and has so long to go.
    pub fn request(
        &mut self,
        now: Millis,
        client: u64,
        class: ClassNo,
        object: u64,
        left: Millis,
    ) -> Verdict {
        let Some(kind) = self.set.classes.get(class).copied() else { return Verdict::Pass };
        let turned = self.repeats.get(now, client, object);
        if let Some(storm) = &mut self.storm {
            storm.count(now, |c| match turned {
                Some(_) => c.repeats += 1,
                None => c.firsts += 1,
            });
            let (sum, _) = storm.lately();
            let ended = sum.served + sum.refused + sum.wasted + sum.capped;
            let pressure = if ended < 20 { 0.0 } else { 1.0 - sum.served as f64 / ended as f64 };
            self.brownout.pressure(now, pressure);
        }
        match turned {
            Some(_) => self.counters.repeats += 1,
            None => self.counters.firsts += 1,
        }
        if !kind.refusable {
            return self.pass(now, class, turned.is_some());
        }
        if let Some(turned) = turned
            && self.set.holds_hasty
            // A clock that was set back holds nobody for longer than they were told.
            && (1.0..=self.set.most_back).contains(&(turned.back - now))
        {
            // It gains nothing by it, and loses nothing: its time to come back stays as it was.
            self.counters.hasty += 1;
            return Verdict::Refuse(turned.back - now);
        }
        if self.brownout.gives_up(class) {
            self.counters.given_up += 1;
            return self.refuse(now, client, object, self.set.most_back);
        }
        let in_storm = self.cap().is_some();
        if in_storm && left < kind.least {
            self.counters.aged += 1;
            return self.refuse(now, client, object, self.set.least_back);
        }
        if turned.is_some() && self.budgets.get_mut(class).is_some_and(|b| !b.spend()) {
            self.counters.no_budget += 1;
            return self.refuse(now, client, object, self.set.least_back);
        }
        if let Some(storm) = &mut self.storm
            && !storm.admits(now, kind.worth)
        {
            storm.count(now, |c| c.capped += 1);
            self.counters.capped += 1;
            if turned.is_some() {
                self.budgets.get_mut(class).into_iter().for_each(Budget::give_back);
            }
            return self.refuse(now, client, object, self.set.least_back);
        }
        self.pass(now, class, turned.is_some())
    }

    fn pass(&mut self, now: Millis, class: ClassNo, repeat: bool) -> Verdict {
        if let Some(storm) = &mut self.storm {
            storm.count(now, |c| c.passed += 1);
        }
        if repeat {
            self.counters.passed_repeats += 1;
        } else {
            self.counters.passed_firsts += 1;
            self.budgets.get_mut(class).into_iter().for_each(Budget::earn);
        }
        Verdict::Pass
    }

    fn refuse(&mut self, now: Millis, client: u64, object: u64, least: Millis) -> Verdict {
        let back = self.back(now, least);
        self.repeats.turned(now, client, object, now + back);
        Verdict::Refuse(back)
    }

    /// When a client that is refused now is asked back.
    fn back(&mut self, now: Millis, least: Millis) -> Millis {
        if !self.set.spreads {
            return least.min(self.set.most_back);
        }
        // What comes back finds room beside the first tries; a quarter of what is served is kept for it.
        let pace = self.storm.as_ref().map_or(0.0, RetryStorm::pace);
        self.returns.back(now, least, self.set.most_back, (pace * 0.25).max(1.0))
    }

    /// A request that passed has ended. `back`: when the module asks the client back, 0 where it does not say. Gives
    /// when it is to be asked back.
    pub fn ended(
        &mut self,
        now: Millis,
        client: u64,
        object: u64,
        ended: RequestOutcome,
        back: Millis,
    ) -> Millis {
        if let Some(storm) = &mut self.storm {
            storm.count(now, |c| match ended {
                RequestOutcome::Served => c.served += 1,
                RequestOutcome::Rejected => c.refused += 1,
                RequestOutcome::Failed | RequestOutcome::ClientGone => c.wasted += 1,
            });
        }
        match ended {
            RequestOutcome::Served => self.repeats.served(client, object),
            RequestOutcome::Rejected => {
                let least = back.max(self.set.least_back);
                let back = self.back(now, least);
                self.repeats.turned(now, client, object, now + back);
                return back;
            }
            // Nobody asked it back: when it comes it is a repeat, and not hasty.
            RequestOutcome::Failed | RequestOutcome::ClientGone => {
                self.repeats.turned(now, client, object, now)
            }
        }
        back
    }
}
