//! A resettable timer of the event loop, which wakes the loop when the next deadline is due.

use crate::transport::clock;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Dispatcher, LoopHandle, RegistrationToken};

/// A timer that only wakes the loop; its owner checks which deadlines are due.
pub struct LoopTimer<D: 'static> {
    source: Dispatcher<'static, Timer, D>,
    token: RegistrationToken,
    /// The deadline that the timer is set to, Unix ms.
    deadline: f64,
}

impl<D: 'static> LoopTimer<D> {
    /// Registers a timer without a deadline.
    ///
    /// # Errors
    /// The error of the event loop if the timer cannot be registered.
    pub fn register(handle: &LoopHandle<'static, D>) -> calloop::Result<Self> {
        let idle = Timer::from_deadline(clock::instant(f64::MAX));
        let source =
            Dispatcher::new(idle, |_, (), _: &mut D| TimeoutAction::ToInstant(clock::instant(f64::MAX)));
        let token = handle.register_dispatcher(source.clone())?;
        Ok(LoopTimer { source, token, deadline: f64::MAX })
    }

    /// Sets the deadline, a Unix time in ms; one that has passed wakes the loop immediately.
    ///
    /// # Errors
    /// The error of the event loop if the timer cannot be updated.
    pub fn set(&mut self, handle: &LoopHandle<'static, D>, deadline: f64) -> calloop::Result<()> {
        if self.deadline == deadline && deadline > clock::now() {
            return Ok(());
        }
        self.deadline = deadline;
        self.source.as_source_mut().set_deadline(clock::instant(deadline));
        handle.update(&self.token)
    }
}
