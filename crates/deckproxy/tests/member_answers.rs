//! Malformed, incomplete and repeated answers of members, and which attempts they end.

use deckproxy_standins::*;

#[test]
fn malformed_answer_ends_only_its_attempt() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let all = site.send_writes(&mut client, 10);
    site.origin.send(all[3].1.connection, b"$5\r\nnoise\r\n");
    // A request of this class must not be retried once it may have run.
    client.expect_error(all[3].0, "Fault");
    for (id, request) in all.iter().filter(|(id, _)| *id != all[3].0) {
        site.origin.answer(request, "200", b"whole");
        client.expect_served(*id, b"whole");
    }
}

#[test]
fn answer_received_byte_by_byte_is_complete() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    for byte in Member::encode(&request.id, "200", "entity=t,issued=1", b"one\r\n*4\r\ntwo") {
        cache.send(request.connection, &[byte]);
    }
    client.expect_served(id, b"one\r\n*4\r\ntwo");
}

#[test]
fn answer_cut_in_its_body_counts_as_reset() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    let bytes = Member::encode(&request.id, "200", "-", &[7; 5000]);
    cache.send(request.connection, &bytes[..3000]);
    cache.close(request.connection);
    let other = site.other_cache(cache);
    let again = other.next_request();
    other.answer(&again, "200", b"whole");
    client.expect_served(id, b"whole");
}

#[test]
fn crashed_member_fails_only_its_own_requests() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let objects: Vec<String> = (0..20u64).map(|i| format!("{:016x}", i * 0x0101_0101_0101)).collect();
    let ids: Vec<u64> = objects.iter().map(|o| client.request_object(o)).collect();
    let requests: Vec<(&Member, MemberRequest)> = ids.iter().map(|_| site.next_request()).collect();
    let (gone, kept): (Vec<_>, Vec<_>) = requests.iter().partition(|(m, _)| m.id == site.caches[0].id);
    assert!(!gone.is_empty() && !kept.is_empty());
    site.caches[0].stop_listening();
    site.caches[0].reset(gone[0].1.connection);
    let mut served = 0;
    for (member, request) in &kept {
        member.answer(request, "200", b"kept");
        served += 1;
    }
    // Requests at the crashed cache are retried at the other one, as far as the retry budget allows.
    let mut answers = 0;
    while answers < ids.len() {
        while let Some(request) = site.caches[1].request_if_any() {
            site.caches[1].answer(&request, "200", b"moved");
            served += 1;
        }
        while answers < ids.len() && served > 0 {
            match client.next_answer().1 {
                Answer::Served(..) => served -= 1,
                Answer::Error(word, _) => assert_eq!(word, "Shed"),
                Answer::Ready(_) => unreachable!(),
            }
            answers += 1;
            if served == 0 {
                break;
            }
        }
        if served == 0 && answers < ids.len() && site.caches[1].request_if_any().is_none() {
            client.next_answer();
            answers += 1;
        }
    }
}

/// Regression test: the second answer was attributed to the fill, so a further attempt was sent while the fill was in
/// flight.
#[test]
fn second_answer_to_a_lookup_does_not_end_its_fill() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    cache.answer(&request, "404", &[]);
    let fill = cache.next_request();
    assert_eq!(fill.id, request.id);
    cache.answer(&request, "404", &[]);
    assert!(site.request_if_any().is_none(), "sent again while the fill is in flight");
    cache.answer(&fill, "200", b"filled");
    client.expect_served(id, b"filled");
}

#[test]
fn second_answer_to_a_write_does_not_end_its_retry() {
    let (site, _gateway, mut client) = TestSite::start_with_client();
    let id = client.send_request("post", &[("lookup", OBJECT), ("replay", "5c0f6e1a2b3d4c59")], b"write");
    let request = site.origin.next_request();
    site.origin.answer(&request, "500", &[]);
    let again = site.origin.next_request();
    assert_eq!(again.id, request.id);
    site.origin.answer(&request, "500", &[]);
    assert!(site.origin.request_if_any().is_none(), "sent again while the retry is in flight");
    site.origin.answer(&again, "200", b"done");
    client.expect_served(id, b"done");
}
