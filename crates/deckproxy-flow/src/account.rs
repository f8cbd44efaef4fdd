//! What passed on one connection, request by request, until the meter can be told.
//!
//! A byte counts when the kernel took it or gave it. Answers leave a client's connection in order, so that what is
//! written belongs to the first of them that is not written whole; when the connection ends, the rest of them are cut.
//! Nothing here is kept for longer than the request or the connection that it is about.

use crate::meter::{Key, Leg, Meter, Millis, Name, Outcome, Update};
use ahash::RandomState;
use ipnet::IpNet;
use std::collections::{HashMap, VecDeque};

/// Microseconds on the same clock as the meter's.
pub type Micros = u64;

/// A request as it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Asked {
    class: Name,
    /// The site that it went on to.
    site: Name,
    /// Its bytes.
    back: u64,
    at: Micros,
}

/// What goes out next: the answer to a request, or something else.
#[derive(Clone, Copy, Debug)]
struct Bill {
    asked: Option<Asked>,
    outcome: Outcome,
}

/// A client's connection.
#[derive(Debug)]
pub struct ClientAccount {
    client: Option<IpNet>,
    /// A few at a time, by their ids, in no order.
    open: Vec<(u32, Asked)>,
    bills: VecDeque<Bill>,
}

fn millis(at: Micros) -> Millis {
    at / 1000
}

impl ClientAccount {
    /// A connection of that client; none where its address is not known.
    pub fn new(client: Option<IpNet>) -> Self {
        ClientAccount { client, open: Vec::new(), bills: VecDeque::new() }
    }

    /// Whose it is.
    pub fn client(&self) -> Option<IpNet> {
        self.client
    }

    fn key(&self, asked: Option<&Asked>, outcome: Option<Outcome>) -> Key {
        let (class, site) = asked.map_or((0, 0), |a| (a.class, a.site));
        Key { client: self.client, class, site, outcome, ..Key::of(Leg::Client) }
    }

    /// A request came, of so many bytes. One that stands under that id already counts as unusable: the connection
    /// cannot go on from there.
    pub fn asked(&mut self, meter: &mut Meter, now: Micros, id: u32, class: Name, back: u64) {
        let asked = Asked { class, site: 0, back, at: now };
        if self.open.iter().any(|(other, _)| *other == id) {
            return self.told(meter, now, &asked, Outcome::Invalid, 0);
        }
        self.open.push((id, asked));
    }

    /// A request goes on to another site.
    pub fn crosses(&mut self, id: u32, site: Name) {
        if let Some((_, asked)) = self.open.iter_mut().find(|(other, _)| *other == id) {
            asked.site = site;
        }
    }

    /// Bytes came that are no request.
    pub fn heard(&mut self, meter: &mut Meter, now: Micros, back: u64) {
        if back > 0 {
            meter.count(millis(now), self.key(None, None), &Update { back, ..Update::default() });
        }
    }

    fn take(&mut self, id: u32) -> Option<Asked> {
        let at = self.open.iter().position(|(other, _)| *other == id)?;
        Some(self.open.swap_remove(at).1)
    }

    /// The answer to a request was put behind what waits to go out. `id` none: something that answers none.
    pub fn answered(&mut self, id: Option<u32>, outcome: Outcome) {
        let asked = id.and_then(|id| self.take(id));
        self.bills.push_back(Bill { asked, outcome });
    }

    fn told(&self, meter: &mut Meter, now: Micros, asked: &Asked, outcome: Outcome, out: u64) {
        let latency = Some(now.saturating_sub(asked.at));
        let update = Update { out, back: asked.back, requests: 1, latency };
        meter.count(millis(now), self.key(Some(asked), Some(outcome)), &update);
    }

    fn settle(&self, meter: &mut Meter, now: Micros, bill: Bill, outcome: Outcome, out: u64) {
        match &bill.asked {
            Some(asked) => self.told(meter, now, asked, outcome, out),
            None if out > 0 => {
                meter.count(millis(now), self.key(None, None), &Update { out, ..Update::default() });
            }
            None => {}
        }
    }

    /// The first of what waits was written whole: so many bytes.
    pub fn written(&mut self, meter: &mut Meter, now: Micros, out: u64) {
        let bill = self.bills.pop_front();
        debug_assert!(bill.is_some(), "all that goes out has its bill");
        if let Some(bill) = bill {
            self.settle(meter, now, bill, bill.outcome, out);
        }
    }

    /// The client gave a request up before it had its answer.
    pub fn gone(&mut self, meter: &mut Meter, now: Micros, id: u32) {
        if let Some(asked) = self.take(id) {
            self.told(meter, now, &asked, Outcome::Canceled, 0);
        }
    }

