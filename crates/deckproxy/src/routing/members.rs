//! The member list of the feed, and the ids of its members in the decision module.

use crate::protocol::feed::MemberEntry;
use deckproxy_control::interface::{Lifecycle, Member, MemberId};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Where a member is reached. A restart of its process or a new address makes a different endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The member's address.
    pub address: SocketAddr,
    /// When its process started, Unix ms, if the list says so.
    pub started: Option<f64>,
}

struct ListedMember {
    /// The name on the wire.
    name: Box<str>,
    /// The endpoint, if the list gave an address.
    endpoint: Option<Endpoint>,
    /// The state in the list.
    listed: Member,
    /// Whether it is ejected: it gets no new requests, whatever the list says.
    ejected: bool,
}

impl ListedMember {
    /// The state that the decision module sees.
    fn effective(&self) -> Member {
        match self.listed.lifecycle {
            Lifecycle::Ready if self.ejected => Member { lifecycle: Lifecycle::Draining, ..self.listed },
            _ => self.listed,
        }
    }
}

/// All listed members, by id.
#[derive(Default)]
pub struct Members {
    by_id: HashMap<MemberId, ListedMember>,
    ids: HashMap<Box<str>, MemberId>,
    /// The members that are ejected.
    ejected: BTreeSet<MemberId>,
}

/// FNV-1a: gives a name the same id at every gateway, independent of earlier lists, as rendezvous hashing requires.
fn hash(name: &str) -> MemberId {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}

/// The index of a name in a list of the settings.
fn position(names: &[String], name: &str) -> Option<u32> {
    // In the settings, spaces and commas in names are replaced by underscores.
    let name = name.replace([' ', ','], "_");
    names.iter().position(|other| *other == name).and_then(|i| u32::try_from(i).ok())
}

impl Members {
    /// Applies an entry of the member list and returns the member's effective state; `None` if the settings do not
    /// contain its zone or kind.
    pub fn apply_entry(&mut self, entry: &MemberEntry, zones: &[String], kinds: &[String]) -> Option<Member> {
        let (zone, kind) = (position(zones, &entry.zone)?, position(kinds, &entry.kind)?);
        let id = self.id_of(&entry.id);
        let endpoint = entry.address.map(|address| Endpoint { address, started: entry.started });
        let member = self.by_id.get_mut(&id)?;
        // An entry of a gone member without an address keeps the known one, for attempts in flight.
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

    /// The member of an entry, if the entry gives it another endpoint than the one known until now.
    pub fn replaced_by(&self, entry: &MemberEntry) -> Option<MemberId> {
        let id = *self.ids.get(&*entry.id)?;
        let (known, address) = (self.endpoint(id)?, entry.address?);
        (known != Endpoint { address, started: entry.started }).then_some(id)
    }

    /// The id of a member's name; adds the member if the name is new.
    fn id_of(&mut self, name: &str) -> MemberId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = hash(name);
        // On a collision, the next free id, which depends on the order in which the members were listed.
        while self.by_id.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        let listed = Member { id, lifecycle: Lifecycle::Gone, ..Member::default() };
        self.ids.insert(name.into(), id);
        self.by_id.insert(id, ListedMember { name: name.into(), endpoint: None, listed, ejected: false });
        id
    }

    /// All members in their listed state, with their names.
    pub fn listed(&self) -> impl Iterator<Item = (&Member, &str)> {
        self.by_id.values().map(|member| (&member.listed, &*member.name))
    }

    /// A member in its listed state, with its name.
    pub fn listed_member(&self, id: MemberId) -> Option<(&Member, &str)> {
        self.by_id.get(&id).map(|member| (&member.listed, &*member.name))
    }

    /// Ejects exactly these members. Returns the members whose effective state changed.
    pub fn set_ejected(&mut self, ejected: &[MemberId]) -> Vec<Member> {
        let ejected = ejected.iter().copied().filter(|id| self.by_id.contains_key(id)).collect();
        let previous = std::mem::replace(&mut self.ejected, ejected);
        // By ascending id, so that all gateways pass on the changes in the same order.
        let toggled: Vec<MemberId> = previous.symmetric_difference(&self.ejected).copied().collect();
        toggled.into_iter().filter_map(|id| self.set_ejected_flag(id)).collect()
    }

    /// Sets whether a member is ejected as the set says. Returns the member if its effective state changed.
    fn set_ejected_flag(&mut self, id: MemberId) -> Option<Member> {
        let member = self.by_id.get_mut(&id)?;
        let before = member.effective();
        member.ejected = self.ejected.contains(&id);
        let after = member.effective();
        (after != before).then_some(after)
    }

    /// Removes a member that is no longer listed.
    pub fn remove(&mut self, id: MemberId) {
        if let Some(member) = self.by_id.remove(&id) {
            self.ids.remove(&member.name);
            self.ejected.remove(&id);
        }
    }

    /// Number of listed members.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no member is listed.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The ids of all listed members, in no particular order.
    pub fn ids(&self) -> impl Iterator<Item = MemberId> {
        self.by_id.keys().copied()
    }

    /// A member's endpoint.
    pub fn endpoint(&self, id: MemberId) -> Option<Endpoint> {
        self.by_id.get(&id).and_then(|member| member.endpoint)
    }

    /// A member's name on the wire.
    pub fn name(&self, id: MemberId) -> Option<&str> {
        self.by_id.get(&id).map(|member| &*member.name)
    }
}
