//! The codec: this decoder and an independent one read the encoder's messages, and any input is decoded safely.

use bytes::Bytes;
use deckproxy_flow::codec::elements::{self, EXAMPLE_ENTERPRISE};
use deckproxy_flow::codec::{
    DecodeError, DecodedRecord, Decoder, Element, Encoder, Field, Limits, MessageSplitter, Template,
    VARIABLE_LENGTH, Value, Version,
};
use proptest::prelude::*;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() }
}

/// A template and records with matching values.
fn records(v9: bool) -> impl Strategy<Value = (Template, Vec<Vec<Value>>)> {
    let enterprise = if v9 { Just(None).boxed() } else { prop::option::of(1u32..99_999).boxed() };
    let element = (1u16..400, enterprise).prop_map(|(id, enterprise)| Element { id, enterprise });
    let length = if v9 { (1u16..20).boxed() } else { prop_oneof![1u16..20, Just(VARIABLE_LENGTH)].boxed() };
    let field = (element, length).prop_map(|(element, length)| Field { element, length });
    let fields = prop::collection::vec(field, 1..12);
    (256u16..60_000, 0u16..3, fields).prop_flat_map(|(id, scope, fields)| {
        let scope = scope.min(fields.len() as u16);
        let values: Vec<_> = fields
            .iter()
            .map(|f| {
                let bytes = match f.length {
                    VARIABLE_LENGTH => prop::collection::vec(any::<u8>(), 0..400),
                    fixed => prop::collection::vec(any::<u8>(), usize::from(fixed)..=usize::from(fixed)),
                };
                bytes.prop_map(|b| Value::Bytes(b.into()))
            })
            .collect();
        let template = Template { id, scope, fields };
        prop::collection::vec(values, 1..20).prop_map(move |values| (template.clone(), values))
    })
}

/// Encodes the template and the records into messages.
fn encode(encoder: &mut Encoder, template: &Template, records: &[Vec<Value>]) -> Vec<Bytes> {
    let mut out = Vec::new();
    if !encoder.template(template) {
        out.extend(encoder.finish(5_000_000));
        assert!(encoder.template(template), "an empty message has space");
    }
    for record in records {
        if !encoder.record(template, record) {
            out.extend(encoder.finish(5_000_000));
            assert!(encoder.record(template, record), "an empty message has space");
        }
    }
    out.extend(encoder.finish(5_000_000));
    out
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn ipfix_round_trip((template, records) in records(false), max_length in 6000usize..70_000, sequence in any::<u32>()) {
        let mut encoder = Encoder::new(Version::Ipfix, 7, max_length, sequence, 0);
        let mut decoder = Decoder::new(Limits::default());
        let mut read = Vec::new();
        for message in encode(&mut encoder, &template, &records) {
            prop_assert!(message.len() <= max_length);
            let got = decoder.decode(0, &message);
            prop_assert_eq!((got.error, got.domain, got.exported, got.missing), (None, 7, 5000, 0));
            read.extend(got.records);
        }
        let scope = template.scope;
        let want: Vec<_> = records
            .iter()
            .map(|r| DecodedRecord { scope, values: template.fields.iter().map(|f| f.element).zip(r.iter().cloned()).collect() })
            .collect();
        prop_assert_eq!(read, want);
        prop_assert_eq!(encoder.sequence(), sequence.wrapping_add(records.len() as u32));
    }

    #[test]
    fn netflow_v9_round_trip((template, records) in records(true), max_length in 2000usize..9000) {
        let mut encoder = Encoder::new(Version::NetflowV9, 7, max_length, 0, 4_000_000);
        let mut decoder = Decoder::new(Limits::default());
        let mut read = Vec::new();
        for message in encode(&mut encoder, &template, &records) {
            let got = decoder.decode(0, &message);
            prop_assert_eq!((got.error, got.missing, got.unknown_sets), (None, 0, 0));
            read.extend(got.records.into_iter().map(|record| record.values.into_iter().map(|(_, v)| v).collect::<Vec<_>>()));
        }
        prop_assert_eq!(read, records);
    }

    #[test]
    fn any_input_is_decoded_within_the_limits_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..600), version in prop_oneof![Just(9u8), Just(10u8), any::<u8>()]) {
        let mut bytes = bytes;
        if bytes.len() > 4 {
            let length = (bytes.len() as u16).to_be_bytes();
            (bytes[0], bytes[1], bytes[2], bytes[3]) = (0, version, length[0], length[1]);
        }
        let limits = Limits { domains: 2, templates: 3, fields: 4, records: 5, template_lifetime: 0 };
        let mut decoder = Decoder::new(limits);
        for _ in 0..3 {
            let got = decoder.decode(0, &Bytes::from(bytes.clone()));
            prop_assert!(got.records.len() <= 5);
        }
        let mut splitter = MessageSplitter::default();
        splitter.push(&bytes);
        while let Ok(Some(message)) = splitter.next_message() {
            prop_assert!(message.len() >= 16);
        }
    }

    /// Decodes valid messages with one changed byte: none causes a panic.
    #[test]
    fn corrupted_messages_are_decoded_or_rejected((template, records) in records(false), at in any::<prop::sample::Index>(), to in any::<u8>()) {
        let mut encoder = Encoder::new(Version::Ipfix, 7, 60_000, 0, 0);
        for message in encode(&mut encoder, &template, &records) {
            let mut bytes = message.to_vec();
            let at = at.index(bytes.len());
            bytes[at] = to;
            Decoder::new(Limits::default()).decode(0, &bytes.into());
        }
    }
}