    /// The connection has ended, with so many bytes written of the first of what waits, and so many read that were no
    /// whole message.
    pub fn end(&mut self, meter: &mut Meter, now: Micros, out: u64, back: u64) {
        let mut out = out;
        while let Some(bill) = self.bills.pop_front() {
            self.settle(meter, now, bill, Outcome::Canceled, std::mem::take(&mut out));
        }
        debug_assert!(out == 0, "all that goes out has its bill");
        while let Some((_, asked)) = self.open.pop() {
            self.told(meter, now, &asked, Outcome::Canceled, 0);
        }
        self.heard(meter, now, back);
    }

    /// Requests that are open, and answers that are not written whole.
    pub fn sizes(&self) -> [usize; 2] {
        [self.open.len(), self.bills.len()]
    }
}

/// Who asks a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asker {
    /// The client; none where the request came over a link.
    pub client: Option<IpNet>,
    /// The class.
    pub class: Name,
    /// The site that the request came from; 0: this one.
    pub site: Name,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    asker: Asker,
    member: Name,
    /// Bytes written to the member.
    back: u64,
    at: Micros,
}

/// The attempts that are out, by their keys. An attempt is told when it ends, with what was written for it by then.
#[derive(Debug, Default)]
pub struct Attempts {
    out: HashMap<u64, Attempt, RandomState>,
}

impl Attempts {
    /// An attempt begins.
    pub fn sent(&mut self, now: Micros, key: u64, asker: Asker, member: Name) {
        self.out.insert(key, Attempt { asker, member, back: 0, at: now });
    }

    /// Bytes went to a member, under an attempt's key. Tells whether that is out; where it is not, they are the
    /// member's own (`other`).
    pub fn wrote(&mut self, key: u64, bytes: u64) -> bool {
        self.out.get_mut(&key).map(|attempt| attempt.back += bytes).is_some()
    }

    /// An attempt ended, by an answer of so many bytes or otherwise. One of which nothing was written never was. Tells
    /// whether it was out.
    pub fn ended(&mut self, meter: &mut Meter, now: Micros, key: u64, outcome: Outcome, out: u64) -> bool {
        let Some(a) = self.out.remove(&key) else { return false };
        if a.back == 0 && out == 0 {
            return true;
        }
        let Asker { client, class, site } = a.asker;
        let flow =
            Key { client, class, site, member: a.member, outcome: Some(outcome), ..Key::of(Leg::Member) };
        let latency = Some(now.saturating_sub(a.at));
        meter.count(millis(now), flow, &Update { out, back: a.back, requests: 1, latency });
        true
    }

    /// Bytes from a member and to it that belong to no attempt that is out: probes, words of giving up, late answers.
    pub fn other(meter: &mut Meter, now: Micros, member: Name, out: u64, back: u64) {
        if out + back > 0 {
            let flow = Key { member, ..Key::of(Leg::Member) };
            meter.count(millis(now), flow, &Update { out, back, ..Update::default() });
        }
    }

    /// Attempts that are out.
    pub fn len(&self) -> usize {
        self.out.len()
    }

    /// Whether none is out.
    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }
}

/// Bytes passed on a link to another site: `out` came from there, `back` went there.
pub fn link(meter: &mut Meter, now: Micros, site: Name, out: u64, back: u64) {
    if out + back > 0 {
        let flow = Key { site, ..Key::of(Leg::Link) };
        meter.count(millis(now), flow, &Update { out, back, ..Update::default() });
    }
}

/// A request that came over a link has ended. Its bytes are the link's; only that it was, and how long it took, is told.
pub fn over_link(meter: &mut Meter, now: Micros, asker: Asker, since: Micros, outcome: Outcome) {
    let Asker { class, site, .. } = asker;
    let flow = Key { class, site, outcome: Some(outcome), ..Key::of(Leg::Link) };
    let latency = Some(now.saturating_sub(since));
    meter.count(millis(now), flow, &Update { requests: 1, latency, ..Update::default() });
}

/// Names by number, up to a bound: classes, members, sites. What comes after the last has the name of all others.
#[derive(Debug)]
pub struct Names {
    all: Vec<Box<str>>,
    numbers: HashMap<Box<str>, Name, RandomState>,
    most: usize,
}

/// The name of what found no number.
pub const OTHERS: &str = "(others)";

impl Names {
    /// So many names at most. Number 0 is the empty one.
    pub fn new(most: usize) -> Self {
        Names { all: vec!["".into()], numbers: [("".into(), 0)].into_iter().collect(), most: most.max(2) }
    }

    /// A name's number; the last one there is stands for all that come after.
    pub fn number(&mut self, name: &str) -> Name {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let last = self.all.len() + 1 >= self.most;
        let name = if last { OTHERS } else { name };
        let next = self.all.len() as Name;
        *self.numbers.entry(name.into()).or_insert_with(|| {
            self.all.push(name.into());
            next
        })
    }

    /// The name of a number.
    pub fn name(&self, number: Name) -> &str {
        self.all.get(number as usize).map_or("", |n| n)
    }
}
