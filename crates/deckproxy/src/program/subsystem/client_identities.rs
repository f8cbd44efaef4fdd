//! Identities of clients, for limits on what one client may do.

use super::event::Event;
use crate::routing::ClientId;
use std::collections::HashMap;
use std::net::IpAddr;

/// Identities of clients: their connections or, where asked for, their addresses.
#[derive(Debug, Default)]
pub struct ClientIdentities {
    addresses: Option<HashMap<ClientId, u64>>,
}

impl ClientIdentities {
    /// Identifies clients by their addresses, or by their connections.
    pub fn by_address(addresses: bool) -> Self {
        ClientIdentities { addresses: addresses.then(HashMap::new) }
    }

    /// Whether clients' addresses are wanted.
    pub fn wants_addresses(&self) -> bool {
        self.addresses.is_some()
    }

    /// Takes up clients that came and went. To be called last for an event: a client that has gone is not known
    /// afterwards.
    pub fn event(&mut self, event: &Event<'_>) {
        let Some(all) = &mut self.addresses else { return };
        match event {
            Event::ClientConnected { client, address: Some(address) } => {
                all.insert(*client, address_number(*address));
            }
            Event::ClientGone { client, .. } => {
                all.remove(client);
            }
            _ => {}
        }
    }

    /// The number that identifies a client, also over several connections where it is identified by its address.
    pub fn identity(&self, id: ClientId) -> u64 {
        self.addresses.as_ref().and_then(|all| all.get(&id).copied()).unwrap_or(id)
    }
}

fn address_number(address: IpAddr) -> u64 {
    match address.to_canonical() {
        IpAddr::V4(v4) => u64::from(u32::from(v4)),
        // Of IPv6 the network's half: a client has many addresses in it.
        IpAddr::V6(v6) => (u128::from(v6) >> 64) as u64,
    }
}
