//! The exact encoding of each message: it must remain compatible with peers of other versions.

use deckproxy_sites::frame::{
    AttemptNumbers, AttemptState, AttemptStatus, BodyChunk, Frame, GoAway, Goodbye, Heartbeat, Hello,
    Outcome, Payload, Purge, Request, ResponseHead, WindowUpdate,
};
use prost::Message;

fn hex(payload: Payload) -> String {
    let digits: Vec<String> =
        Frame::from(payload).encode_to_vec().iter().map(|byte| format!("{byte:02x}")).collect();
    digits.concat()
}

#[test]
fn messages_keep_their_encoding() {
    let heartbeat =
        Heartbeat { sequence: 1, unix_time: 2.5, last_purge: 3, purges_received: 4, lowest_open_attempt: 5 };
    let numbers = AttemptNumbers { numbers: vec![1, 300] };
    let payloads = [
        Payload::Hello(Hello {
            version: 1,
            site: "a".into(),
            peer_site: "b".into(),
            epoch: 4,
            session: 5,
            credit_window: 6,
            resume_timeout: 7,
            purges_received: 8,
            purges_epoch: 9,
            next_attempt: 10,
            purge_history: 11.5,
        }),
        Payload::Goodbye(Goodbye { reason: "w".into() }),
        Payload::Ping(heartbeat.clone()),
        Payload::Pong(heartbeat),
        Payload::Request(Request {
            number: 1,
            name: "n".into(),
            class: "c".into(),
            time_left: 4.5,
            idempotency_key: Some("k".into()),
            object: "o".into(),
            part: Some(7),
            group: 8,
            size_kb: Some(9.5),
            cached_tag: Some("h".into()),
            site_path: vec!["p".into(), "q".into()],
            body: b"body".as_slice().into(),
        }),
        Payload::Response(ResponseHead {
            number: 1,
            outcome: Outcome::Rejected.into(),
            retry_after: 3.5,
            body_length: 4,
            copy_age: Some(5.5),
            tag: "t".into(),
        }),
        Payload::Chunk(BodyChunk { number: 1, offset: 2, bytes: b"x".as_slice().into() }),
        Payload::WindowUpdate(WindowUpdate { number: 1, limit: 2 }),
        Payload::Release(numbers.clone()),
        Payload::Resume(numbers),
        Payload::Status(AttemptStatus { number: 1, state: AttemptState::Completed.into() }),
        Payload::Purge(Purge {
            number: 1,
            object: Some(2),
            group: 3,
            age: 4.5,
            notified_age: 5.5,
            site_path: vec!["p".into()],
            origin_epoch: 7,
            origin_number: 8,
        }),
        Payload::GoAway(GoAway { reason: "w".into(), retry_after: 2.5 }),
    ];
    let encoded: Vec<String> = payloads.into_iter().map(hex).collect();
    assert_eq!(encoded, EXPECTED);
    let outcomes =
        [Outcome::Failed, Outcome::Served, Outcome::NotModified, Outcome::Rejected, Outcome::Invalid];
    assert_eq!(outcomes.map(i32::from), [0, 1, 2, 3, 4]);
    let states =
        [AttemptState::Unknown, AttemptState::NeverReceived, AttemptState::Running, AttemptState::Completed];
    assert_eq!(states.map(i32::from), [0, 1, 2, 3]);
}

const EXPECTED: [&str; 13] = [
    "0a3408011201611a0162210400000000000000290500000000000000300638074008490900000000000000500a590000000000002740",
    "12030a0177",
    "1a110801110000000000000440180320042805",
    "22110801110000000000000440180320042805",
    "2a33080112016e1a01632100000000000012402a016b32016f380740084900000000000023405201685a01705a01716204626f6479",
    "321b08011003190000000000000c402004290000000000001640320174",
    "3a07080110021a0178",
    "420408011002",
    "4a050a0301ac02",
    "52050a0301ac02",
    "5a0408011003",
    "622d080111020000000000000018032100000000000012402900000000000016403201703907000000000000004008",
    "6a0c0a0177110000000000000440",
];
