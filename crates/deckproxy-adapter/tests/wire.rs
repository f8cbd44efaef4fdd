//! The wire protocol, with frames encoded by hand.

use deckproxy_adapter::host::Host;
use deckproxy_adapter::wire::{self, Reply, WireError, WireEvent};
use deckproxy_control::interface::*;

/// Decodes hex text; white space is ignored, and `+N` stands for N zero bytes.
fn hex(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for word in text.split_whitespace() {
        if let Some(zeros) = word.strip_prefix('+') {
            bytes.resize(bytes.len() + zeros.parse::<usize>().unwrap(), 0);
            continue;
        }
        for pair in word.as_bytes().chunks(2) {
            bytes.push(u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap());
        }
    }
    bytes
}

/// Encodes a frame of the records and the tail.
fn frame(records: &[&str], tail: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    for record in records {
        let mut bytes = hex(record);
        assert!(bytes.len() <= wire::EVENT_BYTES);
        bytes.resize(wire::EVENT_BYTES, 0);
        body.extend(bytes);
    }
    body.extend(tail);
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend(59_000.0f64.to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(12u32.to_le_bytes());
    frame.extend(body);
    frame
}

fn decode_one(record: &str, tail: &[u8]) -> Result<WireEvent, WireError> {
    let bytes = frame(&[record], tail);
    let batch = wire::read_batch(&mut bytes.as_slice())?.expect("a batch");
    batch.event(0).map(|(_, event)| event)
}

fn encode_action(action: &Action) -> (Vec<u8>, Vec<u8>) {
    let mut reply = Reply::default();
    reply.push(3, action);
    let frame = reply.frame(12);
    (frame[12..52].to_vec(), frame[52..].to_vec())
}

const CONF: &str = "services.count=1\nservices.0.aimMs=400.0\nservices.0.deadlineMs=2000.0\n\
    services.0.effect=retryable\nservices.0.group=all\nfamilyInfo.shieldKind=1\nfamilyInfo.sourceKind=2\n\
    familyInfo.bypassAllowed=true\nfamilyInfo.canJoin=true\nfamilyInfo.flowKbPerS=1000.0\n\
    familyInfo.zoneBalancers=0,1\ngroupSize=1\nlocality=1\nlimits.sendCap=4\nnot.known=a,b\n";

/// A batch that starts an instance, sends it a member list of one cache, and sends it one request.
fn start(instance: &str) -> Vec<u8> {
    let mut tail = CONF.as_bytes().to_vec();
    let at = tail.len() as u32;
    tail.extend(hex("01 0000000000000000 0000803f 0000 01 0000 65000000"));
    let word = |n: u32| n.to_le_bytes().map(|b| format!("{b:02x}")).concat();
    let records = [
        format!("00 {instance} 0700000000000000 00000000 {}", word(CONF.len() as u32)),
        format!("01 {instance} 04 01000000 {} 01000000", word(at)),
        format!("02 {instance} 37000000 00000000 0900000000000000 00004842 00 00000000 000000000000f940 00"),
    ];
    frame(&[&records[0], &records[1], &records[2]], &tail)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let bytes = hex("00000000 00000000206ec040 00000000 01000000");
    let batch = wire::read_batch(&mut bytes.as_slice()).unwrap().unwrap();
    assert!(batch.is_empty());
    assert_eq!(batch.now, 8412.25);
    assert_eq!(Host::default().answer(&batch).unwrap(), hex("00000000 00000000 01000000"));
    assert!(wire::read_batch(&mut [].as_slice()).unwrap().is_none(), "the end of the input");
}

#[test]
fn a_batch_for_two_instances_is_decoded() {
    let bytes = hex("a8000000 00000000206ec040 03000000 0c000000
        02 0300 c4913a5d 00004040 640ad2557c3bf091 00002044 01 00000000 0000000020e6c040 00 00003041 +15
        06 0300 4d00000000000000 +45
        05 0500 192b6f0e +49");
    let batch = wire::read_batch(&mut bytes.as_slice()).unwrap().unwrap();
    assert_eq!((batch.len(), batch.number), (3, 12));
    let request = Request {
        id: 0x5d3a_91c4,
        part: 3,
        object: 0x91f0_3b7c_55d2_0a64,
        size: Some(640.0),
        deadline: 8652.25,
        class: 0,
        group: 11,
    };
    assert_eq!(batch.event(0).unwrap(), (3, WireEvent::Request(request)));
    assert_eq!(batch.event(1).unwrap(), (3, WireEvent::Timer(77)));
    assert_eq!(batch.event(2).unwrap(), (5, WireEvent::ClientGone(0x0e6f_2b19)));
    assert!(batch.event(3).is_err());
}

#[test]
fn the_remaining_events_are_decoded() {
    let list = hex("01 0000000000000000 0000803f 0000 00 0000 074a1203
        02 0000000000d4b740 0000c03f 0200 01 0500 f211902c
        00 0000000000000000 00000000 0000 00 0000 01000000");
    let WireEvent::MemberList(kind, members) =
        decode_one("01 0300 03 29000000 00000000 03000000", &list).unwrap()
    else {
        panic!("no list")
    };
    assert_eq!(kind, ListKind::Delta);
    assert_eq!(
        (members[0].id, members[0].lifecycle, members[0].started),
        (0x0312_4a07, Lifecycle::Ready, None)
    );
    let second = &members[1];
    assert_eq!((second.lifecycle, second.started, second.weight), (Lifecycle::Draining, Some(6100.0), 1.5));
    assert_eq!((second.kind, second.zone, second.cell, second.id), (2, 1, 5, 0x2c90_11f2));
    assert_eq!(members[2].lifecycle, Lifecycle::Gone);

    let outcome = "04 0300 c4913a5d 02 074a1203 cc00 0000000000803240 01 04000000 cdcccccccccc2240 \
        02 0000803f 00000040 00000000 00000000";
    assert_eq!(
        decode_one(outcome, &[]).unwrap(),
        WireEvent::AttemptEnded {
            request: 0x5d3a_91c4,
            attempt: 2,
            member: 0x0312_4a07,
            ending: AttemptEnding::Miss,
            elapsed: 18.5,
            finished: true,
            note: FillNote::Joined,
            load: vec![1.0, 2.0],
        }
    );
    assert_eq!(
        decode_one("03 0300 c4913a5d 01 074a1203 0000000000803240", &[]).unwrap(),
        WireEvent::StreamStarted { request: 0x5d3a_91c4, attempt: 1 }
    );
    assert_eq!(
        decode_one("07 0300 074a1203 c800 0000000000803240 01 0000803f", &[]).unwrap(),
        WireEvent::HealthChecked { member: 0x0312_4a07, ok: true, load: vec![1.0] }
    );
    assert_eq!(
        decode_one("08 0300 0200 00000000 02000000", b"hi").unwrap(),
        WireEvent::PeerMessage(2, b"hi".to_vec())
    );
    assert_eq!(decode_one("09 0300", &[]).unwrap(), WireEvent::Destroy);
    assert_eq!(
        decode_one("0a 0300 010ad2557c000000 0b00 0000000000405540", &[]).unwrap(),
        WireEvent::Purged { object: Some(0x7c_55d2_0a01), group: 11, age: 85.0 }
    );
    assert_eq!(
        decode_one("0a 0300 0000000000000000 0b00 0000000000000000", &[]).unwrap(),
        WireEvent::Purged { object: None, group: 11, age: 0.0 }
    );
}

#[test]
fn every_ending_has_its_code() {
    let codes = [
        (200u16, AttemptEnding::Served),
        (502, AttemptEnding::Error),
        (429, AttemptEnding::Rejected),
        (408, AttemptEnding::Timeout),
        (521, AttemptEnding::ConnectFailed),
        (520, AttemptEnding::Reset),
        (444, AttemptEnding::Cancelled),
        (409, AttemptEnding::NotSent),
        (204, AttemptEnding::Miss),
    ];
    for (code, want) in codes {
        let code = format!("{:02x}{:02x}", code & 255, code >> 8);
        let record = format!("04 0300 01000000 00 02000000 {code} 0000000000000000");
        let WireEvent::AttemptEnded { ending, .. } = decode_one(&record, &[]).unwrap() else {
            panic!("no outcome")
        };
        assert_eq!(ending, want);
    }
}

#[test]
fn every_action_is_encoded() {
    let cases = [
        (
            Action::Lookup { request: 0x5d3a_91c4, member: 0x0312_4a07, deadline: 8492.25 },
            "00 0300 c4913a5d 000000002096c040 074a1203 +21",
        ),
        (Action::Reject { request: 0x5d3a_91c4, retry_after: 18.5 }, "01 0300 c4913a5d 0000000000803240 +25"),
        (Action::Fail { request: 0x5d3a_91c4 }, "02 0300 c4913a5d +33"),
        (Action::Cancel { request: 0x5d3a_91c4, attempt: 2 }, "03 0300 c4913a5d 02 +32"),
        (Action::Timer { token: 77, at: 8912.25 }, "04 0300 4d00000000000000 000000002068c140 +21"),
        (Action::HealthCheck(0x0312_4a07), "05 0300 074a1203 +33"),
        (Action::CloseIdle(0x0312_4a07), "06 0300 074a1203 +33"),
        (Action::SendToPeer(None, b"h7 h".to_vec()), "07 0300 ffff 00000000 04000000 +27"),
        (Action::SendToPeer(Some(2), b"x".to_vec()), "07 0300 0200 00000000 01000000 +27"),
        (Action::Log("two servers known".into()), "08 0300 00000000 11000000 +29"),
        (Action::WatchMembers(true), "0a 0300 01 +36"),
        (Action::FetchMembers, "0b 0300 +37"),
        (
            Action::Get {
                request: 0x5d3a_91c4,
                member: 0x0312_4a07,
                deadline: 9312.25,
                source: 0x2c90_11f2,
                copy_rank: 2,
                max_age: 1500.0,
                options: GetOptions { join: true, renew: true, ..GetOptions::default() },
            },
            "0c 0300 c4913a5d 074a1203 000000002030c240 f211902c 02 0000000000709740 09 +7",
        ),
    ];
    for (act, want) in cases {
        assert_eq!(encode_action(&act).0, hex(want), "{act:?}");
    }
    assert_eq!(encode_action(&Action::SendToPeer(None, b"h7 h".to_vec())).1, b"h7 h");
    assert_eq!(encode_action(&Action::SendToPeer(None, vec![7; 400])).1.len(), 256);
    let mut reply = Reply::default();
    reply.push(3, &Action::Log("one".into()));
    reply.push_panic(5, "broken");
    let bytes = reply.frame(9);
    assert_eq!(bytes[..12], hex("59000000 02000000 09000000"));
    assert_eq!(bytes[52..], hex("09 0500 03000000 06000000 +29 6f6e65 62726f6b656e"));
}

#[test]
fn malformed_frames_are_errors_and_never_panic() {
    let message = |e: WireError| e.to_string();
    for cut in [1, 3, 4, 19, 40] {
        let bytes = &frame(&["06 0300"], &[])[..cut];
        assert!(message(wire::read_batch(&mut &bytes[..]).unwrap_err()).contains("ends inside"), "{cut}");
    }
    let huge = hex("f0ffffff 00000000206ec040 00000000 01000000");
    assert!(message(wire::read_batch(&mut huge.as_slice()).unwrap_err()).contains("over the limit"));
    let promised = hex("00000030 00000000206ec040 00000000 01000000");
    assert!(message(wire::read_batch(&mut promised.as_slice()).unwrap_err()).contains("ends inside"));
    let count = hex("00000000 00000000206ec040 02000000 01000000");
    assert!(message(wire::read_batch(&mut count.as_slice()).unwrap_err()).contains("2 records do not fit"));
    let clock = hex("00000000 000000000000f07f 00000000 01000000");
    assert!(message(wire::read_batch(&mut clock.as_slice()).unwrap_err()).contains("clock"));
    let error = |record: &str, tail: &[u8]| message(decode_one(record, tail).unwrap_err());
    assert!(error("63 0300", &[]).contains("unknown event code 99"));
    assert!(error("63 0300", &[]).contains("batch 12, record 0"));
    assert!(error("04 0300 01000000 00 02000000 0900", &[]).contains("unknown outcome 9"));
    assert!(error("01 0300 09 00000000 00000000 00000000", &[]).contains("unknown kind of list"));
    assert!(error("01 0300 02 00000000 00000000 01000000", &[0; 21]).contains("outside the tail"));
    assert!(error("01 0300 02 00000000 00000000 ffffffff", &[0; 21]).contains("outside the tail"));
    assert!(error("08 0300 0200 ffffffff ffffffff", b"hi").contains("outside the tail"));
    assert!(error("00 0300 0700000000000000 00000000 02000000", &[0xff, 0xfe]).contains("UTF-8"));
    assert!(error("0a 0300 0000000000000000 0b00 000000000000f87f", &[]).contains("no number"));
}

fn answer(host: &mut Host, bytes: &[u8]) -> Vec<u8> {
    let batch = wire::read_batch(&mut &bytes[..]).unwrap().unwrap();
    host.answer(&batch).unwrap()
}

#[test]
fn instances_are_separate_and_destroyed_ones_have_no_effect() {
    let mut host = Host::default();
    let mut both = start("0300");
    let reply = answer(&mut host, &both);
    assert_eq!(reply[12..31], hex("00 0300 37000000 000000000000f940 65000000"), "a look-up at the cache");
    assert_eq!(answer(&mut Host::default(), &both), reply, "the same events, the same actions");
    both = start("0400");
    let other = answer(&mut host, &both);
    assert_eq!(other[15..52], reply[15..52], "another instance has its own state");
    // The request does not exist at another instance.
    assert_eq!(answer(&mut host, &frame(&["05 0500 37000000"], &[])).len(), 12);
    // After its destruction the instance ignores events; when started again, it has no earlier state.
    assert_eq!(answer(&mut host, &frame(&["09 0300", "06 0300 0000000000000000"], &[])).len(), 12);
    let again = answer(&mut host, &start("0300"));
    assert_eq!(again, reply);
}

#[test]
fn a_batch_of_megabytes_is_answered() {
    let mut host = Host::default();
    answer(&mut host, &start("0300"));
    let records: Vec<String> = (0..30_000u32)
        .map(|i| {
            let id = (1000 + i).to_le_bytes().map(|b| format!("{b:02x}")).concat();
            format!("02 0300 {id} 00000000 {id}00000000 00004842 00 00000000 000000000000f940 00")
        })
        .collect();
    let records: Vec<&str> = records.iter().map(String::as_str).collect();
    let reply = answer(&mut host, &frame(&records, &[]));
    let count = u32::from_le_bytes(reply[4..8].try_into().unwrap());
    assert!(count >= 30_000, "each is sent or answered: {count}");
}

#[test]
fn an_action_that_cannot_be_encoded_is_omitted() {
    let cancel = |attempt| Action::Cancel { request: 1, attempt };
    assert_eq!(encode_action(&cancel(255)).0, hex("03 0300 01000000 ff +32"));
    let last_peer = Action::SendToPeer(Some(65_534), b"x".to_vec());
    assert_eq!(encode_action(&last_peer).0, hex("07 0300 feff 00000000 01000000 +27"));
    let to_peer = |position| Action::SendToPeer(Some(position), b"x".to_vec());
    // Position 65,535 addresses all routers.
    for unencodable in [cancel(256), cancel(258), to_peer(65_535), to_peer(65_536), to_peer(65_538)] {
        let mut reply = Reply::default();
        reply.push(3, &unencodable);
        assert_eq!(reply.frame(9), hex("00000000 00000000 09000000"), "{unencodable:?}");
    }
}
