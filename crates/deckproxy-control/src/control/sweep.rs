//! The periodic sweep.

use super::*;

impl Control {
    /// Waiters whose time has come go alone, silent members are left out and what they hold is called back.
    pub(super) fn sweep(&mut self) {
        self.sweeping = false;
        let now = self.now;
        // A router that slept heard nobody: silence is counted anew.
        if now - self.sweep_due > ASLEEP {
            self.peers.values_mut().for_each(|p| p.unanswered_since = now);
        }
        if self.objects.len() * 2 > OBJECTS_MOST {
            self.objects.retain(|_, o| now - o.asked.1 < 10.0 * HOT_SPAN);
        }
        // Late attempts: a fill waits for a source that hangs; it makes room, its source counts as slow.
        let mut again = vec![];
        for (id, o) in &mut self.open {
            let many = o.out.len() > 1 || o.ended;
            for a in o.out.iter_mut().filter(|a| !a.late && now >= a.late_at) {
                a.late = true;
                // Late by the origin, if not by a slow parent.
                let brisk = a.source.and_then(|s| self.peers.get(&s)).filter(|p| p.drag(now) <= PASS_DRAG);
                if a.kind == Kind::Fill && brisk.is_some() && self.origin_pace.due > 0.0 {
                    self.origin_pace.take(now - a.sent, a.work + 2.0 * WAY, ORIGIN_SPAN, now);
                }
                if let Some((m, _)) = a.shows().filter(|_| a.sure && a.kind == Kind::Fill) {
                    self.peers.get_mut(&m).into_iter().for_each(|p| p.see(LATE_DRAG, now));
                }
                if !many && a.sure {
                    again.push((*id, *a));
                }
                self.link.add(-f64::from(u8::from(a.linked)), now);
                a.linked = false;
                if let Some(p) = self.peers.get_mut(&a.member).filter(|_| a.kind != Kind::LookUp) {
                    p.held.add(-1.0, now);
                }
            }
        }
        // Where two attempts may be out, a second one makes up for an answer that got lost.
        for (id, a) in again {
            if self.s.hedged_requests && self.retries >= 1.0 && self.emit(id, a.member, a.source, a.kind) {
                self.retries -= 1.0;
            }
        }
        let silent = |p: &&Peer| {
            let sends = if p.trial { 1 } else { SILENT_SENDS };
            p.unanswered >= sends && now - p.unanswered_since > SILENT_FOR && !self.is_origin(&p.m)
        };
        let silent: Vec<MemberId> = self.peers.values().filter(silent).map(|p| p.m.id).collect();
        for id in silent {
            self.leave_out(id, "silent");
            for (request, o) in
                self.open.iter().filter(|(_, o)| self.s.cancellation && !o.ended && !o.streaming)
            {
                let held = o.out.iter().filter(|a| a.member == id);
                self.acts.extend(held.map(|a| Action::Cancel { request: *request, attempt: a.no }));
            }
        }
        let due = |o: &&Open| o.waiting.is_some_and(|since| now - since >= WAIT || self.last_call(o));
        for id in self.open.values().filter(due).map(|o| o.r.id).collect::<Vec<_>>() {
            // One that came to lead meanwhile waits no more.
            let Some(o) = self.open.get_mut(&id).filter(|o| o.waiting.is_some()) else { continue };
            o.waiting = None;
            let Some(entry) = self.table.get_mut(&(o.r.object, o.r.part)) else {
                self.route(id);
                continue;
            };
            entry.waiters.retain(|w| *w != id);
            let cache = entry.cache;
            self.fill(id, cache);
        }
    }
}
