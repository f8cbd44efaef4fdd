//! Purges on both sides of a link.
//!
//! Each gateway numbers the purges that it hears of, those of its own feed and those that other sites relay, in one
//! log. Every peer says which number it has, and is sent what follows. A peer's word that its log ends at a number
//! which we have counts from the moment at which we asked for it, on our own clock: so no difference of clocks and no
//! delay of the link can make it seem younger than it is.

use crate::frame::{Beat, Hello, Purge};
use crate::{Millis, TrustLimits};
use std::collections::{HashMap, HashSet, VecDeque};

/// Purges kept, at most; should more come within their life, the peers that lack the dropped ones find the gap.
const KEPT: usize = 65_536;
/// Part of the grace after which a purge is obeyed: the news of it was on its way for a time that is not known, and the
/// lease ends before that is as long as the rest.
const OBEY: f64 = 0.5;
/// Weight of a new reading of a clock's difference.
const SKEW_WEIGHT: f64 = 0.2;

/// A purge of an object, or of a whole group where there is none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    /// The object.
    pub object: Option<u64>,
    /// The group.
    pub group: u32,
    /// Time since the purge.
    pub age: Millis,
}

#[derive(Clone, Debug)]
struct Entry {
    number: u64,
    object: Option<u64>,
    group: u32,
    /// When it was, and when this or the first site was told, at the latest, on our clock.
    at: Millis,
    told: Millis,
    path: Vec<String>,
    origin: (u64, u64),
}

/// What is known of a peer site's log.
#[derive(Clone, Debug, Default)]
struct Book {
    site: String,
    /// When it last said something.
    heard: Millis,
    /// The last of its numbers that came.
    has: u64,
    /// Our time at which its log held no more than we have.
    vouched: Option<Millis>,
    /// Until when a purge that we missed may have left a copy.
    doubt: Millis,
    /// Its clock less ours.
    skew: Option<f64>,
    /// The last of ours that it has.
    acknowledged: u64,
}

/// Why copies of a site's objects are not trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Nothing was heard within the lease.
    Lease,
    /// Purges may have been missed.
    Missed,
    /// The clocks differ too much.
    Clock,
}

/// The log of purges, and what is known of the peers'.
#[derive(Debug)]
pub struct Purges {
    limits: TrustLimits,
    own: String,
    epoch: u64,
    /// Since when all of our own purges are in the log.
    since: Millis,
    next: u64,
    log: VecDeque<Entry>,
    /// Purges by the names that they got where they were told.
    seen: HashSet<(u64, u64)>,
    /// When purges were, and when they were told, by what they void.
    objects: HashMap<u64, Vec<(Millis, Millis)>>,
    groups: HashMap<u32, Vec<(Millis, Millis)>>,
    /// By the epochs of the peers' processes: a site may have several gateways, each with a log of its own.
    books: HashMap<u64, Book>,
    /// Gaps found in peers' logs.
    pub gaps: u64,
}

impl Purges {
    /// An empty log of a process that has just started.
    pub fn new(own: &str, epoch: u64, limits: TrustLimits, now: Millis) -> Self {
        Purges {
            limits,
            own: own.to_string(),
            epoch,
            since: now - limits.known,
            next: 1,
            log: VecDeque::new(),
            seen: HashSet::new(),
            objects: HashMap::new(),
            groups: HashMap::new(),
            books: HashMap::new(),
            gaps: 0,
        }
    }

    /// The number of the last one.
    pub fn last(&self) -> u64 {
        self.next - 1
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.log.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.log.is_empty()
    }

    /// The site's own feed told a purge. Gives its number.
    pub fn told(&mut self, now: Millis, news: News) -> u64 {
        let origin = (self.epoch, self.next);
        self.enter(news, now - news.age, now, Vec::new(), origin)
    }

    fn enter(&mut self, news: News, at: Millis, told: Millis, path: Vec<String>, origin: (u64, u64)) -> u64 {
        let number = self.next;
        self.next += 1;
        self.seen.insert(origin);
        let since = match news.object {
            Some(object) => self.objects.entry(object).or_default(),
            None => self.groups.entry(news.group).or_default(),
        };
        since.push((at, told));
        self.log.push_back(Entry { number, object: news.object, group: news.group, at, told, path, origin });
        while self.log.len() > KEPT {
            self.drop_first();
        }
        number
    }

    fn drop_first(&mut self) {
        let Some(entry) = self.log.pop_front() else { return };
        self.seen.remove(&entry.origin);
        let forget = |all: &mut Vec<(Millis, Millis)>| {
            all.retain(|one| *one != (entry.at, entry.told));
            all.is_empty()
        };
        match entry.object {
            Some(object) => {
                if self.objects.get_mut(&object).is_some_and(forget) {
                    self.objects.remove(&object);
                }
            }
            None => {
                if self.groups.get_mut(&entry.group).is_some_and(forget) {
                    self.groups.remove(&entry.group);
                }
            }
        }
    }

    /// Forgets purges whose copies are gone by themselves.
    pub fn tick(&mut self, now: Millis) {
        while self.log.front().is_some_and(|e| now - e.at.max(e.told) > self.limits.copy_life) {
            self.drop_first();
        }
        let life = 2.0 * self.limits.copy_life;
        self.books.retain(|_, book| now - book.heard <= life);
    }

