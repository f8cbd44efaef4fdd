//! One alarm in the event loop that can be set anew: it wakes the loop when the next timer is due.

use crate::transport::clock;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Dispatcher, LoopHandle, RegistrationToken};

/// The alarm. It only ends the loop's wait; whoever set it looks at what is due.
pub struct Alarm<D: 'static> {
    source: Dispatcher<'static, Timer, D>,
    token: RegistrationToken,
    at: f64,
}

impl<D: 'static> Alarm<D> {
    /// Registers an alarm that is not set.
    pub fn register(handle: &LoopHandle<'static, D>) -> calloop::Result<Self> {
        let idle = Timer::from_deadline(clock::instant(f64::MAX));
        let source =
            Dispatcher::new(idle, |_, _, _: &mut D| TimeoutAction::ToInstant(clock::instant(f64::MAX)));
        let token = handle.register_dispatcher(source.clone())?;
        Ok(Alarm { source, token, at: f64::MAX })
    }

    /// Sets it to a time on the Unix clock; one that has passed rings at once.
    pub fn set(&mut self, handle: &LoopHandle<'static, D>, at: f64) -> calloop::Result<()> {
        if self.at == at && at > clock::now() {
            return Ok(());
        }
        self.at = at;
        self.source.as_source_mut().set_deadline(clock::instant(at));
        handle.update(&self.token)
    }
}
