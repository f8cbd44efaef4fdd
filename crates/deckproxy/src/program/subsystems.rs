//! The enabled subsystems and their queued effects.

use crate::program::fleet::Fleet;
use crate::program::flows::Flows;
use crate::program::log_aliases::Scope;
use crate::program::recovery::Recovery;
use crate::program::sites::Sites;
use crate::program::subsystem::{
    Context, Effect, Effects, Event, LinkId, RequestKey, Subsystem, Verdict, summary_text,
};
use crate::protocol::downstream::{Answer, Call};
use crate::protocol::upstream::CopyInfo;
use crate::routing::{ClientId, Router};
use deckproxy_flow::scheduler::{Micros, Scheduler, TaskId};
use deckproxy_operator::{FleetSettingsError, Operator};
use deckproxy_sites::frame::Frame;
use slog::{Logger, warn};

/// All subsystems, each enabled or not, in the order in which they are notified of events.
pub struct Subsystems {
    /// Admission control against retry storms.
    recovery: Option<Box<Recovery>>,
    /// Metering and export of flows.
    flows: Option<Box<Flows>>,
    /// Links to gateways of other sites.
    sites: Option<Box<Sites>>,
    /// The other instances of the fleet.
    fleet: Option<Box<Fleet>>,
    /// Effects that have not been applied yet.
    effects: Effects,
    /// Whether any subsystem is enabled.
    any_enabled: bool,
}

/// Each subsystem's section of the summary in the log; `off` for one that is not enabled.
pub struct Summaries {
    /// Links to gateways of other sites.
    pub sites: String,
    /// Admission control against retry storms.
    pub recovery: String,
    /// Metering and export of flows.
    pub flows: String,
    /// The other instances of the fleet.
    pub fleet: String,
}

impl Subsystems {
    /// Starts the subsystems that the operator file enables.
    ///
    /// # Errors
    /// The fleet can't be started: a name in its settings is missing or invalid.
    pub fn start(
        log: &Logger,
        now: f64,
        (name, seed): (&str, u64),
        router: &Router,
        operator: &Operator,
        background: &mut Scheduler,
    ) -> Result<Self, FleetSettingsError> {
        let instance_settings = router.instance_settings();
        let recovery = Recovery::start(log, instance_settings, seed, operator);
        let flows = Flows::start(log, now, seed, &instance_settings.classes, operator, background);
        let sites = Sites::start(log, now, seed, operator);
        let fleet = Fleet::start(log, name, router, seed, operator)?;
        let any_enabled = recovery.is_some() || flows.is_some() || sites.is_some() || fleet.is_some();
        Ok(Subsystems { recovery, flows, sites, fleet, effects: Effects::new(), any_enabled })
    }

