//! Who was turned away, here or by another gateway of the fleet, and when each is to come back.
//!
//! A wish is known by 32 bits of client and object; of a hundred thousand that are remembered, a first try is taken for
//! one of them with a chance of one in 43,000, which costs that client a wait. Those turned away here are told the
//! others in pieces of the board: bounded in bytes, the rest is counted and not told.

use crate::Millis;
use crate::instance::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Pieces of the board in which one gateway tells, by turns; wishes in one; between two pieces, ms at least.
pub const PIECES: u64 = 24;
/// See `PIECES`.
const WISHES: usize = 36;
/// See `PIECES`.
const EACH: Millis = 125.0;
/// Unit of times to come back in a piece, ms.
const UNIT: Millis = 20.0;

/// What is known of a wish that was turned away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// When it is to come back; what comes before is hasty.
    pub back: Millis,
    /// There is room kept for it then.
    pub promised: bool,
    /// It may have run: it is turned away no more.
    pub ran: bool,
}

/// Some who were turned away, as the others are told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RejectionBatch {
    /// Its number, one more each time.
    pub number: u64,
    /// Five bytes each: the wish, and when it is to come back, in units after the piece was made; the highest bit: it was
    /// promised.
    pub wishes: Vec<u8>,
}

/// All that are known.
#[derive(Debug)]
pub struct RejectedRequests {
    young: HashMap<u32, Rejection>,
    old: HashMap<u32, Rejection>,
    since: Millis,
    most: usize,
    span: Millis,
    /// To be told.
    untold: Vec<(u32, Rejection)>,
    told: Millis,
    number: u64,
    /// The last piece heard of each author's life.
    heard: BTreeMap<Name, (u64, u64)>,
    /// Pieces heard of each author, with when each was made: one that is restarted has forgotten them.
    pieces: BTreeMap<Name, Vec<(Millis, RejectionBatch)>>,
    /// Turned away here and not told the others, as there was no room for it.
    pub kept_back: u64,
}

impl RejectedRequests {
    /// Remembers so many at least, twice as many at most, for `span` ms at least.
    pub fn new(most: usize, span: Millis) -> Self {
        RejectedRequests {
            young: HashMap::new(),
            old: HashMap::new(),
            since: 0.0,
            most: most.max(1),
            span,
            untold: Vec::new(),
            told: f64::MIN,
            number: 0,
            heard: BTreeMap::new(),
            pieces: BTreeMap::new(),
            kept_back: 0,
        }
    }

    fn put(&mut self, now: Millis, wish: u32, turned: Rejection) {
        // Of two who turned it away, the promise counts, and of two promises the earlier one.
        let known = self.get(wish);
        if self.young.len() >= self.most || now - self.since > self.span {
            self.old = std::mem::take(&mut self.young);
            self.since = now;
        }
        let better =
            known.is_none_or(|k| (turned.promised, -turned.back) > (k.promised, -k.back) || now > k.back);
        let ran = turned.ran || known.is_some_and(|k| k.ran);
        let keep = if better { turned } else { known.unwrap_or(turned) };
        self.young.insert(wish, Rejection { ran, ..keep });
    }

    /// A wish was turned away here.
    pub fn turned(&mut self, now: Millis, wish: u32, turned: Rejection) {
        self.put(now, wish, turned);
        if self.untold.len() < 2 * WISHES {
            self.untold.push((wish, turned));
        } else {
            self.kept_back += 1;
        }
    }

    /// What is known of a wish.
    pub fn get(&self, wish: u32) -> Option<Rejection> {
        self.young.get(&wish).or(self.old.get(&wish)).copied()
    }

    /// It was served: the next one is a first try.
    pub fn served(&mut self, wish: u32) {
        self.young.remove(&wish);
        self.old.remove(&wish);
    }

    /// The next piece to be told, if it is time for one.
    pub fn piece(&mut self, now: Millis) -> Option<RejectionBatch> {
        if self.untold.is_empty() || now - self.told < EACH {
            return None;
        }
        self.told = now;
        self.number += 1;
        let some = self.untold.len().min(WISHES);
        let wishes = self.untold.drain(..some).flat_map(|(wish, turned)| {
            let after = ((turned.back - now) / UNIT).ceil().clamp(0.0, 127.0) as u8;
            let [a, b, c, d] = wish.to_le_bytes();
            [a, b, c, d, after | u8::from(turned.promised) << 7]
        });
        Some(RejectionBatch { number: self.number, wishes: wishes.collect() })
    }

    /// Another gateway's piece, made so long ago.
    pub fn hear(&mut self, now: Millis, author: &Name, life: u64, age: Millis, piece: &RejectionBatch) {
        let last = self.heard.get(author).copied().unwrap_or((0, 0));
        if (life, piece.number) <= last {
            return;
        }
        self.heard.insert(author.clone(), (life, piece.number));
        self.learn(now, age, piece);
        let kept = self.pieces.entry(author.clone()).or_default();
        kept.retain(|(made, _)| now - made < self.span);
        kept.push((now - age, piece.clone()));
    }

    fn learn(&mut self, now: Millis, age: Millis, piece: &RejectionBatch) {
        for five in piece.wishes.chunks_exact(5) {
            let (wish, after) = (u32::from_le_bytes([five[0], five[1], five[2], five[3]]), five[4]);
            let back = now - age + f64::from(after & 127) * UNIT;
            self.put(now, wish, Rejection { back, promised: after > 127, ran: false });
        }
    }

    /// An author has a new life and knows nothing: what the last one said is told again, as ours.
    pub fn inherit(&mut self, now: Millis, author: &Name) {
        for (made, piece) in self.pieces.remove(author).unwrap_or_default() {
            for five in piece.wishes.chunks_exact(5) {
                let wish = u32::from_le_bytes([five[0], five[1], five[2], five[3]]);
                let back = made + f64::from(five[4] & 127) * UNIT;
                if back > now && self.untold.len() < 4 * WISHES {
                    self.untold.push((wish, Rejection { back, promised: five[4] > 127, ran: false }));
                }
            }
        }
    }

    /// Wishes that are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