fn flow_template(enterprise: Option<u32>) -> Template {
    let field = |element, length| Field { element, length };
    let mut fields = vec![
        field(elements::CLIENT_V4, 4),
        field(elements::OCTETS, 8),
        field(elements::FLOWS, 8),
        field(elements::START, 8),
    ];
    if let Some(enterprise) = enterprise {
        fields.push(field(elements::reverse(elements::OCTETS), 8));
        fields.push(field(elements::MEMBER.under(enterprise), VARIABLE_LENGTH));
        fields.push(field(elements::P99.under(enterprise), 4));
    }
    Template { id: 300, scope: 0, fields }
}

/// Values for the fields of `flow_template(None)`.
fn flow_values() -> Vec<Value> {
    let client = Value::Bytes(Bytes::from_static(&[127, 0, 0, 9]));
    vec![client, Value::Number(1), Value::Number(1), Value::Number(1)]
}

/// Decodes messages of the encoder with the independent crate `netflow_parser`.
#[test]
fn an_independent_decoder_reads_the_same_values() {
    use netflow_parser::{NetflowPacket, NetflowParser};
    let template = flow_template(Some(EXAMPLE_ENTERPRISE));
    let value = |n: u64| {
        vec![
            Value::Bytes(Bytes::from_static(&[127, 0, 0, 9])),
            Value::Number(n),
            Value::Number(3),
            Value::Number(1_764_576_000_123),
            Value::Number(77),
            Value::text("s-00c41f7a"),
            Value::Number(1500),
        ]
    };
    let mut encoder = Encoder::new(Version::Ipfix, 1, 1400, 0, 0);
    assert!(encoder.template(&template));
    // Counters beyond 2^32 are not truncated.
    assert!(encoder.record(&template, &value(123)) && encoder.record(&template, &value((1 << 32) + 5)));
    let message = encoder.finish(1_764_576_001_000).unwrap();
    let mut parser = NetflowParser::default();
    let packets = parser.parse_bytes(&message).packets;
    let NetflowPacket::IPFix(packet) = &packets[0] else { panic!("{packets:?}") };
    assert_eq!((packet.header.length as usize, packet.header.sequence_number), (message.len(), 0));
    let text = format!("{packet:?}");
    for want in ["OctetDeltaCount", "4294967301", "127.0.0.9"] {
        assert!(text.contains(want), "{want}: {text}");
    }
    let template = flow_template(None);
    let mut encoder = Encoder::new(Version::NetflowV9, 1, 1400, 9, 0);
    assert!(encoder.template(&template) && encoder.record(&template, &value(123)[..4]));
    let message = encoder.finish(10_000).unwrap();
    let packets = NetflowParser::default().parse_bytes(&message).packets;
    let NetflowPacket::V9(packet) = &packets[0] else { panic!("{packets:?}") };
    assert_eq!((packet.header.count, packet.header.sequence_number), (2, 9));
    assert!(format!("{packet:?}").contains("127.0.0.9"));
}

