//! Client identities, for limits per client.

use super::event::Event;
use crate::routing::ClientId;
use std::collections::HashMap;
use std::net::IpAddr;

/// Identifies clients by connection or, if so configured, by address.
#[derive(Debug, Default)]
pub struct ClientIdentities {
    /// The number of each connected client's address; none if clients are identified by connection.
    addresses: Option<HashMap<ClientId, u64>>,
}

impl ClientIdentities {
    /// Identifies clients by their addresses if `addresses` is set, else by their connections.
    pub fn by_address(addresses: bool) -> Self {
        ClientIdentities { addresses: addresses.then(HashMap::new) }
    }

    /// Whether connect events have to carry the client's address.
    pub fn wants_addresses(&self) -> bool {
        self.addresses.is_some()
    }

    /// Records clients that connect and removes those that disconnect. Must be the last step of handling an event, as
    /// the address of a disconnected client is unknown afterwards.
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

    /// The number that identifies a client; the same for all its connections if it is identified by address.
    pub fn identity(&self, id: ClientId) -> u64 {
        self.addresses.as_ref().and_then(|all| all.get(&id).copied()).unwrap_or(id)
    }
}

fn address_number(address: IpAddr) -> u64 {
    match address.to_canonical() {
        IpAddr::V4(v4) => u64::from(u32::from(v4)),
        // IPv6: the upper 64 bits, as one client may use many addresses of its /64 network.
        IpAddr::V6(v6) => (u128::from(v6) >> 64) as u64,
    }
}
