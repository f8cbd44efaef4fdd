//! A cooperative scheduler of background tasks, which run in the time that requests leave free.
//!
//! A task has a priority weight, a time slice and a maximum delay. In each turn the event loop calls
//! [`Scheduler::next`] for the task to run in the time that is left of the turn:
//!
//! 1. A task that has been ready for its maximum delay is overdue. Overdue tasks run first, in the order of their
//!    deadlines, even if no time is left.
//! 2. Otherwise the ready task with the lowest virtual runtime (run time divided by priority weight) runs,
//!    among those whose time slice fits.
//!
//! So no task starves, and in an event loop without time left each task runs for at most one slice per maximum delay.

use std::collections::BTreeMap;

/// Microseconds on any monotonic clock.
pub type Micros = u64;
/// Identifies a task.
pub type TaskId = u32;

/// How a task is scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskSettings {
    /// The task's share of the run time relative to other tasks; 0 counts as 1.
    pub priority_weight: u32,
    /// The longest time for which the task may run without a break.
    pub time_slice: Micros,
    /// How long the task may be ready before it becomes overdue.
    pub max_delay: Micros,
}

#[derive(Clone, Debug)]
struct Task {
    settings: TaskSettings,
    /// Since when the task has had work to do; `None`: it has none.
    ready_since: Option<Micros>,
    /// When the task's timer fires and makes it ready.
    wake_at: Option<Micros>,
    /// Run time divided by the priority weight.
    virtual_runtime: f64,
    statistics: TaskStatistics,
}

impl Task {
    fn is_timer_due(&self, now: Micros) -> bool {
        self.wake_at.is_some_and(|at| at <= now)
    }

    /// When the task becomes overdue; `None` if it isn't ready.
    fn deadline(&self) -> Option<Micros> {
        self.ready_since.map(|since| since + self.settings.max_delay)
    }

    fn is_overdue(&self, now: Micros) -> bool {
        self.ready_since.is_some_and(|since| now.saturating_sub(since) >= self.settings.max_delay)
    }
}

/// Statistics of a task's slices so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskStatistics {
    /// The number of slices.
    pub slices: u64,
    /// The longest time for which the task was ready before it ran.
    pub longest_delay: Micros,
}

/// The scheduler.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    tasks: BTreeMap<TaskId, Task>,
    last_id: TaskId,
    /// The lowest virtual runtime of the ready tasks; it never decreases. A task that becomes ready starts at
    /// least from here, so that it gets no credit for the time in which it had no work.
    min_virtual_runtime: f64,
    /// The number of ready tasks. This and the next two fields are computed from `tasks` whenever that
    /// changes, so that a turn without background work costs very little.
    ready_tasks: usize,
    /// When the first timer fires.
    first_timer: Option<Micros>,
    /// When the first timer fires or the first ready task becomes overdue.
    next_due: Option<Micros>,
}

impl Scheduler {
    /// Adds a task that has no work to do yet.
    pub fn add(&mut self, settings: TaskSettings) -> TaskId {
        self.last_id += 1;
        let priority_weight = settings.priority_weight.max(1);
        let task = Task {
            settings: TaskSettings { priority_weight, ..settings },
            ready_since: None,
            wake_at: None,
            virtual_runtime: self.min_virtual_runtime,
            statistics: TaskStatistics::default(),
        };
        self.tasks.insert(self.last_id, task);
        self.last_id
    }

    /// Removes a task.
    pub fn remove(&mut self, id: TaskId) {
        self.tasks.remove(&id);
        self.update_summary();
    }

    /// Marks a task as ready.
    pub fn wake(&mut self, now: Micros, id: TaskId) {
        if self.tasks.get(&id).is_some_and(|task| task.ready_since.is_none()) {
            self.set_ready(now, id);
            self.update_summary();
        }
    }

