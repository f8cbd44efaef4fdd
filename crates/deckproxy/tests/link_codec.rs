//! The codec of links between sites: frames split at any point, and malformed bytes.

use bytes::{Bytes, BytesMut};
use deckproxy::protocol::link::{self, Decoder};
use deckproxy::protocol::{downstream, limits};
use deckproxy_sites::frame::{
    AttemptNumbers, BodyChunk, Frame, Heartbeat, Payload, Purge, Request, ResponseHead, WindowUpdate,
};
use proptest::prelude::*;

fn frames() -> impl Strategy<Value = Vec<Frame>> {
    let request = (
        any::<u64>(),
        "[0-9a-f]{16}",
        prop::option::of("[a-z0-9]{1,20}"),
        prop::collection::vec(any::<u8>(), 0..300),
    )
        .prop_map(|(number, name, key, body)| {
            Payload::Request(Request {
                number,
                object: name.clone(),
                name,
                idempotency_key: key,
                body: body.into(),
                time_left: 10.0,
                ..Request::default()
            })
        });
    let chunk = (any::<u64>(), any::<u32>(), prop::collection::vec(any::<u8>(), 0..2000)).prop_map(
        |(number, at, bytes)| Payload::Chunk(BodyChunk { number, offset: at, bytes: bytes.into() }),
    );
    let small = prop_oneof![
        any::<u64>().prop_map(|number| Payload::Ping(Heartbeat { sequence: number, ..Heartbeat::default() })),
        any::<u64>().prop_map(|number| Payload::Response(ResponseHead {
            number,
            copy_age: Some(1.5),
            ..ResponseHead::default()
        })),
        any::<u32>().prop_map(|limit| Payload::WindowUpdate(WindowUpdate { number: 1, limit })),
        prop::collection::vec(any::<u64>(), 0..50)
            .prop_map(|numbers| Payload::Release(AttemptNumbers { numbers })),
        any::<u64>().prop_map(|object| Payload::Purge(Purge { object: Some(object), ..Purge::default() })),
    ];
    let one = prop_oneof![request, chunk, small];
    prop::collection::vec(one.prop_map(Frame::from), 0..12)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(16),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn frames_decode_however_they_are_split(frames in frames(), cuts in prop::collection::vec(1usize..700, 1..60)) {
        let bytes: Vec<u8> = frames.iter().flat_map(|f| link::encode_frame(f).to_vec()).collect();
        let (mut buffer, mut read, mut rest) = (BytesMut::new(), Vec::new(), &bytes[..]);
        for cut in cuts.iter().cycle() {
            let (now, later) = rest.split_at(rest.len().min(*cut));
            buffer.extend_from_slice(now);
            rest = later;
            while let Some(frame) = Decoder.next(&mut buffer).unwrap() {
                read.push(frame);
            }
            let missing = Decoder.missing(&buffer);
            prop_assert!(missing > 0 && missing <= limits::LINK_FRAME + 4, "{}", missing);
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(read, frames);
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn any_bytes_decode_or_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let mut steps = 0;
        while let Ok(Some(_)) = Decoder.next(&mut buffer) {
            steps += 1;
            prop_assert!(steps <= bytes.len());
        }
    }

    #[test]
    fn request_is_a_valid_call_or_rejected(name in ".{0,20}", class in ".{0,200}", allow in any::<f64>(), group in any::<u32>(), size in prop::option::of(any::<f64>())) {
        let object = "00000000000000aa".to_string();
        let request = Request { name, class, time_left: allow, group, size_kb: size, object, ..Request::default() };
        if let Ok(call) = link::call_from_request(request) {
            prop_assert!(call.timeout.is_finite() && call.timeout > 0.0);
            prop_assert!(call.group < limits::GROUPS && call.name.len() == 16 && call.class.len() <= limits::FIELD);
            prop_assert!(call.size_kb.is_none_or(|kb| kb.is_finite() && kb > 0.0));
        }
    }
}

#[test]
fn call_is_unchanged_by_encoding_and_decoding() {
    let call = downstream::Call {
        name: "9b1f03aa5c7e2d41".into(),
        class: "post".into(),
        timeout: 1234.0,
        idempotency_key: Some("k-1".into()),
        object: downstream::ObjectId { text: "7f3a9c21e0b4d655".into(), number: 0x7f3a_9c21_e0b4_d655 },
        part: Some(3),
        group: 17,
        size_kb: Some(412.5),
        cached_tag: Some("t1".into()),
        is_retry: false,
        body: Bytes::from_static(b"write"),
    };
    assert_eq!(link::call_from_request(link::request_from_call(&call, vec!["north".into()])), Ok(call));
}

#[test]
fn length_over_the_limit_is_rejected_before_allocation() {
    let mut buffer = BytesMut::from(&(limits::LINK_FRAME as u32 + 1).to_be_bytes()[..]);
    assert!(Decoder.next(&mut buffer).is_err());
    assert!(buffer.capacity() < 1024);
}
