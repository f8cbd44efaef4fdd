//! Compares the gossip store with a simple model: regardless of reordering, duplication and loss of datagrams, all stores
//! converge to the same entries, which are the last ones that their authors wrote.

use deckproxy_fleet::gossip_store::{Delta, Digest, EntryView, GossipStore, Key, Limits};
use deckproxy_fleet::instance::Name;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Time to live of entries, in milliseconds.
const TTL: u32 = 60_000;
/// Maximum size of a delta, in bytes.
const BUDGET: usize = 1000;

fn name(i: usize) -> Name {
    Name::from(format!("n{i}"))
}

fn key(subject: u8) -> Key {
    Key { kind: 1, subject: Name::from(format!("m{subject}")) }
}

#[derive(Clone, Debug)]
enum Step {
    Write(usize, u8, Option<u8>),
    /// One instance sends its digest to another; `fault_bits` decides which of the resulting messages are lost or duplicated:
    /// two bits for each message.
    Exchange {
        from: usize,
        to: usize,
        fault_bits: u8,
    },
    Restart(usize),
    /// An old message is delivered again.
    Replay(prop::sample::Index),
    Wait(u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let n = 0..4usize;
    let step = prop_oneof![
        5 => (n.clone(), 0..6u8, prop::option::weighted(0.8, any::<u8>())).prop_map(|(i, k, v)| Step::Write(i, k, v)),
        8 => (n.clone(), n.clone(), any::<u8>()).prop_map(|(from, to, fault_bits)| Step::Exchange { from, to, fault_bits }),
        1 => n.prop_map(Step::Restart),
        3 => any::<prop::sample::Index>().prop_map(Step::Replay),
        1 => (0..3000u16).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

/// The last value of each key, and when it was written.
type Written = BTreeMap<Key, (f64, Option<Vec<u8>>)>;

#[derive(Clone)]
enum Sent {
    Digest(usize, Digest),
    Delta(Delta),
}

struct Network {
    now: f64,
    stores: Vec<GossipStore>,
    incarnations: Vec<u64>,
    /// The entries that each author has written in its current incarnation.
    model: Vec<Written>,
    sent: Vec<(usize, Sent)>,
}

impl Network {
    fn new() -> Self {
        let stores = (0..4).map(|i| GossipStore::new(name(i), 1, Limits::default())).collect();
        Network {
            now: 0.0,
            stores,
            incarnations: vec![1; 4],
            model: vec![BTreeMap::new(); 4],
            sent: Vec::new(),
        }
    }

    fn deliver(&mut self, to: usize, message: Sent) {
        match message {
            Sent::Delta(delta) => {
                self.stores[to].merge(self.now, delta);
            }
            Sent::Digest(from, digest) => {
                let comparison = self.stores[to].compare(self.now, &name(from), &digest, BUDGET);
                self.sent.push((from, Sent::Delta(comparison.delta)));
                self.sent.extend(comparison.request.map(|request| (from, Sent::Digest(to, request))));
            }
        }
    }

    /// Delivers a digest and all resulting messages, except those that are lost: the lowest bit of `fault_bits` drops
    /// a message, the next one duplicates it, and the next two are for the next message.
    fn exchange(&mut self, from: usize, to: usize, mut fault_bits: u8) {
        let digest = self.stores[from].digest(&name(to));
        let mut first = self.sent.len();
        self.sent.push((to, Sent::Digest(from, digest)));
        while first < self.sent.len() && self.sent.len() < 4000 {
            let (to, message) = self.sent[first].clone();
            let (lost, duplicated) = (fault_bits & 1 == 1, fault_bits & 2 == 2);
            fault_bits = fault_bits.rotate_right(2);
            if !lost {
                self.deliver(to, message.clone());
            }
            if duplicated {
                self.deliver(to, message);
            }
            first += 1;
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Write(i, subject, value) => {
                let value = value.map(|v| vec![v; usize::from(v) % 40]);
                assert!(self.stores[*i].write(self.now, key(*subject), TTL, value.clone()));
                self.model[*i].insert(key(*subject), (self.now, value));
            }
            Step::Exchange { from, to, fault_bits } if from != to => self.exchange(*from, *to, *fault_bits),
            Step::Exchange { .. } => {}
            Step::Restart(i) => {
                self.incarnations[*i] += 1;
                self.stores[*i] = GossipStore::new(name(*i), self.incarnations[*i], Limits::default());
                self.model[*i].clear();
            }
            Step::Replay(index) => {
                if !self.sent.is_empty() {
                    let (to, message) = self.sent[index.index(self.sent.len())].clone();
                    self.deliver(to, message);
                }
            }
            Step::Wait(ms) => self.now += f64::from(*ms),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn all_stores_end_with_the_last_writes(steps in steps()) {
        let mut network = Network::new();
        for step in &steps {
            network.step(step);
        }
        // Several rounds in which no message is lost.
        for _ in 0..4 {
            for from in 0..4 {
                for to in (0..4).filter(|to| *to != from) {
                    network.exchange(from, to, 0);
                }
            }
        }
        for store in &network.stores {
            prop_assert_eq!(store.checksum(network.now, &[]), network.stores[0].checksum(network.now, &[]));
            for (author, written) in network.model.iter().enumerate() {
                for (key, (at, value)) in written {
                    let here = store.read(network.now, &name(author), key).map(|entry| entry.value.to_vec());
                    // An entry expires when its time to live since it was written has elapsed, and in no store earlier.
                    let is_live = network.now - at < f64::from(TTL) - 50.0;
                    if is_live {
                        prop_assert_eq!(&here, value);
                    } else if network.now - at >= f64::from(TTL) + 1.0 {
                        prop_assert_eq!(here, None);
                    }
                }
                let entries = store.entries_of_kind(network.now, 1);
                let present = entries.filter(|entry| *entry.author == name(author)).count();
                prop_assert!(present <= written.len(), "entries of an earlier incarnation remain");
            }
        }
    }

    /// An entry expires at the same time in all stores, however long it was in transit.
    #[test]
    fn an_entry_keeps_its_age_when_it_is_passed_on(hops in prop::collection::vec(0..4000u16, 1..6)) {
        let mut stores: Vec<GossipStore> = (0..=hops.len()).map(|i| GossipStore::new(name(i), 1, Limits::default())).collect();
        stores[0].write(0.0, key(1), 10_000, Some(vec![1]));
        let mut now = 0.0;
        for (i, wait) in hops.iter().enumerate() {
            now += f64::from(*wait);
            let digest = stores[i + 1].digest(&name(i));
            let delta = stores[i].compare(now, &name(i + 1), &digest, BUDGET).delta;
            stores[i + 1].merge(now, delta);
            let here = stores[i + 1].read(now, &name(0), &key(1));
            prop_assert!(here.is_none() || now < 10_000.0 + hops.len() as f64);
            if let Some(EntryView { age, .. }) = here {
                prop_assert!((age - now).abs() <= hops.len() as f64, "age {} at {}", age, now);
            }
        }
        for store in &stores {
            prop_assert!(store.read(10_000.0 + hops.len() as f64, &name(0), &key(1)).is_none());
        }
    }
}

#[test]
fn limits_hold_and_dropped_entries_are_counted() {
    let limits = Limits { authors: 3, entries: 2 };
    let mut writer = GossipStore::new(name(1), 1, Limits::default());
    (0..5).for_each(|i| assert!(writer.write(0.0, key(i), TTL, Some(vec![0]))));
    assert!(!writer.write(0.0, key(9), TTL, Some(vec![0; 201])), "a value over 200 bytes");
    let mut reader = GossipStore::new(name(0), 1, limits);
    let outcome = reader.merge(0.0, writer.own_entries_after(0.0, 0, BUDGET));
    assert_eq!((outcome.new_entries, outcome.over_limit), (2, 3));
    for i in 2..8 {
        let mut other = GossipStore::new(name(i), 1, Limits::default());
        other.write(0.0, key(0), TTL, Some(vec![0]));
        reader.merge(0.0, other.own_entries_after(0.0, 0, BUDGET));
    }
    assert_eq!(reader.size().authors, 3, "the limit on authors");
    let mut own = GossipStore::new(name(0), 1, limits);
    assert!(own.write(0.0, key(0), TTL, None) && own.write(0.0, key(1), TTL, None));
    assert!(!own.write(0.0, key(2), TTL, None), "a third key");
    assert!(own.write(0.0, key(1), TTL, Some(vec![1])), "an existing key");
}

#[test]
fn entries_that_do_not_fit_follow_in_the_next_rounds() {
    let mut writer = GossipStore::new(name(1), 1, Limits::default());
    for i in 0..200u8 {
        writer.write(
            0.0,
            Key { kind: 1, subject: Name::from(format!("member-{i}")) },
            TTL,
            Some(vec![i; 30]),
        );
    }
    let mut reader = GossipStore::new(name(0), 1, Limits::default());
    let mut rounds = 0;
    while reader.checksum(0.0, &[]) != writer.checksum(0.0, &[]) {
        let digest = reader.digest(&name(1));
        let delta = writer.compare(0.0, &name(0), &digest, BUDGET).delta;
        reader.merge(0.0, delta);
        rounds += 1;
        assert!(rounds < 40, "{:?}", reader.size());
    }
    assert!(rounds > 5, "a datagram is bounded");
}

/// Entries of a stale incarnation are dropped. A store that has merged them has another checksum, so that the comparison of
/// checksums in the other tests detects this fault.
#[test]
fn a_store_with_a_stale_incarnation_has_another_checksum() {
    let mut old = GossipStore::new(name(1), 1, Limits::default());
    old.write(0.0, key(1), TTL, Some(vec![7]));
    let mut new = GossipStore::new(name(1), 2, Limits::default());
    new.write(0.0, key(2), TTL, Some(vec![8]));
    let mut reader = GossipStore::new(name(0), 1, Limits::default());
    reader.merge(0.0, new.own_entries_after(0.0, 0, BUDGET));
    let outcome = reader.merge(0.0, old.own_entries_after(0.0, 0, BUDGET));
    assert_eq!((outcome.new_entries, outcome.stale_incarnations), (0, 1));
    let sum = reader.checksum(0.0, &[]);
    let mut stale = GossipStore::new(name(2), 1, Limits::default());
    stale.merge(0.0, old.own_entries_after(0.0, 0, BUDGET));
    assert_ne!(stale.checksum(0.0, &[]), sum);
}
