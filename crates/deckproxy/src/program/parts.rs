//! The subsystems that are switched on, and the effects of theirs that wait.

use crate::program::fleet::Fleet;
use crate::program::flows::Flows;
use crate::program::recovery::Recovery;
use crate::program::sites::Sites;
use crate::program::subsystem::{Context, Effect, Effects, Event, LineId, Subsystem, Verdict};
use crate::protocol::downstream::{Answer, Call};
use crate::protocol::upstream::Copy;
use crate::routing::{ClientId, Router};
use deckproxy_flow::work::{Micros, Scheduler, TaskId};
use deckproxy_operator::Operator;
use deckproxy_sites::frame::Frame;
use slog::{Logger, warn};

/// All of them. One that is off costs the look at an empty place.
pub struct Parts {
    /// The door against storms.
    recovery: Option<Box<Recovery>>,
    /// Metering and export of flows.
    flows: Option<Box<Flows>>,
    /// Links to gateways of other sites.
    sites: Option<Box<Sites>>,
    /// The other instances of the fleet.
    fleet: Option<Box<Fleet>>,
    effects: Effects,
    /// Whether any is on.
    on: bool,
}

impl Parts {
    /// Starts what the operator file asks for. The error tells what can't be started.
    pub fn start(
        log: &Logger,
        now: f64,
        (name, seed): (&str, u64),
        router: &Router,
        operator: &Operator,
        background: &mut Scheduler,
    ) -> Result<Self, String> {
        let conf = router.conf();
        let recovery = Recovery::start(log, conf, seed, operator);
        let flows = Flows::start(log, now, seed, &conf.classes, operator, background);
        let sites = Sites::start(log, now, seed, operator);
        let fleet = Fleet::start(log, name, router, seed, operator)?;
        let on = recovery.is_some() || flows.is_some() || sites.is_some() || fleet.is_some();
        Ok(Parts { recovery, flows, sites, fleet, effects: Effects::new(), on })
    }