    /// Sets a task's timer, unless it fires earlier already.
    pub fn wake_at(&mut self, id: TaskId, at: Micros) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.wake_at = Some(task.wake_at.map_or(at, |earlier| earlier.min(at)));
            self.update_summary();
        }
    }

    /// The task to run now with its time slice, or `None`; `time_left`: the rest of the event loop's turn.
    pub fn next(&mut self, now: Micros, time_left: Micros) -> Option<(TaskId, Micros)> {
        self.fire_timers(now);
        if self.ready_tasks == 0 {
            return None;
        }
        let (id, task) = self.first_overdue(now).or_else(|| self.lowest_runtime(time_left))?;
        Some((id, task.settings.time_slice))
    }

    /// A task ran for `duration` until `now`; `is_ready`: it has more work to do.
    pub fn slice_ended(&mut self, now: Micros, id: TaskId, duration: Micros, is_ready: bool) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let began = now.saturating_sub(duration);
        let delay = began.saturating_sub(task.ready_since.unwrap_or(began));
        task.statistics.slices += 1;
        task.statistics.longest_delay = task.statistics.longest_delay.max(delay);
        task.virtual_runtime += duration.max(1) as f64 / f64::from(task.settings.priority_weight);
        task.ready_since = is_ready.then_some(now);
        let virtual_runtime = task.virtual_runtime;
        let lowest = self.ready().map(|(_, task)| task.virtual_runtime).min_by(f64::total_cmp);
        self.min_virtual_runtime = self.min_virtual_runtime.max(lowest.unwrap_or(virtual_runtime));
        self.update_summary();
    }

    /// Whether a task has work to do now.
    pub fn is_ready(&self) -> bool {
        self.ready_tasks > 0
    }

    /// The latest time for the next call of [`Scheduler::next`]: when the first timer fires or the first ready task
    /// becomes overdue.
    pub fn next_due(&self) -> Option<Micros> {
        self.next_due
    }

    /// The statistics of a task; zeros for an unknown task.
    pub fn statistics(&self, id: TaskId) -> TaskStatistics {
        self.tasks.get(&id).map_or(TaskStatistics::default(), |task| task.statistics)
    }

    /// Computes the fields that are derived from `tasks`.
    fn update_summary(&mut self) {
        self.ready_tasks = self.ready().count();
        self.first_timer = self.tasks.values().filter_map(|task| task.wake_at).min();
        let deadlines = self.tasks.values().filter_map(Task::deadline);
        self.next_due = deadlines.chain(self.first_timer).min();
    }

    fn set_ready(&mut self, now: Micros, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id)
            && task.ready_since.is_none()
        {
            task.ready_since = Some(now);
            task.wake_at = None;
            task.virtual_runtime = task.virtual_runtime.max(self.min_virtual_runtime);
        }
    }

    /// Marks the tasks whose timers are due as ready.
    fn fire_timers(&mut self, now: Micros) {
        if self.first_timer.is_none_or(|at| at > now) {
            return;
        }
        let due = self.tasks.iter().filter(|(_, task)| task.is_timer_due(now));
        let due: Vec<TaskId> = due.map(|(id, _)| *id).collect();
        for id in due {
            // Also reset the timer of a task that was already ready.
            if let Some(task) = self.tasks.get_mut(&id) {
                task.wake_at = None;
            }
            self.set_ready(now, id);
        }
        self.update_summary();
    }

    fn ready(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        self.tasks.iter().filter(|(_, task)| task.ready_since.is_some()).map(|(id, task)| (*id, task))
    }

    /// The overdue task with the earliest deadline.
    fn first_overdue(&self, now: Micros) -> Option<(TaskId, &Task)> {
        self.ready().filter(|(_, task)| task.is_overdue(now)).min_by_key(|(_, task)| task.deadline())
    }

    /// The ready task with the lowest virtual runtime whose time slice fits.
    fn lowest_runtime(&self, time_left: Micros) -> Option<(TaskId, &Task)> {
        self.ready()
            .filter(|(_, task)| task.settings.time_slice <= time_left)
            .min_by(|(_, a), (_, b)| a.virtual_runtime.total_cmp(&b.virtual_runtime))
    }
}
