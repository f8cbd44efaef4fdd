//! The list of members as the feed tells it, and the numbers by which the module knows them.

use crate::protocol::feed::{Entry, Phase};
use deckproxy_control::interface::{Lifecycle, Member, MemberId};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Where a member is reached: a new process or address makes it another place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Its address.
    pub address: SocketAddr,
    /// When its process started, if told.
    pub started: Option<f64>,
}

struct Known {
    name: Box<str>,
    place: Option<Place>,
    /// As the list has it.
    listed: Member,
    /// It gets nothing new, whatever the list says.
    held_back: bool,
}

impl Known {
    /// As the module is told of it.
    fn told(&self) -> Member {
        match self.listed.lifecycle {
            Lifecycle::Ready if self.held_back => Member { lifecycle: Lifecycle::Draining, ..self.listed },
            _ => self.listed,
        }
    }
}

/// All members that are listed, by number.
#[derive(Default)]
pub struct Members {
    known: HashMap<MemberId, Known>,
    numbers: HashMap<Box<str>, MemberId>,
}

/// FNV-1a: the same number at every gateway, whatever it heard before, as the shared hash needs.
fn number(name: &str) -> MemberId {
    name.bytes().fold(0x811c_9dc5, |h: u32, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

fn position(names: &[String], name: &str) -> Option<u32> {
    // Lists of names reach the settings with blanks and commas replaced.
    let name = name.replace([' ', ','], "_");
    names.iter().position(|n| *n == name).and_then(|i| u32::try_from(i).ok())
}

impl Members {
    /// Takes one entry; none if its zone or kind is not in the settings.
    pub fn take(&mut self, entry: &Entry, zones: &[String], kinds: &[String]) -> Option<Member> {
        let (zone, kind) = (position(zones, &entry.zone)?, position(kinds, &entry.kind)?);
        let id = match self.numbers.get(&entry.id) {
            Some(id) => *id,
            None => {
                let mut id = number(&entry.id);
                while self.known.contains_key(&id) {
                    id = id.wrapping_add(1);
                }
                self.numbers.insert(entry.id.clone(), id);
                let listed = Member { id, lifecycle: Lifecycle::Gone, ..Member::default() };
                let known = Known { name: entry.id.clone(), place: None, listed, held_back: false };
                self.known.insert(id, known);
                id
            }
        };
        let place = entry.address.map(|address| Place { address, started: entry.started });
        let known = self.known.get_mut(&id)?;
        if entry.phase != Phase::Gone || place.is_some() {
            known.place = place;
        }
        known.listed = Member {
            id,
            lifecycle: match entry.phase {
                Phase::Ready => Lifecycle::Ready,
                Phase::Terminating => Lifecycle::Draining,
                Phase::Gone => Lifecycle::Gone,
            },
            started: entry.started,
            weight: entry.size,
            kind,
            zone,
            cell: entry.cell,
        };
        Some(known.told())
    }

    /// All as the list has them, with their names.
    pub fn listed(&self) -> impl Iterator<Item = (&Member, &str)> {
        self.known.values().map(|k| (&k.listed, &*k.name))
    }

    /// Holds these back from now on, and no others. Gives those of which the module is to be told something else.
    pub fn hold_back(&mut self, members: &[MemberId]) -> Vec<Member> {
        let mut changed = Vec::new();
        for (id, known) in &mut self.known {
            let before = known.told();
            known.held_back = members.contains(id);
            let now = known.told();
            if now != before {
                changed.push(now);
            }
        }
        // In one order at every gateway and in every run.
        changed.sort_by_key(|member| member.id);
        changed
    }

    /// Drops one that has left the list.
    pub fn forget(&mut self, id: MemberId) {
        if let Some(known) = self.known.remove(&id) {
            self.numbers.remove(&known.name);
        }
    }

    /// How many are listed.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// All that are listed.
    pub fn ids(&self) -> impl Iterator<Item = MemberId> {
        self.known.keys().copied()
    }

    /// Where a member is reached.
    pub fn place(&self, id: MemberId) -> Option<Place> {
        self.known.get(&id).and_then(|k| k.place)
    }

    /// Its name on the wire.
    pub fn name(&self, id: MemberId) -> Option<&str> {
        self.known.get(&id).map(|k| &*k.name)
    }
}