    /// Those that are on, in the order in which they are asked and told.
    fn all(&mut self) -> (impl Iterator<Item = &mut dyn Subsystem>, &mut Effects) {
        fn one<'a, S: Subsystem + 'a>(part: &'a mut Option<Box<S>>) -> Option<&'a mut dyn Subsystem> {
            part.as_deref_mut().map(|p| p as &mut dyn Subsystem)
        }
        let all = [one(&mut self.recovery), one(&mut self.flows), one(&mut self.sites), one(&mut self.fleet)];
        (all.into_iter().flatten(), &mut self.effects)
    }

    /// Whether any is on.
    pub fn is_on(&self) -> bool {
        self.on
    }

    /// Whether links join this site with others.
    pub fn has_sites(&self) -> bool {
        self.sites.is_some()
    }

    /// Whether clients' addresses are wanted.
    pub fn wants_addresses(&self) -> bool {
        self.flows.is_some()
            || self.recovery.as_ref().is_some_and(|r| r.wants_addresses())
            || self.fleet.as_ref().is_some_and(|f| f.wants_addresses())
    }

    /// Collectors of flows.
    pub fn collectors(&self) -> usize {
        self.flows.as_ref().map_or(0, |f| f.collectors())
    }

    /// Whether a background task hands messages to collectors.
    pub fn sends(&self, task: TaskId) -> bool {
        self.flows.as_ref().is_some_and(|f| f.sends(task))
    }

    /// Whether a client's request of that id is with a subsystem.
    pub fn holds_request(&self, client: ClientId, id: u32) -> bool {
        self.sites.as_ref().is_some_and(|s| s.crosses(client, id))
    }

    /// The next piece of a body for a link that takes some.
    pub fn piece(&mut self, line: LineId) -> Option<Frame> {
        self.sites.as_mut().and_then(|s| s.piece(line))
    }

    /// The next effect to be carried out.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Tells all what happened.
    pub fn tell(&mut self, cx: &Context<'_>, event: &Event<'_>) {
        if !self.on {
            return;
        }
        let (all, out) = self.all();
        all.for_each(|part| part.event(cx, event, out));
    }

    /// Tells all of bytes that came, or went, on a link.
    pub fn line_passed(&mut self, cx: &Context<'_>, line: LineId, came: usize, went: usize) {
        let Parts { flows, sites, effects, .. } = self;
        let Some(sites) = sites else { return };
        if let Some(flows) = flows {
            let site = sites.site_of(line);
            let event = match came {
                0 => Event::LineWrote { site, bytes: went },
                bytes => Event::LineHeard { line, site, bytes },
            };
            flows.event(cx, &event, effects);
        }
        if came > 0 {
            sites.event(cx, &Event::LineHeard { line, site: None, bytes: came }, effects);
        }
    }

    /// What becomes of a client's request.
    pub fn request(&mut self, cx: &Context<'_>, of: (ClientId, u32), call: &Call) -> Verdict {
        let (all, out) = self.all();
        let mut verdicts = all.map(|part| part.request(cx, of, call, out));
        verdicts.find(|verdict| !matches!(verdict, Verdict::Pass)).unwrap_or(Verdict::Pass)
    }

    /// The answer to give a client in place of this one, if another.
    pub fn answer(&mut self, cx: &Context<'_>, of: (ClientId, u32), answer: &Answer) -> Option<Answer> {
        let (mut all, _) = self.all();
        all.find_map(|part| part.answer(cx, of, answer))
    }

    /// A request that the router was given by a subsystem has its answer.
    pub fn routed(&mut self, cx: &Context<'_>, client: ClientId, answer: Answer, copy: Option<Copy>) {
        if let Some(sites) = &mut self.sites {
            sites.routed(cx, client, answer, copy, &mut self.effects);
        }
    }

    /// A frame came on a link.
    pub fn frame(&mut self, cx: &Context<'_>, line: LineId, frame: Frame) {
        if let Some(sites) = &mut self.sites {
            sites.frame(cx, line, frame, &mut self.effects);
        }
    }

    /// Has all say what is to be done by now.
    pub fn pump(&mut self, cx: &Context<'_>) {
        let (all, out) = self.all();
        all.for_each(|part| part.pump(cx, out));
    }

    /// When one wants a tick.
    pub fn due(&self) -> Option<f64> {
        let sites = self.sites.as_ref().and_then(|s| s.due());
        let fleet = self.fleet.as_ref().and_then(|f| f.due());
        sites.into_iter().chain(fleet).min_by(f64::total_cmp)
    }

    /// Ticks those whose time has come.
    pub fn tick(&mut self, cx: &Context<'_>) {
        let (all, out) = self.all();
        all.filter(|part| part.due().is_some_and(|due| due <= cx.now)).for_each(|part| part.tick(cx, out));
    }

    /// Runs a background task until that time at most. Tells whether it has more to do.
    pub fn work(&mut self, cx: &Context<'_>, task: TaskId, end: Micros) -> bool {
        let (mut all, out) = self.all();
        all.find_map(|part| part.work(cx, task, end, out)).unwrap_or(false)
    }

    /// Bytes that they hold beside those that wait on connections.
    pub fn holds(&self) -> usize {
        self.sites.as_ref().map_or(0, |s| s.holds())
    }

    /// Whether nothing is owed any more.
    pub fn is_settled(&mut self) -> bool {
        let (mut all, _) = self.all();
        all.all(|part| part.is_settled())
    }

    /// The process is about to be killed.
    pub fn end_all(&mut self, cx: &Context<'_>) {
        let (all, out) = self.all();
        all.for_each(|part| part.end_all(cx, out));
    }

    /// All requests are answered and the clients gone. Tells whether all have done what they still have to.
    pub fn finish(&mut self, cx: &Context<'_>) -> bool {
        let (all, out) = self.all();
        // Each has its turn, also after one that has not done yet.
        let done: Vec<bool> = all.map(|part| part.finish(cx, out)).collect();
        done.into_iter().all(|done| done)
    }

    /// Whether any has work left for a planned end that connections to members would disturb.
    pub fn counts_members(&self) -> bool {
        self.flows.is_some()
    }

    /// Takes what a new operator file may change while serving.
    pub fn reload(&mut self, log: &Logger, cx: &Context<'_>, operator: &Operator) {
        let wanted = [
            operator.recovery.is_some(),
            operator.flows.is_some(),
            operator.sites.is_some(),
            operator.fleet.is_some(),
        ];
        let on = [self.recovery.is_some(), self.flows.is_some(), self.sites.is_some(), self.fleet.is_some()];
        let names = ["recovery", "flow export", "sites", "the fleet"];
        for (name, _) in names.iter().zip(on.iter().zip(wanted)).filter(|(_, (on, wanted))| *on != wanted) {
            warn!(log, "reload: switching {} on or off takes a restart", name);
        }
        let (all, out) = self.all();
        all.for_each(|part| part.reload(cx, operator, out));
    }

    /// Each one's part of the summary: sites, recovery, flows, fleet.
    pub fn summary(&mut self) -> [String; 4] {
        fn one<S: Subsystem>(part: &mut Option<Box<S>>) -> String {
            part.as_mut().map_or_else(|| "off".to_string(), |p| p.summary())
        }
        [one(&mut self.sites), one(&mut self.recovery), one(&mut self.flows), one(&mut self.fleet)]
    }
}
