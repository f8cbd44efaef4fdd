//! Hosts the instances of the decision module, fully separate from each other.

use crate::wire::{Batch, Reply, WireError, WireEvent};
use deckproxy_control::Control;
use deckproxy_control::interface::{Action, Event, LoadReport};
use deckproxy_settings as settings;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

struct Instance {
    control: Control,
    report: Vec<String>,
}

impl Instance {
    fn load(&self, values: &[f32]) -> Option<LoadReport> {
        settings::read_load_report(
            self.report.iter().map(String::as_str).zip(values.iter().map(|v| f64::from(*v))),
        )
    }
}

/// All instances of one process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
}

impl Host {
    /// Hands a batch to its instances and returns the frame that answers it.
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, WireError> {
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for at in 0..batch.len() {
            let (instance, event) = batch.event(at)?;
            let done = catch_unwind(AssertUnwindSafe(|| self.step(batch.now, instance, event, &mut actions)));
            match done {
                Ok(Ok(())) => actions.iter().for_each(|a| reply.push(instance, a)),
                Ok(Err(text)) => {
                    return Err(WireError::Malformed(format!("batch {}, record {at}: {text}", batch.number)));
                }
                Err(cause) => {
                    let text = cause
                        .downcast_ref::<String>()
                        .cloned()
                        .or_else(|| cause.downcast_ref::<&str>().map(|s| (*s).to_string()))
                        .unwrap_or_else(|| "the decision module failed".to_string());
                    reply.panic(instance, &text);
                }
            }
            actions.clear();
        }
        Ok(reply.frame(batch.number))
    }

    fn step(&mut self, now: f64, id: u16, event: WireEvent, out: &mut Vec<Action>) -> Result<(), String> {
        let event = match event {
            WireEvent::Start { seed, conf } => {
                let conf = settings::read(&conf).map_err(|error| error.to_string())?;
                let control = Control::new(conf.settings, seed);
                self.instances.insert(id, Instance { control, report: conf.report_fields });
                Event::Started
            }
            WireEvent::Destroy => {
                self.instances.remove(&id);
                return Ok(());
            }
            WireEvent::MemberList(kind, list) => Event::MemberList(kind, list),
            WireEvent::Request(r) => Event::Request(r),
            WireEvent::StreamStarted { request, attempt } => Event::StreamStarted { request, attempt },
            WireEvent::AttemptEnded { request, attempt, member, ending, elapsed, finished, note, load } => {
                let load = self.instances.get(&id).and_then(|i| i.load(&load));
                Event::AttemptEnded { request, attempt, member, ending, elapsed, finished, note, load }
            }
            WireEvent::ClientGone(request) => Event::ClientGone(request),
            WireEvent::Timer(token) => Event::Timer(token),
            WireEvent::HealthChecked { member, ok, load } => {
                let load = self.instances.get(&id).and_then(|i| i.load(&load));
                Event::HealthChecked { member, ok, load }
            }
            WireEvent::PeerMessage(from, text) => Event::PeerMessage(from, text),
            WireEvent::Purged { object, group, age } => Event::Purged { object, group, age },
        };
        // An event for an instance that was never started, or has been destroyed, means nothing.
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.control.handle(now, event, out);
        }
        Ok(())
    }
}