#[test]
fn sequence_numbers_wrap_and_gaps_are_counted() {
    let template = flow_template(None);
    let values = flow_values();
    let mut encoder = Encoder::new(Version::Ipfix, 1, 1400, u32::MAX, 0);
    let mut decoder = Decoder::new(Limits::default());
    let mut message = |records: usize| {
        encoder.template(&template);
        (0..records).for_each(|_| assert!(encoder.record(&template, &values)));
        encoder.finish(0).unwrap()
    };
    assert_eq!(decoder.decode(0, &message(2)).missing, 0);
    let lost = message(3);
    assert_eq!(decoder.decode(0, &message(1)).missing, 3, "over the wrap at 2^32");
    assert_eq!(decoder.decode(0, &lost).missing, 0, "a late message doesn't count as a gap of nearly 2^32");
}

#[test]
fn templates_are_withdrawn_expired_and_bounded() {
    let template = flow_template(None);
    let values = flow_values();
    let mut encoder = Encoder::new(Version::Ipfix, 1, 1400, 0, 0);
    let mut decoder = Decoder::new(Limits { templates: 2, template_lifetime: 1000, ..Limits::default() });
    assert!(encoder.template(&template));
    assert_eq!(decoder.decode(0, &encoder.finish(0).unwrap()).templates, 1);
    assert!(encoder.record(&template, &values));
    let data = encoder.finish(0).unwrap();
    assert_eq!(decoder.decode(900, &data).records.len(), 1);
    let got = decoder.decode(1001, &data);
    assert_eq!(
        (got.records.len(), got.unknown_sets),
        (0, 1),
        "the template expired after a second without repetition"
    );
    for id in 400..403 {
        encoder.template(&Template { id, ..template.clone() });
    }
    assert_eq!(decoder.decode(1001, &encoder.finish(0).unwrap()).error, Some(DecodeError::LimitExceeded));
    assert!(encoder.withdraw(400, 0));
    assert_eq!(decoder.decode(1002, &encoder.finish(0).unwrap()).templates, 1);
    assert!(encoder.template(&template));
    assert_eq!(decoder.decode(1003, &encoder.finish(0).unwrap()).error, None, "the withdrawal made space");
    // Observation domains do not share templates.
    let mut other = Encoder::new(Version::Ipfix, 2, 1400, 0, 0);
    assert!(other.record(&template, &values));
    assert_eq!(decoder.decode(1003, &other.finish(0).unwrap()).unknown_sets, 1);
}

#[test]
fn the_largest_message_is_filled_and_never_exceeded() {
    let template = flow_template(None);
    let values = flow_values();
    let mut encoder = Encoder::new(Version::Ipfix, 1, 1_000_000, 0, 0);
    assert!(encoder.template(&template));
    let mut count = 0;
    while encoder.record(&template, &values) {
        count += 1;
    }
    let message = encoder.finish(0).unwrap();
    assert!(message.len() <= 65_535 && message.len() > 65_535 - 40, "{}", message.len());
    let mut splitter = MessageSplitter::default();
    for chunk in message.chunks(1000) {
        assert_eq!(splitter.next_message(), Ok(None));
        splitter.push(chunk);
    }
    let message = splitter.next_message().unwrap().unwrap();
    assert_eq!(Decoder::new(Limits::default()).decode(0, &message).records.len(), count);
}

/// A record that fills a message can have padding before and after it: the message must still not exceed its limit.
#[test]
fn the_padding_of_two_sets_stays_within_the_limit() {
    let field = Field { element: elements::CLIENT_V4, length: 4 };
    let options = Template { id: 256, scope: 1, fields: vec![field] };
    let name = Field { element: elements::CLIENT_V4, length: VARIABLE_LENGTH };
    let text = Template { id: 257, scope: 0, fields: vec![field, name] };
    let limits = [1400, 1401, 1402, 1403, 65_532, 65_533, 65_534, 65_535];
    for limit in limits {
        for length in limit - 60..limit {
            let mut encoder = Encoder::new(Version::Ipfix, 1, limit, 0, 0);
            assert!(encoder.template(&options));
            let is_added = encoder.record(&text, &[Value::Number(1), Value::Bytes(vec![7; length].into())]);
            let message = encoder.finish(0).unwrap();
            assert!(message.len() <= limit, "{} bytes of {limit}", message.len());
            let in_header = usize::from(u16::from_be_bytes([message[2], message[3]]));
            assert_eq!(in_header, message.len());
            assert_eq!(Decoder::new(Limits::default()).decode(0, &message).error, None);
            assert!(is_added || length > limit - 50, "{length} bytes fit in {limit}");
        }
    }
}
