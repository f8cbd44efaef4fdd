//! The list of members as the feed sends it, and the numbers by which the decision module knows them.

use crate::protocol::feed::MemberEntry;
use deckproxy_control::interface::{Lifecycle, Member, MemberId};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Where a member is reached: a new process or a new address makes another endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Its address.
    pub address: SocketAddr,
    /// When its process started, Unix ms, where the list says so.
    pub started: Option<f64>,
}

struct ListedMember {
    /// Its name on the wire.
    name: Box<str>,
    /// Where it is reached, if the list gave an address.
    endpoint: Option<Endpoint>,
    /// As the list has it.
    listed: Member,
    /// It gets nothing new, whatever the list says.
    ejected: bool,
}

impl ListedMember {
    /// As the decision module gets it.
    fn effective(&self) -> Member {
        match self.listed.lifecycle {
            Lifecycle::Ready if self.ejected => Member { lifecycle: Lifecycle::Draining, ..self.listed },
            _ => self.listed,
        }
    }
}

/// All members that are listed, by number.
#[derive(Default)]
pub struct Members {
    by_id: HashMap<MemberId, ListedMember>,
    ids: HashMap<Box<str>, MemberId>,
}

/// FNV-1a: the same number at every gateway, whatever it received before, as the shared hash needs.
fn hash(name: &str) -> MemberId {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}

/// The position of a name in a list of the settings.
fn position(names: &[String], name: &str) -> Option<u32> {
    // Lists of names reach the settings with blanks and commas replaced.
    let name = name.replace([' ', ','], "_");
    names.iter().position(|other| *other == name).and_then(|i| u32::try_from(i).ok())
}

impl Members {
    /// Takes one entry of the list; none if its zone or kind is not in the settings.
    pub fn take(&mut self, entry: &MemberEntry, zones: &[String], kinds: &[String]) -> Option<Member> {
        let (zone, kind) = (position(zones, &entry.zone)?, position(kinds, &entry.kind)?);
        let id = self.id_of(&entry.id);
        let endpoint = entry.address.map(|address| Endpoint { address, started: entry.started });
        let member = self.by_id.get_mut(&id)?;
        if entry.lifecycle != Lifecycle::Gone || endpoint.is_some() {
            member.endpoint = endpoint;
        }
        member.listed = Member {
            id,
            lifecycle: entry.lifecycle,
            started: entry.started,
            weight: entry.size,
            kind,
            zone,
            cell: entry.cell,
        };
        Some(member.effective())
    }

    /// The number of a name, which is entered where it is new.
    fn id_of(&mut self, name: &str) -> MemberId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = hash(name);
        while self.by_id.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        let listed = Member { id, lifecycle: Lifecycle::Gone, ..Member::default() };
        self.ids.insert(name.into(), id);
        self.by_id.insert(id, ListedMember { name: name.into(), endpoint: None, listed, ejected: false });
        id
    }

    /// All as the list has them, with their names.
    pub fn listed(&self) -> impl Iterator<Item = (&Member, &str)> {
        self.by_id.values().map(|member| (&member.listed, &*member.name))
    }

    /// Ejects these members from now on, and no others. Returns those whose effective state changed.
    pub fn set_ejected(&mut self, ejected: &[MemberId]) -> Vec<Member> {
        let mut changed = Vec::new();
        for (id, member) in &mut self.by_id {
            let before = member.effective();
            member.ejected = ejected.contains(id);
            let now = member.effective();
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
        if let Some(member) = self.by_id.remove(&id) {
            self.ids.remove(&member.name);
        }
    }

    /// How many are listed.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The numbers of all that are listed, in no order.
    pub fn ids(&self) -> impl Iterator<Item = MemberId> {
        self.by_id.keys().copied()
    }

    /// Where a member is reached.
    pub fn endpoint(&self, id: MemberId) -> Option<Endpoint> {
        self.by_id.get(&id).and_then(|member| member.endpoint)
    }

    /// Its name on the wire.
    pub fn name(&self, id: MemberId) -> Option<&str> {
        self.by_id.get(&id).map(|member| &*member.name)
    }
}
