//! Many requests for one object of the other site at a time: how many of them cross.

use super::{LinkPath, SitePair};
use crate::measure::show;
use crate::output::print_line;
use crate::traffic;
use deckproxy_standins::record::Fact;
use deckproxy_standins::{Answer, Client};
use std::collections::HashSet;

/// Clients.
const CLIENTS: usize = 40;
/// Requests of each client.
const REQUESTS_EACH: usize = 25;
/// Time that the origin takes longer, ms: all requests come before its answer.
const ORIGIN_DELAY_MS: u64 = 200;

/// Runs the measurement.
pub fn run() {
    let requests = CLIENTS * REQUESTS_EACH;
    print_line!(
        "\n{requests} requests of {CLIENTS} clients for one object of the other site, all within a moment"
    );
    let pair = SitePair::start("waiters: 2000", LinkPath::Direct);
    pair.sites[1].slow_origin(ORIGIN_DELAY_MS);
    let object = format!("{:016x}", traffic::object(1, 3));
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::connect(pair.addresses[0])).collect();
    for client in &mut clients {
        for _ in 0..REQUESTS_EACH {
            client.send_request("page", &[("lookup", &object), ("allow", "1400")], b"");
        }
    }
    let mut served = 0;
    for client in &mut clients {
        for _ in 0..REQUESTS_EACH {
            served += usize::from(matches!(client.next_answer().1, Answer::Served(..)));
        }
    }
    let facts = pair.record.take();
    let crossed: HashSet<&String> = facts
        .iter()
        .filter_map(|seen| match &seen.fact {
            Fact::AttemptReceived { name, .. } => Some(name),
            _ => None,
        })
        .collect();
    show(
        &["requests", "served", "requests that crossed"],
        &[vec![requests.to_string(), served.to_string(), crossed.len().to_string()]],
    );
}
