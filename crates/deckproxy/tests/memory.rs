//! What peers can make a gateway hold: its memory stays within the process's limit, and other clients are served.

use deckproxy_standins::*;
use serde_json::json;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::thread;
use std::time::Duration;

/// The limit of the gateways' memory.
const MEMORY_MB: u64 = 48;
/// The largest answer.
static ANSWER: [u8; 240_000] = [7; 240_000];
/// The limit for tests of clients' messages, and the number of clients that the descriptors allow.
const SMALLEST_MEMORY_MB: u64 = 32;
const MOST_CLIENTS: usize = 330;
/// The largest body of a write.
static BODY: [u8; 48_000] = [7; 48_000];
/// Bytes of each large answer that arrive at a time; most of it is only announced.
const ARRIVED: usize = 10_000;
/// Clients that request large answers, and how many they request together.
const CLIENTS: usize = 30;
const REQUESTS: usize = 500;

/// A gateway with little memory, whose reads have a deadline of 9 s.
fn start_small(site: &TestSite) -> Gateway {
    let mut setup = site.setup();
    setup.memory_mb = MEMORY_MB;
    setup.settings["services"][0]["deadlineMs"] = json!(9000.0);
    setup.start()
}

fn request_object(client: &mut Client, object: &str) -> u64 {
    client.send_request("page", &[("lookup", object), ("allow", "9000")], &[])
}

/// Expects that a client is served an object, with a cache that answers only for it.
fn expect_other_client_served(site: &TestSite, gateway: &Gateway, object: &str) {
    let mut other = gateway.client();
    let id = other.request_object(object);
    loop {
        let (cache, request) = site.next_request();
        if request.field("name") == Some(object) {
            cache.answer(&request, "200", b"mine");
            break;
        }
    }
    other.expect_served(id, b"mine");
}

/// Guards against a gateway that is killed because it takes memory for all answers that have begun, however many.
#[test]
fn large_answers_that_begin_at_once_stay_within_the_memory_limit() {
    let site = TestSite::start();
    let gateway = start_small(&site);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    let mut begun = HashMap::new();
    for number in 0..REQUESTS {
        request_object(&mut clients[number % CLIENTS], &format!("{:016x}", number + 1));
        let (cache, request) = site.next_request();
        if number % 8 == 0 {
            // A cache that answers nothing would be ejected.
            cache.answer(&request, "200", b"small");
        } else if let Entry::Vacant(first) = begun.entry(request.connection) {
            // One answer on each connection: the next one can't begin before its end.
            let answer = Member::encode(&request.id, "200", "entity=t1,issued=1", &ANSWER);
            cache.send(request.connection, &answer[..ARRIVED]);
            first.insert((cache, answer));
        }
    }
    assert!(begun.len() > 300, "{} answers began", begun.len());
    for (connection, (cache, answer)) in &begun {
        cache.send(*connection, &answer[ARRIVED..2 * ARRIVED]);
    }
    expect_other_client_served(&site, &gateway, "00000000000000aa");
    let memory = gateway.own_memory_kb();
    assert!(memory < MEMORY_MB * 1024, "{memory} KB");
}

/// Starts a gateway with the smallest memory whose origin reads nothing, and has all its clients send whole writes.
fn start_with_open_writes(site: &TestSite, writes: usize) -> (Gateway, Vec<Client>) {
    let mut setup = site.setup();
    setup.memory_mb = SMALLEST_MEMORY_MB;
    let gateway = setup.start();
    let mut clients: Vec<Client> = (0..MOST_CLIENTS).map(|_| gateway.client()).collect();
    for client in &mut clients {
        for _ in 0..writes {
            client.send_request("once", &[("lookup", OBJECT)], &BODY);
        }
    }
    (gateway, clients)
}

fn expect_memory_in_bounds(gateway: &Gateway) {
    let memory = gateway.own_memory_kb();
    assert!(memory < SMALLEST_MEMORY_MB * 1024, "{memory} KB");
}

/// Guards against a gateway that is killed because hundreds of clients stop inside a large request after whole ones.
#[test]
fn requests_that_stop_half_way_stay_within_the_memory_limit() {
    let site = TestSite::start();
    let (gateway, mut clients) = start_with_open_writes(&site, 3);
    for client in &mut clients {
        let (_, bytes) = client.encode_request("once", &[("lookup", OBJECT)], &BODY);
        client.send(&bytes[..bytes.len() - 1]);
    }
    thread::sleep(Duration::from_millis(500));
    expect_other_client_served(&site, &gateway, "00000000000000aa");
    expect_memory_in_bounds(&gateway);
}

/// Guards against a gateway that is killed because hundreds of clients write large requests in small pieces. Each request
/// has a final answer.
#[test]
fn requests_written_slowly_stay_within_the_memory_limit_and_are_answered() {
    let site = TestSite::start();
    let (gateway, mut clients) = start_with_open_writes(&site, 3);
    let messages: Vec<Vec<u8>> = clients
        .iter_mut()
        .map(|client| client.encode_request("once", &[("lookup", OBJECT)], &BODY).1)
        .collect();
    for piece in 0..12 {
        for (client, message) in clients.iter_mut().zip(&messages) {
            let size = message.len().div_ceil(12);
            client.send(message.chunks(size).nth(piece).unwrap());
        }
        thread::sleep(Duration::from_millis(50));
    }
    for client in &mut clients {
        for _ in 0..4 {
            assert!(matches!(client.next_answer().1, Answer::Error(..)));
        }
    }
    expect_memory_in_bounds(&gateway);
}

/// Guards against a gateway that is killed because hundreds of clients send fields without end.
#[test]
fn requests_of_very_many_fields_stay_within_the_memory_limit() {
    let site = TestSite::start();
    let (gateway, mut clients) = start_with_open_writes(&site, 3);
    let long = "x".repeat(100);
    let names: Vec<String> = (0..480).map(|number| format!("field{number}")).collect();
    let fields: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), long.as_str())).collect();
    for client in &mut clients {
        let (_, bytes) = client.encode_request("page", &fields, &[]);
        for piece in bytes[..bytes.len() - 1].chunks(16 * 1024) {
            client.send(piece);
        }
    }
    thread::sleep(Duration::from_millis(500));
    expect_other_client_served(&site, &gateway, "00000000000000aa");
    expect_memory_in_bounds(&gateway);
}
