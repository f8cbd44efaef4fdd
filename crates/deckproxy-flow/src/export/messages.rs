//! Messages: when one may be sent, and its content.

use super::Exporter;
use super::Millis;
use super::collector::InFlight;
use super::effects::{CollectorIndex, Effect};
use super::records::flow_record;
use super::settings::Transport;
use super::templates::element_record;
use crate::codec::elements::PROJECT_ELEMENTS;
use crate::codec::{Value, Version};
use crate::meter::Flow;
use crate::spool::Loss;

impl Exporter {
    /// Whether there is data for a collector that may be sent now.
    pub(super) fn can_send(&self, now: Millis, index: CollectorIndex) -> bool {
        let collector = &self.collectors[index];
        if collector.is_delaying_flows(now) {
            return false;
        }
        let spool = &self.spools[self.spool_index(index)];
        let needs_templates =
            collector.transport == Transport::Udp && collector.needs_templates(now, &self.settings);
        let has_work = !spool.is_empty() || !spool.loss().is_zero() || needs_templates;
        has_work
            && collector.has_token(self.settings.message_rate)
            && collector.bytes_in_flight() < self.settings.max_in_flight
    }

    /// Builds one message for a collector and queues the effect that sends it.
    pub(super) fn send_message<'a>(
        &mut self,
        now: Millis,
        index: CollectorIndex,
        name: &impl Fn(u32) -> &'a str,
    ) {
        let is_templates_only = self.collectors[index].is_templates_only();
        if self.collectors[index].needs_templates(now, &self.settings) {
            self.add_templates(now, index);
        }
        let (loss, flows) = if is_templates_only {
            self.collectors[index].delay_flows(now);
            (Loss::default(), Vec::new())
        } else {
            (self.add_loss(index), self.add_flows(index, name))
        };
        let collector = &mut self.collectors[index];
        let sequence = collector.encoder.sequence();
        let Some(message) = collector.encoder.finish(now) else { return };
        collector.take_token();
        if collector.in_flight.is_empty() {
            collector.progress_at = now;
        }
        self.last_message += 1;
        let number = self.last_message;
        collector.in_flight.push_back(InFlight { number, sequence, bytes: message.len(), flows, loss });
        self.effects.push_back(Effect::Send { collector: index, number, message });
    }

    /// Adds all templates, and in IPFIX the descriptions of this project's elements.
    fn add_templates(&mut self, now: Millis, index: CollectorIndex) {
        let collector = &mut self.collectors[index];
        let mut is_complete = true;
        for template in self.templates.all() {
            is_complete &= collector.encoder.template(template);
        }
        if self.settings.version == Version::Ipfix {
            for element in PROJECT_ELEMENTS {
                let record = element_record(self.settings.enterprise, element);
                is_complete &= collector.encoder.record(&self.templates.element, &record);
            }
        }
        // Otherwise no flow could ever be sent; the settings' check ensures that messages are large enough.
        debug_assert!(is_complete, "the templates fit into one message");
        collector.templates_sent_at = Some(now);
    }

    /// Adds the unreported loss to the message. Returns the loss that the message reports.
    fn add_loss(&mut self, index: CollectorIndex) -> Loss {
        let spool_index = self.spool_index(index);
        let spool = &mut self.spools[spool_index];
        let mut loss = spool.take_loss();
        if loss.is_zero() {
            return loss;
        }
        let numbers = [u64::from(self.settings.domain), loss.flows, loss.octets, loss.requests];
        let record = numbers.map(Value::Number);
        if !self.collectors[index].encoder.record(&self.templates.loss, &record) {
            spool.restore_loss(std::mem::take(&mut loss));
        }
        self.counters.lost_flows += loss.flows;
        loss
    }

    /// Moves flows from the spool into the message until it is full.
    fn add_flows<'a>(&mut self, index: CollectorIndex, name: &impl Fn(u32) -> &'a str) -> Vec<Flow> {
        let spool_index = self.spool_index(index);
        let spool = &mut self.spools[spool_index];
        let encoder = &mut self.collectors[index].encoder;
        let mut flows = Vec::new();
        while let Some(flow) = spool.first() {
            let is_v6 = flow.key.client.is_some_and(|net| net.addr().is_ipv6());
            let template = if is_v6 { &self.templates.flow_v6 } else { &self.templates.flow_v4 };
            if !encoder.record(template, &flow_record(flow, name)) {
                break;
            }
            flows.extend(spool.pop());
        }
        flows
    }
}
