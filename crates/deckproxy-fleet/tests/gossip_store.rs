//! The board against a plain model: whatever order, doubling and loss datagrams have, all that hear each other end with the
//! same entries, and those are the last ones that their authors wrote.

use deckproxy_fleet::gossip_store::{Delta, Digest, GossipStore, Key, Limits};
use deckproxy_fleet::instance::Name;
use proptest::prelude::*;
use std::collections::BTreeMap;

const LIFE: u32 = 60_000;
const ROOM: usize = 1000;

fn name(i: usize) -> Name {
    Name::from(format!("n{i}"))
}

fn key(subject: u8) -> Key {
    Key { kind: 1, subject: Name::from(format!("m{subject}")) }
}

#[derive(Clone, Debug)]
enum Step {
    Write(usize, u8, Option<u8>),
    /// One tells another its digest, and what comes of it is lost, late or doubled.
    Tell {
        from: usize,
        to: usize,
        fate: u8,
    },
    Restart(usize),
    /// An old datagram comes again.
    Again(prop::sample::Index),
    Wait(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let n = 0..4usize;
    let step = prop_oneof![
        5 => (n.clone(), 0..6u8, prop::option::weighted(0.8, any::<u8>())).prop_map(|(i, k, v)| Step::Write(i, k, v)),
        8 => (n.clone(), n.clone(), any::<u8>()).prop_map(|(from, to, fate)| Step::Tell { from, to, fate }),
        1 => n.prop_map(Step::Restart),
        3 => any::<prop::sample::Index>().prop_map(Step::Again),
        1 => (0..3000u16).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

/// The last value of each key, with when it was written.
type Written = BTreeMap<Key, (f64, Option<Vec<u8>>)>;

#[derive(Clone)]
enum Sent {
    Digest(usize, Digest),
    Delta(Delta),
}

struct World {
    now: f64,
    boards: Vec<GossipStore>,
    lives: Vec<u64>,
    /// Of each author's present life.
    model: Vec<Written>,
    sent: Vec<(usize, Sent)>,
}

impl World {
    fn new() -> Self {
        let boards = (0..4).map(|i| GossipStore::new(name(i), 1, Limits::default())).collect();
        World { now: 0.0, boards, lives: vec![1; 4], model: vec![BTreeMap::new(); 4], sent: Vec::new() }
    }

    fn get(&mut self, to: usize, what: Sent) {
        match what {
            Sent::Delta(delta) => {
                self.boards[to].take(self.now, delta);
            }
            Sent::Digest(from, digest) => {
                let (delta, ask) = self.boards[to].compare(self.now, &name(from), &digest, ROOM);
                self.sent.push((from, Sent::Delta(delta)));
                self.sent.extend(ask.map(|ask| (from, Sent::Digest(to, ask))));
            }
        }
    }

    /// Delivers all that came of a digest, by fate.
    fn tell(&mut self, from: usize, to: usize, mut fate: u8) {
        let digest = self.boards[from].digest(&name(to));
        let mut first = self.sent.len();
        self.sent.push((to, Sent::Digest(from, digest)));
        while first < self.sent.len() && self.sent.len() < 4000 {
            let (to, what) = self.sent[first].clone();
            let (lost, doubled) = (fate & 1 == 1, fate & 2 == 2);
            fate = fate.rotate_right(2);
            if !lost {
                self.get(to, what.clone());
            }
            if doubled {
                self.get(to, what);
            }
            first += 1;
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Write(i, subject, value) => {
                let value = value.map(|v| vec![v; usize::from(v) % 40]);
                assert!(self.boards[*i].write(self.now, key(*subject), LIFE, value.clone()));
                self.model[*i].insert(key(*subject), (self.now, value));
            }
            Step::Tell { from, to, fate } if from != to => self.tell(*from, *to, *fate),
            Step::Tell { .. } => {}
            Step::Restart(i) => {
                self.lives[*i] += 1;
                self.boards[*i] = GossipStore::new(name(*i), self.lives[*i], Limits::default());
                self.model[*i].clear();
            }
            Step::Again(index) => {
                if !self.sent.is_empty() {
                    let (to, what) = self.sent[index.index(self.sent.len())].clone();
                    self.get(to, what);
                }
            }
            Step::Wait(ms) => self.now += f64::from(*ms),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn all_end_with_what_was_written_last(steps in steps()) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
        // They hear each other for a while.
        for _ in 0..4 {
            for from in 0..4 {
                for to in (0..4).filter(|to| *to != from) {
                    world.tell(from, to, 0);
                }
            }
        }
        for board in &world.boards {
            prop_assert_eq!(board.sum(world.now, &[]), world.boards[0].sum(world.now, &[]));
            for (author, written) in world.model.iter().enumerate() {
                for (key, (at, value)) in written {
                    let here = board.read(world.now, &name(author), key).map(|(_, v)| v.to_vec());
                    // What was written ends its life after that, and nowhere before.
                    let counts = world.now - at < f64::from(LIFE) - 50.0;
                    if counts {
                        prop_assert_eq!(&here, value);
                    } else if world.now - at >= f64::from(LIFE) + 1.0 {
                        prop_assert_eq!(here, None);
                    }
                }
                let said = board.all(world.now, 1).filter(|(a, ..)| **a == name(author)).count();
                prop_assert!(said <= written.len(), "words of an earlier life are left");
            }
        }
    }

    /// An entry ends at the same time everywhere, however long it was on its way, and is not made young again.
    #[test]
    fn age_goes_with_an_entry(hops in prop::collection::vec(0..4000u16, 1..6)) {
        let mut boards: Vec<GossipStore> = (0..=hops.len()).map(|i| GossipStore::new(name(i), 1, Limits::default())).collect();
        boards[0].write(0.0, key(1), 10_000, Some(vec![1]));
        let mut now = 0.0;
        for (i, wait) in hops.iter().enumerate() {
            now += f64::from(*wait);
            let digest = boards[i + 1].digest(&name(i));
            let (delta, _) = boards[i].compare(now, &name(i + 1), &digest, ROOM);
            boards[i + 1].take(now, delta);
            let here = boards[i + 1].read(now, &name(0), &key(1));
            prop_assert!(here.is_none() || now < 10_000.0 + hops.len() as f64);
            if let Some((age, _)) = here {
                prop_assert!((age - now).abs() <= hops.len() as f64, "age {} at {}", age, now);
            }
        }
        for board in &boards {
            prop_assert!(board.read(10_000.0 + hops.len() as f64, &name(0), &key(1)).is_none());
        }
    }
}

#[test]
fn bounds_hold_and_are_counted() {
    let limits = Limits { authors: 3, entries: 2 };
    let mut writer = GossipStore::new(name(1), 1, Limits::default());
    (0..5).for_each(|i| assert!(writer.write(0.0, key(i), LIFE, Some(vec![0]))));
    assert!(!writer.write(0.0, key(9), LIFE, Some(vec![0; 201])), "a value over 200 bytes");
    let mut reader = GossipStore::new(name(0), 1, limits);
    let taken = reader.take(0.0, writer.news(0.0, 0, ROOM));
    assert_eq!((taken.fresh, taken.over), (2, 3));
    for i in 2..8 {
        let mut other = GossipStore::new(name(i), 1, Limits::default());
        other.write(0.0, key(0), LIFE, Some(vec![0]));
        reader.take(0.0, other.news(0.0, 0, ROOM));
    }
    assert_eq!(reader.sizes().0, 3, "authors");
    let mut own = GossipStore::new(name(0), 1, limits);
    assert!(own.write(0.0, key(0), LIFE, None) && own.write(0.0, key(1), LIFE, None));
    assert!(!own.write(0.0, key(2), LIFE, None), "a third key");
    assert!(own.write(0.0, key(1), LIFE, Some(vec![1])), "a known one");
}

#[test]
fn what_does_not_fit_follows_in_the_next_rounds() {
    let mut writer = GossipStore::new(name(1), 1, Limits::default());
    for i in 0..200u8 {
        writer.write(
            0.0,
            Key { kind: 1, subject: Name::from(format!("member-{i}")) },
            LIFE,
            Some(vec![i; 30]),
        );
    }
    let mut reader = GossipStore::new(name(0), 1, Limits::default());
    let mut rounds = 0;
    while reader.sum(0.0, &[]) != writer.sum(0.0, &[]) {
        let digest = reader.digest(&name(1));
        let (delta, _) = writer.compare(0.0, &name(0), &digest, ROOM);
        reader.take(0.0, delta);
        rounds += 1;
        assert!(rounds < 40, "{:?}", reader.sizes());
    }
    assert!(rounds > 5, "a datagram is bounded");
}

/// The checker's own check: a board that believes an earlier life is seen.
#[test]
fn a_board_that_believes_an_old_life_would_be_seen() {
    let mut old = GossipStore::new(name(1), 1, Limits::default());
    old.write(0.0, key(1), LIFE, Some(vec![7]));
    let mut new = GossipStore::new(name(1), 2, Limits::default());
    new.write(0.0, key(2), LIFE, Some(vec![8]));
    let mut reader = GossipStore::new(name(0), 1, Limits::default());
    reader.take(0.0, new.news(0.0, 0, ROOM));
    let taken = reader.take(0.0, old.news(0.0, 0, ROOM));
    assert_eq!((taken.fresh, taken.old_lives), (0, 1));
    let sum = reader.sum(0.0, &[]);
    let mut believer = GossipStore::new(name(2), 1, Limits::default());
    believer.take(0.0, old.news(0.0, 0, ROOM));
    assert_ne!(believer.sum(0.0, &[]), sum);
}
