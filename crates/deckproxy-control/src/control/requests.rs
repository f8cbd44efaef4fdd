//! Requests and their attempts, and what is learned of their objects.

use super::*;

#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum Kind {
    LookUp,
    Fill,
    Direct,
}

#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) no: u32,
    pub(super) member: MemberId,
    pub(super) source: Option<MemberId>,
    pub(super) kind: Kind,
    pub(super) sent: Millis,
    /// Load of the member when it was sent, and the request's sending time.
    pub(super) load: f64,
    pub(super) work: Millis,
    /// Whether that was told or learned of its object.
    pub(super) sure: bool,
    pub(super) trial: bool,
    /// It draws on the location's link by itself.
    pub(super) linked: bool,
    /// When it counts as late, and whether: a fill then waits for a source that does not send.
    pub(super) late_at: Millis,
    pub(super) late: bool,
}

#[derive(Default)]
pub(super) struct Open {
    pub(super) r: Request,
    pub(super) arrived: Millis,
    /// Nothing is owed any more; kept while an outcome is still to come.
    pub(super) ended: bool,
    pub(super) streaming: bool,
    pub(super) sends: u32,
    pub(super) out: Vec<Attempt>,
    /// First attempt that may have run: when it was sent, and where.
    pub(super) maybe_run: Option<(Millis, MemberId)>,
    /// Members that failed this request.
    pub(super) bad: Vec<MemberId>,
    pub(super) waiting: Option<Millis>,
}

impl Attempt {
    /// Whose pace it shows, and what that should take; an answer straight from a parent shows the link's.
    pub(super) fn shows(&self) -> Option<(MemberId, Millis)> {
        match self.kind {
            Kind::LookUp => Some((self.member, self.work * self.load.max(1.0) + WAY)),
            Kind::Fill => self.source.map(|s| (s, self.work + 2.0 * WAY)),
            Kind::Direct => self.source.filter(|s| *s == self.member).map(|s| (s, self.work + 2.0 * WAY)),
        }
    }
}

/// What is known of an object: the work asked for lately and when that was brought up to date; the sending
/// time of one part as learned from its hits, where sizes are not told.
#[derive(Clone, Copy, Default)]
pub(super) struct Known {
    pub(super) asked: (f64, Millis),
    pub(super) sending: Option<Millis>,
}

#[derive(Clone, Copy)]
pub(super) struct Ended {
    pub(super) member: MemberId,
    pub(super) ending: AttemptEnding,
    pub(super) elapsed: Millis,
    pub(super) note: FillNote,
    pub(super) load: Option<LoadReport>,
}

impl Control {
    /// Sending time of a request: told, else learned of the object, else the class's learned mean.
    pub(super) fn work(&self, r: &Request) -> f64 {
        match r.size {
            Some(kb) if self.s.transfer_rate > 0.0 => kb / self.s.transfer_rate * 1000.0,
            _ => self.objects.get(&r.object).and_then(|o| o.sending).unwrap_or(self.means[r.class].0),
        }
    }

    /// Learns from a hit how long an object takes to send, crowding taken out; a quicker hit counts more.
    pub(super) fn learn_sending(&mut self, r: &Request, a: &Attempt, elapsed: Millis) {
        let took = elapsed.max(1.0) / a.load.max(1.0);
        self.learn_mean(r.class, took);
        if let Some(o) = self.objects.get_mut(&r.object) {
            let old = o.sending.unwrap_or(took);
            o.sending = Some(old + if took < old { 0.6 } else { 0.2 } * (took - old));
        }
    }

    pub(super) fn learn_mean(&mut self, class: usize, work: f64) {
        // The first guess weighs as five answers.
        let (mean, count) = &mut self.means[class];
        *count = (*count + 1.0).min(300.0);
        *mean += (work - *mean) / (*count + 5.0);
    }

    /// The oldest copy that will do, in ms, where a purge binds; judged at each send.
    pub(super) fn purge_bound(&self, r: &Request) -> Option<f64> {
        let last = [(Some(r.object), 0), (None, r.group)].map(|key| self.purged.get(&key));
        let last = last.into_iter().flatten().copied().fold(f64::MIN, f64::max);
        (self.now <= last + self.s.purge_settle_time).then(|| (self.now - last - 0.002).max(0.001))
    }
}
