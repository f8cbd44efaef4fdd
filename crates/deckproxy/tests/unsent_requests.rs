//! Requests that could not be written to a stalled member: they never ran and may be retried elsewhere before their
//! deadline.

use deckproxy_standins::*;
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn requests_unsent_to_a_stalled_member_count_as_never_run() {
    let site = TestSite::start();
    let mut setup = site.setup();
    // Few connections, so that attempts must share them.
    setup.sockets = 40;
    let gateway = setup.start();
    let mut client = gateway.client();
    // The origin stops reading once its connection is established, so that bodies fill the kernel's buffers.
    let id = client.send_request("once", &[("lookup", OBJECT)], b"x");
    let request = site.origin.next_request();
    site.origin.answer(&request, "200", b"done");
    client.expect_served(id, b"done");
    site.origin.stop_reading();
    let body = vec![1u8; 48_000];
    let mut rejected = Vec::new();
    let mut failed = Vec::new();
    let mut clients: Vec<Client> = (0..12).map(|_| gateway.client()).collect();
    let mut names = Vec::new();
    for client in &mut clients {
        let name = |_| fresh_name();
        let all: Vec<String> = (0..30).map(name).collect();
        for name in &all {
            client.send_request("once", &[("lookup", OBJECT), ("ref", name)], &body);
        }
        names.push(all);
    }
    for (client, names) in clients.iter_mut().zip(&names) {
        for _ in names {
            let (id, answer) = client.next_answer();
            let name = names[usize::try_from(id).unwrap() - 1].clone();
            match answer {
                Answer::Error(word, _) if word == "Shed" => rejected.push(name),
                Answer::Error(word, _) if word == "Fault" => failed.push(name),
                other => panic!("{other:?}"),
            }
        }
    }
    assert!(rejected.len() > 50 && failed.len() > 5, "{} rejected, {} failed", rejected.len(), failed.len());
    // What the origin reads from the kernel's buffers when it resumes includes no rejected request.
    site.origin.resume_reading();
    while let Some(request) = site.origin.request_if_any() {
        assert!(failed.contains(&request.id), "{} was rejected and yet arrived", request.id);
    }
}

#[test]
fn requests_unsent_to_a_stalled_cache_are_retried_elsewhere_before_the_deadline() {
    let site = TestSite::start();
    let mut setup = site.setup();
    // Few connections, so that attempts must share them.
    setup.sockets = 40;
    let gateway = setup.start();
    let mut client = gateway.client();
    let (cache, _) = site.serve_object(&mut client, OBJECT, b"warm");
    cache.stop_reading();
    let body = vec![1u8; 48_000];
    let start = Instant::now();
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    for client in &mut clients {
        (0..30).for_each(|_| {
            client.send_request("page", &[("lookup", OBJECT)], &body);
        });
    }
    site.other_cache(cache).next_request();
    let took = start.elapsed().as_millis();
    assert!((380..850).contains(&took), "{took} ms");
}

/// Regression test: the retry was decided in time, but then waited for its connection until long after the window.
#[test]
fn idempotent_write_is_not_sent_after_its_retry_window() {
    let site = TestSite::start();
    let mut origin = StalledListener::start_empty();
    let mut setup = site.setup();
    let long = json!(8000.0);
    setup.settings["limits"]["connectTimeoutMs"] = long.clone();
    setup.settings["rules"]["drainGraceMs"] = long.clone();
    setup.settings["familyInfo"]["obeyAfterMs"] = long.clone();
    setup.settings["services"][1]["deadlineMs"] = long;
    setup.settings["services"][1]["dedupWindowMs"] = json!(700.0);
    let entries = [entry("s-00000009", origin.address, "hub", "origin", "Ready")];
    setup.events = vec![complete_member_list(&entries)];
    let gateway = setup.start();
    let mut client = gateway.client();
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    let id = client.send_request("post", &[("lookup", OBJECT), ("replay", key), ("allow", "8000")], b"write");
    let start = Instant::now();
    let mut first = origin.accept();
    let mut got = [0; 4];
    std::io::Read::read_exact(&mut first, &mut got).unwrap();
    // The write may have run. No connection is established until the second attempt of the handshake.
    origin.fill_queue();
    socket2::SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap();
    drop(first);
    // The origin has forgotten the key by the time at which a client that was told to retry would be back.
    client.expect_error(id, "Fault");
    assert!(
        start.elapsed() < Duration::from_millis(900),
        "failed after the end of the window: {:?}",
        start.elapsed()
    );
    let mut second = origin.accept();
    second.set_read_timeout(Some(QUIET)).unwrap();
    let read = std::io::Read::read(&mut second, &mut got);
    assert!(!matches!(read, Ok(1..)), "written after the window: {got:?}");
}

/// Guards against work for a process that is gone reaching another one that has come up at its address: the request waits
/// for a connection when the list reports the change.
#[test]
fn request_that_waits_for_a_gone_process_does_not_reach_the_next_one_at_its_address() {
    let site = TestSite::start();
    let listener = StalledListener::start();
    let feed = Feed::start();
    let mut setup = Setup::knowing(&[entry("s-00000009", listener.address, "hub", "origin", "Ready")]);
    setup.feed = feed.address;
    // Nothing else ends the wait, and the connect timeout covers the kernel's second attempt of the handshake.
    let long = json!(8000.0);
    setup.settings["limits"]["connectTimeoutMs"] = long.clone();
    setup.settings["rules"]["drainGraceMs"] = long.clone();
    setup.settings["familyInfo"]["obeyAfterMs"] = long.clone();
    setup.settings["services"][2]["deadlineMs"] = long;
    let gateway = setup.start();
    let (_, subscription) = feed.accept();
    let mut client = gateway.client();
    let id = client.send_request("once", &[("lookup", OBJECT), ("allow", "8000")], b"write");
    listener.wait_for_handshake();
    let entries = [
        entry("s-00000009", listener.address, "hub", "origin", "Gone"),
        entry("s-00000010", listener.address, "edge", "box", "Ready"),
        site.origin.entry("hub", "origin", "Ready"),
    ];
    send_line(&subscription, &member_update(2, &entries));
    let request = site.origin.next_request();
    site.origin.answer(&request, "200", b"done");
    client.expect_served(id, b"done");
}
