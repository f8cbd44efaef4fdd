//! Outcomes of attempts: retries, and what they tell of members.

use super::*;

impl Control {
    pub(super) fn outcome(&mut self, id: RequestId, no: u32, end: Ended, finished: bool) {
        let Some(o) = self.open.get_mut(&id) else { return };
        let Some(i) = o.out.iter().position(|a| a.no == no && a.member == end.member) else { return };
        let a = o.out.remove(i);
        let ok = end.ending == AttemptEnding::Served;
        o.ended |= finished || ok;
        let never_ran = matches!(
            end.ending,
            AttemptEnding::Rejected
                | AttemptEnding::ConnectFailed
                | AttemptEnding::NotSent
                | AttemptEnding::Miss
        );
        if !never_ran && o.maybe_run.is_none() {
            o.maybe_run = Some((a.sent, a.member));
        }
        // What failed at one member and is an error at the next may be the request's own fault.
        let suspect = end.ending == AttemptEnding::Error && !o.bad.is_empty();
        let (r, ended) = (o.r, o.ended);
        self.book(&a, &r, end, suspect);
        if ended {
            // What is out beside it is called off; its waiters need not wait for that.
            let out = self.open.get(&id).filter(|_| self.s.cancellation).into_iter().flat_map(|o| &o.out);
            self.acts.extend(out.map(|a| Action::Cancel { request: id, attempt: a.no }));
            if ok && a.kind != Kind::Direct {
                self.pass_on(id, (r.object, r.part), Some(a.member), Vec::new());
            }
            return self.close(id);
        }
        // Of two attempts the other one decides, where it waits or fills already.
        let Some(o) = self.open.get(&id) else { return };
        let missed = end.ending == AttemptEnding::Miss && a.kind == Kind::LookUp;
        if o.waiting.is_some() || o.out.iter().any(|other| !missed || other.kind == Kind::Fill) {
            return;
        } else if missed {
            // Where misses cannot join another router's fill that is under way, they wait and look again.
            let under_way =
                end.note == FillNote::Joined && !self.s.join_fills && o.sends < 3 && !self.last_call(o);
            if under_way && !self.table.contains_key(&(r.object, r.part)) {
                let since = self.now - WAIT + self.work(&r) + WAY;
                return self.open.get_mut(&id).into_iter().for_each(|o| o.waiting = Some(since));
            }
            return self.missed(id, a.member);
        }
        if end.note == FillNote::SourceLacks {
            return self.give_up(id);
        }
        let at_cache = matches!(
            end.ending,
            AttemptEnding::ConnectFailed | AttemptEnding::Reset | AttemptEnding::Cancelled
        );
        let at_source = a.kind == Kind::Fill && !at_cache && end.note != FillNote::NoPlace;
        let guilty = a.source.filter(|_| at_source).unwrap_or(a.member);
        let Some(o) = self.open.get_mut(&id) else { return };
        o.bad.push(guilty);
        let (key, bad) = ((r.object, r.part), o.bad.clone());
        if self.retries < 1.0 || self.now >= r.deadline || suspect && bad.len() > 2 {
            return self.give_up(id);
        }
        self.retries -= 1.0;
        if a.kind != Kind::Fill {
            return self.route(id);
        }
        if self.table.get(&key).is_some_and(|e| e.leader == id && !e.waiters.is_empty()) {
            self.pass_on(id, key, None, bad);
        }
        self.missed(id, a.member);
    }

    /// Whether the origin was seen to be too crowded. Large answers, which suffer most there, weigh more.
    pub(super) fn origin_late(&self, o: &Open) -> bool {
        self.too_slow(o, self.origin_pace.drag(ORIGIN_DUE, ORIGIN_SPAN, self.now))
    }

    pub(super) fn see(&mut self, a: &Attempt, slowdown: impl Fn(Millis) -> f64) {
        let Some((m, expected)) = a.shows() else { return };
        let Some(p) = self.peers.get_mut(&m) else { return };
        let slowdown = slowdown(expected);
        // A fill that is quicker than it should be ends its source's slow time: much was seen of that.
        if a.kind == Kind::Fill && slowdown < QUICK && p.drag(self.now) > PASS_DRAG {
            p.seen = Pace::default();
        }
        p.see(slowdown, self.now);
    }