    /// The enabled subsystems, in the order in which they are notified of events, and the queue for their effects.
    fn all(&mut self) -> (impl Iterator<Item = &mut dyn Subsystem>, &mut Effects) {
        fn one<'a, S: Subsystem + 'a>(slot: &'a mut Option<Box<S>>) -> Option<&'a mut dyn Subsystem> {
            slot.as_deref_mut().map(|subsystem| subsystem as &mut dyn Subsystem)
        }
        let all = [one(&mut self.recovery), one(&mut self.flows), one(&mut self.sites), one(&mut self.fleet)];
        (all.into_iter().flatten(), &mut self.effects)
    }

    /// Whether any subsystem is enabled.
    pub fn is_any_enabled(&self) -> bool {
        self.any_enabled
    }

    /// Whether links to other sites are enabled.
    pub fn has_sites(&self) -> bool {
        self.sites.is_some()
    }

    /// Whether any subsystem needs the clients' addresses.
    pub fn wants_addresses(&self) -> bool {
        self.flows.is_some()
            || self.recovery.as_ref().is_some_and(|r| r.wants_addresses())
            || self.fleet.as_ref().is_some_and(|f| f.wants_addresses())
    }

    /// Number of flow collectors.
    pub fn collectors(&self) -> usize {
        self.flows.as_ref().map_or(0, |f| f.collectors())
    }

    /// Whether a background task sends messages to collectors.
    pub fn sends_to_collectors(&self, task: TaskId) -> bool {
        self.flows.as_ref().is_some_and(|f| f.is_send_task(task))
    }

    /// The next chunk of a body for a link whose write buffer has room.
    pub fn next_body_chunk(&mut self, link: LinkId) -> Option<Frame> {
        self.sites.as_mut().and_then(|s| s.next_body_chunk(link))
    }

    /// The next effect to apply.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Notifies all enabled subsystems of an event.
    pub fn notify(&mut self, cx: &Context<'_>, event: &Event<'_>) {
        if !self.any_enabled {
            return;
        }
        let (all, out) = self.all();
        for subsystem in all {
            subsystem.event(cx, event, out);
        }
    }

    /// Notifies flows and sites of bytes received on a link; only flows need the site at its other end.
    pub fn link_bytes_received(&mut self, cx: &Context<'_>, link: LinkId, bytes: usize) {
        let Subsystems { flows, sites, effects, .. } = self;
        let Some(sites) = sites else { return };
        if let Some(flows) = flows {
            let site = sites.site_of(link);
            flows.event(cx, &Event::LinkBytesReceived { link, site, bytes }, effects);
        }
        sites.event(cx, &Event::LinkBytesReceived { link, site: None, bytes }, effects);
    }

    /// Notifies flows of bytes written to a link.
    pub fn link_bytes_sent(&mut self, cx: &Context<'_>, link: LinkId, bytes: usize) {
        let Subsystems { flows, sites, effects, .. } = self;
        if let (Some(sites), Some(flows)) = (sites, flows) {
            let site = sites.site_of(link);
            flows.event(cx, &Event::LinkBytesSent { site, bytes }, effects);
        }
    }

    /// Decides on a client's request: the first verdict other than `Pass` is returned, without consulting the
    /// subsystems after it.
    pub fn request(&mut self, cx: &Context<'_>, request: RequestKey, call: &Call) -> Verdict {
        let (all, out) = self.all();
        let mut verdicts = all.map(|subsystem| subsystem.request(cx, request, call, out));
        verdicts.find(|verdict| !matches!(verdict, Verdict::Pass)).unwrap_or(Verdict::Pass)
    }

    /// A replacement for a final answer, if a subsystem has one.
    pub fn answer(&mut self, cx: &Context<'_>, request: RequestKey, answer: &Answer) -> Option<Answer> {
        let (mut all, _) = self.all();
        all.find_map(|subsystem| subsystem.answer(cx, request, answer))
    }

    /// Handles the router's answer to a request that was received over a link.
    pub fn routed(&mut self, cx: &Context<'_>, client: ClientId, answer: Answer, copy: Option<CopyInfo>) {
        if let Some(sites) = &mut self.sites {
            sites.routed(cx, client, answer, copy, &mut self.effects);
        }
    }

    /// Handles a frame received on a link.
    pub fn frame(&mut self, cx: &Context<'_>, link: LinkId, frame: Frame) {
        if let Some(sites) = &mut self.sites {
            sites.frame(cx, link, frame, &mut self.effects);
        }
    }

    /// Polls the subsystems, which queue the effects that are due.
    pub fn poll(&mut self, cx: &Context<'_>) {
        let (all, out) = self.all();
        for subsystem in all {
            subsystem.poll(cx, out);
        }
    }

    /// When the next tick of a subsystem is due, Unix ms.
    pub fn next_due(&self) -> Option<f64> {
        let sites = self.sites.as_ref().and_then(|s| s.next_due());
        let fleet = self.fleet.as_ref().and_then(|f| f.next_due());
        sites.into_iter().chain(fleet).min_by(f64::total_cmp)
    }

    /// Ticks the subsystems whose tick is due.
    pub fn tick(&mut self, cx: &Context<'_>) {
        let (all, out) = self.all();
        for subsystem in all {
            if subsystem.next_due().is_some_and(|due| due <= cx.now) {
                subsystem.tick(cx, out);
            }
        }
    }

    /// Runs a background task until `end` at the latest. Returns whether it has more to do.
    pub fn run_task(&mut self, cx: &Context<'_>, task: TaskId, end: Micros) -> bool {
        let (mut all, out) = self.all();
        all.find_map(|subsystem| subsystem.run_task(cx, task, end, out)).unwrap_or(false)
    }

    /// Bytes buffered by subsystems, without those in connections' buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.sites.as_ref().map_or(0, |s| s.buffered_bytes())
    }

    /// Whether no subsystem has unanswered requests.
    pub fn is_settled(&mut self) -> bool {
        let (mut all, _) = self.all();
        all.all(|subsystem| subsystem.is_settled())
    }

    /// Answers all open requests of the subsystems as failed, before the process is killed.
    pub fn fail_open(&mut self, cx: &Context<'_>) {
        let (all, out) = self.all();
        for subsystem in all {
            subsystem.fail_open(cx, out);
        }
    }

    /// Finishes all subsystems, once all requests are answered and all client connections closed. Returns whether no
    /// subsystem has anything left to do.
    pub fn finish(&mut self, cx: &Context<'_>) -> bool {
        let (all, out) = self.all();
        let mut done = true;
        for subsystem in all {
            // No short-circuit: each subsystem must finish, even after one that is not done yet.
            done &= subsystem.finish(cx, out);
        }
        done
    }

    /// Whether bytes on upstream connections are counted, so that these must be closed before [`Subsystems::finish`].
    pub fn counts_upstream_bytes(&self) -> bool {
        self.flows.is_some()
    }

    /// Applies the settings of a new operator file that may change while serving.
    pub fn reload(&mut self, log: &Logger, cx: &Context<'_>, operator: &Operator) {
        let switches = [
            ("recovery", self.recovery.is_some(), operator.recovery.is_some()),
            ("flow export", self.flows.is_some(), operator.flows.is_some()),
            ("sites", self.sites.is_some(), operator.sites.is_some()),
            ("the fleet", self.fleet.is_some(), operator.fleet.is_some()),
        ];
        for (name, on, wanted) in switches {
            if on != wanted {
                warn!(log, "reload: switching {} on or off takes a restart", name);
            }
        }
        let (all, out) = self.all();
        for subsystem in all {
            subsystem.reload(cx, operator, out);
        }
    }

    /// Each subsystem's section of the summary in the log.
    pub fn summaries(&mut self) -> Summaries {
        fn one<S: Subsystem>(slot: &mut Option<Box<S>>, scope: Scope) -> String {
            let Some(subsystem) = slot else { return "off".to_string() };
            summary_text(scope, &subsystem.summary())
        }
        Summaries {
            sites: one(&mut self.sites, Scope::Sites),
            recovery: one(&mut self.recovery, Scope::Recovery),
            flows: one(&mut self.flows, Scope::Flows),
            fleet: one(&mut self.fleet, Scope::Fleet),
        }
    }
}