    /// A relayed purge came. Where it is new here, gives what the router is to hear, and the number under which it
    /// goes on to other peers.
    pub fn received(&mut self, now: Millis, from: u64, purge: Purge) -> Option<(News, u64)> {
        let book = self.books.get_mut(&from)?;
        book.heard = now;
        if purge.number <= book.has {
            return None;
        }
        if purge.number != book.has + 1 {
            book.doubt = book.doubt.max(now + self.limits.copy_life);
            self.gaps += 1;
        }
        book.has = purge.number;
        let origin = (purge.origin_epoch, purge.origin_number);
        let site = book.site.clone();
        if self.seen.contains(&origin) || purge.path.contains(&self.own) {
            return None;
        }
        // The time on the way is not known. Taken as none, the purge seems younger, and voids more, never less.
        let news = News { object: purge.object, group: purge.group, age: purge.age.max(0.0) };
        let mut path = purge.path;
        path.push(site);
        let number = self.enter(news, now - news.age, now - purge.told.max(0.0), path, origin);
        Some((news, number))
    }

    /// The purges that a peer lacks, from a number on, as they are told it now. Those that came by it are known to
    /// it; their numbers go all the same, so that it finds no gap.
    pub fn after(&self, now: Millis, has: u64) -> impl Iterator<Item = Purge> {
        let from = self.log.partition_point(|e| e.number <= has);
        self.log.range(from..).map(move |e| Purge {
            number: e.number,
            object: e.object,
            group: e.group,
            age: now - e.at,
            told: now - e.told,
            path: e.path.clone(),
            origin_epoch: e.origin.0,
            origin_number: e.origin.1,
        })
    }

    /// Fills in a hello's part on purges. `to`: the epoch of the process that it goes to, where that is known.
    pub fn greet(&self, now: Millis, to: Option<u64>, hello: Hello) -> Hello {
        let book = to.and_then(|epoch| self.books.get(&epoch));
        Hello {
            epoch: self.epoch,
            purges: book.map_or(0, |b| b.has),
            purges_epoch: to.unwrap_or(0),
            complete: now - self.since,
            ..hello
        }
    }

    /// A peer said hello. Gives the number after which it is to be sent our purges.
    pub fn greeted(&mut self, now: Millis, hello: &Hello) -> u64 {
        let life = self.limits.copy_life;
        let book = self.books.entry(hello.epoch).or_insert_with(|| {
            // A process that is new to us: what was told before it started, it may not know.
            let unknown = (life - hello.complete.max(0.0)).max(0.0);
            Book { site: hello.site.clone(), doubt: now + unknown, ..Book::default() }
        });
        book.heard = now;
        let has = if hello.purges_epoch == self.epoch { hello.purges } else { 0 };
        let has = has.min(self.next - 1);
        book.acknowledged = book.acknowledged.max(has);
        has
    }

    /// A peer answered a heartbeat that was sent at `asked` on our clock, and came back when that showed `clock` of
    /// Unix time.
    pub fn vouched(&mut self, now: Millis, clock: Millis, from: u64, asked: Millis, beat: &Beat) {
        let Some(book) = self.books.get_mut(&from) else { return };
        book.heard = now;
        book.acknowledged = book.acknowledged.max(beat.has);
        let skew = beat.clock - (clock - (now - asked) / 2.0);
        book.skew = Some(book.skew.map_or(skew, |old| old + SKEW_WEIGHT * (skew - old)));
        if book.has >= beat.purges {
            book.vouched = Some(book.vouched.map_or(asked, |old| old.max(asked)));
        }
    }

    /// Whether this side may answer from copies of a site's objects; if not, why. One of its gateways is enough: each
    /// hears all that its site is told.
    pub fn trust(&self, now: Millis, home: &str) -> Result<(), Doubt> {
        let books = self.books.values().filter(|b| b.site == home);
        let worst = Err(Doubt::Lease);
        books
            .map(|book| self.trust_book(now, book))
            .fold(worst, |found, one| if found.is_ok() { found } else { one })
    }

    fn trust_book(&self, now: Millis, book: &Book) -> Result<(), Doubt> {
        if book.vouched.is_none_or(|at| now - at >= self.limits.lease) {
            return Err(Doubt::Lease);
        }
        if now < book.doubt {
            return Err(Doubt::Missed);
        }
        match book.skew {
            Some(skew) if skew.abs() <= self.limits.skew => Ok(()),
            _ => Err(Doubt::Clock),
        }
    }

    /// The largest difference between a site's clocks and ours, where one is known.
    pub fn skew(&self, site: &str) -> Option<f64> {
        let known = self.books.values().filter(|b| b.site == site).filter_map(|b| b.skew);
        known.max_by(|a, b| a.abs().total_cmp(&b.abs()))
    }

    /// The last of our numbers that a peer's process has.
    pub fn acknowledged(&self, epoch: u64) -> u64 {
        self.books.get(&epoch).map_or(0, |b| b.acknowledged)
    }

    /// The last of a peer's numbers that we have.
    pub fn has(&self, epoch: u64) -> u64 {
        self.books.get(&epoch).map_or(0, |b| b.has)
    }

    /// Whether a copy that the origin gave out at that time, or later, may answer now: no purge of it is to be obeyed.
    pub fn may_answer(&self, now: Millis, object: u64, group: u32, issued: Millis) -> bool {
        let due = now - self.limits.grace * OBEY;
        let voids = |all: Option<&Vec<(Millis, Millis)>>| {
            all.is_some_and(|all| all.iter().any(|(at, told)| *at > issued && *told <= due))
        };
        !voids(self.objects.get(&object)) && !voids(self.groups.get(&group))
    }
}