    /// Books an outcome: loads, learned times, health.
    pub(super) fn book(&mut self, a: &Attempt, r: &Request, end: Ended, suspect: bool) {
        let source = a.source.filter(|s| *s != a.member);
        self.link.add(-f64::from(u8::from(a.linked)), self.now);
        for m in [Some(a.member), source].into_iter().flatten() {
            let Some(p) = self.peers.get_mut(&m) else { continue };
            p.trial_out &= !a.trial;
            if m != a.member || a.kind == Kind::LookUp || !a.late {
                p.held.add(-1.0, self.now);
            }
            let silent = matches!(
                end.ending,
                AttemptEnding::Timeout | AttemptEnding::Cancelled | AttemptEnding::NotSent
            );
            // What was taken back before it was late tells of no silence, nor of life.
            if m == a.member && (!silent || self.now < a.late_at) {
                p.unanswered = if silent { p.unanswered.saturating_sub(1) } else { 0 };
            }
        }
        end.load.into_iter().for_each(|load| self.told(a.member, load));
        let origin = self.origin().and_then(|id| self.peers.get(&id));
        let failing = origin.is_some_and(|p| p.trial || p.drag(self.now) > PASS_DRAG);
        let origin = origin.is_some_and(|p| a.member == p.m.id || a.source == Some(p.m.id));
        match end.ending {
            AttemptEnding::Served => {
                // What came by way of the origin shows that, where notes tell, unless the parent is slow.
                let parent = source.and_then(|s| self.peers.get(&s)).filter(|p| self.is_parent(&p.m));
                let (parent, slow) = (parent.is_some(), parent.is_some_and(|p| p.drag(self.now) > PASS_DRAG));
                let by_origin = end.note == FillNote::FilledByOrigin && !self.s.classes[r.class].write;
                if !(by_origin && parent) {
                    self.see(a, |expected| end.elapsed / expected);
                }
                if by_origin && !slow {
                    // What was late is counted already, up to then. One that was not ends a slow time.
                    let before = if a.late { a.late_at - a.sent } else { 0.0 };
                    let due = if a.late { 0.0 } else { a.work + 2.0 * WAY };
                    self.origin_pace = if end.elapsed < due { Pace::default() } else { self.origin_pace };
                    self.origin_pace.take(end.elapsed - before, due, ORIGIN_SPAN, self.now);
                }
                // Where it is not reported, fills from parents' copies tell how full the link is.
                let shows = a.kind == Kind::Fill && end.load.is_none_or(|l| l.link.is_none());
                let shows =
                    shows && a.sure && !matches!(end.note, FillNote::FilledByOrigin | FillNote::Joined);
                if let Some(fit) = self.link_fit().filter(|_| shows) {
                    self.link.tell(FILL_PACE * fit * end.elapsed / (a.work + 2.0 * WAY), self.now);
                }
                if r.size.is_none() && a.kind == Kind::LookUp {
                    self.learn_sending(r, a, end.elapsed);
                }
                self.judge(a.member, true);
                self.bear(a.member, a.work, None);
                if let Some(s) = source {
                    self.judge(s, true);
                    self.bear(s, if end.note == FillNote::Joined { 0.0 } else { a.work }, None);
                }
            }
            AttemptEnding::Miss => self.judge(a.member, true),
            // What fails at a parent while the origin does is not held against it: it still has its copies.
            _ if a.kind == Kind::Fill && !origin && failing || suspect => {}
            AttemptEnding::Timeout | AttemptEnding::Rejected if a.kind != Kind::LookUp && !a.late => {
                self.see(a, |_| LATE_DRAG);
                if end.ending == AttemptEnding::Rejected && a.kind == Kind::Fill {
                    self.judge(source.unwrap_or(a.member), false);
                }
            }
            AttemptEnding::NotSent | AttemptEnding::Cancelled => {}
            // Crowding and the client's own deadline tell nothing of a member's health.
            AttemptEnding::Timeout if !a.trial && end.note == FillNote::None && !origin => {}
            AttemptEnding::Rejected if !a.trial && source.is_none() => {}
            AttemptEnding::ConnectFailed | AttemptEnding::Reset => self.judge(a.member, false),
            _ if matches!(end.note, FillNote::NoPlace | FillNote::SourceLacks | FillNote::OriginFailed) => {}
            // A fill that failed: nearly always the source, as the cache had room to look up.
            _ => self.judge(source.unwrap_or(a.member), false),
        }
    }
}
