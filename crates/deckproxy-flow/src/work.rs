//! Background work in slices: which task runs next, and for how long, in the time that requests leave.
//!
//! A task has a weight, a slice and a patience. Each turn of the event loop asks what to run with the time that is
//! left in it. Tasks that waited for longer than their patience come first, the longest overdue one before the others,
//! and get a slice also where no time is left; of the others, the one that had least for its weight. So no task starves,
//! and a busy loop gives each at most one slice in its patience.

use std::collections::BTreeMap;

/// Microseconds on any clock.
pub type Micros = u64;
/// A task.
pub type TaskId = u32;

/// How a task is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its part of the time beside others, 1 or more.
    pub weight: u32,
    /// How long it may run at one time.
    pub slice: Micros,
    /// How long it may wait for that when it has something to do.
    pub patience: Micros,
}

#[derive(Clone, Debug)]
struct Task {
    kind: Kind,
    /// Since when it has something to do; none: nothing.
    ready: Option<Micros>,
    /// When it wants to be woken.
    wakes: Option<Micros>,
    /// What it had, by its weight.
    had: f64,
    ran: u64,
    /// The longest that it waited.
    waited: Micros,
}

/// What a task got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Slices.
    pub ran: u64,
    /// The longest that it waited for one.
    pub waited: Micros,
}

/// The scheduler.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    tasks: BTreeMap<TaskId, Task>,
    next: TaskId,
    /// What the ready task with least has had: one that comes back does not claim what it did not want.
    level: f64,
    /// Tasks that have something to do, when the first of the others wants to be woken, and when the first of all is
    /// overdue: kept so that a turn in which there is nothing to do costs next to nothing.
    ready: usize,
    wakes: Option<Micros>,
    due: Option<Micros>,
}

impl Scheduler {
    /// Adds a task, which has nothing to do yet.
    pub fn add(&mut self, kind: Kind) -> TaskId {
        self.next += 1;
        let kind = Kind { weight: kind.weight.max(1), ..kind };
        let task = Task { kind, ready: None, wakes: None, had: self.level, ran: 0, waited: 0 };
        self.tasks.insert(self.next, task);
        self.next
    }

    /// Takes a task out.
    pub fn remove(&mut self, id: TaskId) {
        self.tasks.remove(&id);
        self.keep();
    }

    /// Takes down anew what a turn looks at.
    fn keep(&mut self) {
        self.ready = self.tasks.values().filter(|t| t.ready.is_some()).count();
        self.wakes = self.tasks.values().filter_map(|t| t.wakes).min();
        let overdue = self.tasks.values().filter_map(|t| t.ready.map(|since| since + t.kind.patience));
        self.due = overdue.chain(self.wakes).min();
    }

    fn set_ready(&mut self, now: Micros, id: TaskId) {
        let level = self.level;
        if let Some(task) = self.tasks.get_mut(&id)
            && task.ready.is_none()
        {
            task.ready = Some(now);
            task.wakes = None;
            task.had = task.had.max(level);
        }
    }

    /// A task has something to do.
    pub fn wake(&mut self, now: Micros, id: TaskId) {
        if self.tasks.get(&id).is_some_and(|t| t.ready.is_none()) {
            self.set_ready(now, id);
            self.keep();
        }
    }

    /// A task will have something to do at that time.
    pub fn wake_at(&mut self, id: TaskId, at: Micros) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.wakes = Some(task.wakes.map_or(at, |old| old.min(at)));
            self.keep();
        }
    }

    /// The task to run now, and for how long at most; `left`: the time that the turn has.
    pub fn next(&mut self, now: Micros, left: Micros) -> Option<(TaskId, Micros)> {
        if self.wakes.is_some_and(|at| at <= now) {
            let due = self.tasks.iter().filter(|(_, t)| t.wakes.is_some_and(|at| at <= now));
            let due: Vec<TaskId> = due.map(|(id, _)| *id).collect();
            for id in due {
                // One that is ready already has what it wanted.
                self.tasks.get_mut(&id).into_iter().for_each(|t| t.wakes = None);
                self.set_ready(now, id);
            }
            self.keep();
        }
        if self.ready == 0 {
            return None;
        }
        let ready = || self.tasks.iter().filter_map(|(id, t)| t.ready.map(|since| (*id, t, since)));
        let overdue = ready().filter(|(_, t, since)| now.saturating_sub(*since) >= t.kind.patience);
        if let Some((id, task, _)) = overdue.min_by_key(|(_, t, since)| since + t.kind.patience) {
            return Some((id, task.kind.slice));
        }
        let (id, task, _) =
            ready().filter(|(_, t, _)| t.kind.slice <= left).min_by(|a, b| a.1.had.total_cmp(&b.1.had))?;
        Some((id, task.kind.slice))
    }

    /// A task ran for so long, and has more to do or not.
    pub fn ran(&mut self, now: Micros, id: TaskId, took: Micros, more: bool) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.ran += 1;
        let began = now.saturating_sub(took);
        task.waited = task.waited.max(began.saturating_sub(task.ready.unwrap_or(began)));
        task.had += took.max(1) as f64 / f64::from(task.kind.weight);
        task.ready = more.then_some(now);
        let had = task.had;
        let ready = self.tasks.values().filter(|t| t.ready.is_some()).map(|t| t.had);
        self.level = self.level.max(ready.min_by(f64::total_cmp).unwrap_or(had));
        self.keep();
    }

    /// Whether a task has something to do now.
    pub fn is_ready(&self) -> bool {
        self.ready > 0
    }

    /// When something is to be run at the latest, whatever else there is to do.
    pub fn next_due(&self) -> Option<Micros> {
        self.due
    }

    /// What a task got so far.
    pub fn served(&self, id: TaskId) -> Served {
        self.tasks.get(&id).map_or(Served::default(), |t| Served { ran: t.ran, waited: t.waited })
    }
}
