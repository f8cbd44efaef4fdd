//! Runs independent instances of the decision module.

use crate::wire::{Batch, RecordError, Reply, WireError, WireEvent};
use deckproxy_control::Control;
use deckproxy_control::interface::{Action, Event, LoadReport};
use deckproxy_settings::{self as settings, InstanceSettings};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// One instance of the decision module.
struct Instance {
    control: Control,
    /// Names of a load report's values, in order.
    report_fields: Vec<String>,
}

impl Instance {
    fn load_report(&self, values: &[f32]) -> Option<LoadReport> {
        let names = self.report_fields.iter().map(String::as_str);
        settings::read_load_report(names.zip(values.iter().map(|value| f64::from(*value))))
    }
}

/// All instances of one process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
}

impl Host {
    /// Passes the events of a batch to their instances and returns the reply frame. An error aborts the batch; a panic
    /// of the decision module is reported in the reply.
    ///
    /// # Errors
    /// [`WireError`] if a record of the batch cannot be decoded or its settings are invalid.
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, WireError> {
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for record in 0..batch.len() {
            let (instance, event) = batch.event(record)?;
            let step = || self.step(batch.now, instance, event, &mut actions);
            match catch_unwind(AssertUnwindSafe(step)) {
                Ok(Ok(())) => {
                    for action in &actions {
                        reply.push(instance, action);
                    }
                }
                Ok(Err(error)) => return Err(WireError::Record { batch: batch.number, record, error }),
                Err(payload) => reply.push_panic(instance, &panic_message(payload.as_ref())),
            }
            actions.clear();
        }
        Ok(reply.frame(batch.number))
    }

    /// Processes one event. An event for an instance that was never started, or was destroyed, has no effect.
    fn step(
        &mut self,
        now: f64,
        id: u16,
        event: WireEvent,
        actions: &mut Vec<Action>,
    ) -> Result<(), RecordError> {
        let event = match event {
            WireEvent::Start { seed, settings } => {
                self.start(id, seed, settings::read(&settings).map_err(RecordError::Settings)?);
                Event::Started
            }
            WireEvent::Destroy => {
                self.instances.remove(&id);
                return Ok(());
            }
            WireEvent::MemberList(kind, list) => Event::MemberList(kind, list),
            WireEvent::Request(request) => Event::Request(request),
            WireEvent::StreamStarted { request, attempt } => Event::StreamStarted { request, attempt },
            WireEvent::AttemptEnded { request, attempt, member, ending, elapsed, finished, note, load } => {
                let load = self.load_report(id, &load);
                Event::AttemptEnded { request, attempt, member, ending, elapsed, finished, note, load }
            }
            WireEvent::ClientGone(request) => Event::ClientGone(request),
            WireEvent::Timer(token) => Event::Timer(token),
            WireEvent::HealthChecked { member, ok, load } => {
                Event::HealthChecked { member, ok, load: self.load_report(id, &load) }
            }
            WireEvent::PeerMessage(from, message) => Event::PeerMessage(from, message),
            WireEvent::Purged { object, group, age } => Event::Purged { object, group, age },
        };
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.control.handle(now, event, actions);
        }
        Ok(())
    }

    fn start(&mut self, id: u16, seed: u64, settings: InstanceSettings) {
        let control = Control::new(settings.settings, seed);
        self.instances.insert(id, Instance { control, report_fields: settings.report_fields });
    }

    fn load_report(&self, id: u16, values: &[f32]) -> Option<LoadReport> {
        self.instances.get(&id)?.load_report(values)
    }
}

/// The message of a panic, or a fixed text if its payload is not a string.
fn panic_message(payload: &(dyn Any + Send)) -> String {
    if let Some(message) = payload.downcast_ref::<String>() {
        return message.clone();
    }
    let message = payload.downcast_ref::<&str>().copied();
    message.unwrap_or("the decision module failed").to_string()
}
