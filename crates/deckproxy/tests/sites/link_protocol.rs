//! Connections to the link's listener that don't follow its protocol.

use crate::{SOUTHERN, SitePair, operator_text};
use deckproxy::protocol::link;
use deckproxy_sites::frame::{Frame, Hello, Payload};
use deckproxy_standins::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

fn hello(to: &str, version: u32) -> Frame {
    let hello = Hello {
        version,
        site: "west".into(),
        peer_site: to.into(),
        epoch: 5,
        session: 6,
        next_attempt: 1,
        ..Hello::default()
    };
    Payload::Hello(hello).into()
}

/// All frames that the gateway sends until it closes the connection.
fn read_frames(mut stream: &TcpStream) -> Vec<Frame> {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    let (mut buffer, decoder) = (bytes::BytesMut::from(&all[..]), link::Decoder);
    std::iter::from_fn(|| decoder.next(&mut buffer).unwrap()).collect()
}

#[test]
fn incompatible_hello_is_reported_to_both_sides() {
    let pair = SitePair::start();
    let listen_address: SocketAddr =
        pair.south.setup.operator.as_ref().unwrap().split('"').nth(3).unwrap().parse().unwrap();
    for (frame, reason) in
        [(hello("east", 1), "this is site"), (hello("south", 9), "version 1 of the link protocol")]
    {
        let mut stream = TcpStream::connect(listen_address).unwrap();
        stream.write_all(&link::encode_frame(&frame)).unwrap();
        let frames = read_frames(&stream);
        let has_goodbye = frames.iter().any(
            |f| matches!(&f.payload, Some(Payload::Goodbye(goodbye)) if goodbye.reason.contains(reason)),
        );
        assert!(has_goodbye, "{frames:?}");
        until("the reason is logged", || pair.south.gateway.log().contains(reason));
    }
}

/// Regression test: accepting stopped until another link connected.
#[test]
fn link_gets_a_descriptor_when_clients_use_all() {
    let members = TestSite::start();
    let mut setup = members.setup();
    let listen_address = free_address();
    setup.operator =
        Some(operator_text("south", listen_address, &[("north", free_address())], &[("a", "north", "")]));
    let gateway = setup.start_limited("ulimit -n 32");
    let _silent = gateway.fill_descriptors(32);
    let mut stream = TcpStream::connect(listen_address).unwrap();
    stream.write_all(&link::encode_frame(&hello("east", 1))).unwrap();
    let frames = read_frames(&stream);
    assert!(frames.iter().any(|f| matches!(&f.payload, Some(Payload::Goodbye(_)))), "{frames:?}");
}

#[test]
fn malformed_link_bytes_close_only_their_connection() {
    let mut pair = SitePair::start();
    let listen_address: SocketAddr =
        pair.south.setup.operator.as_ref().unwrap().split('"').nth(3).unwrap().parse().unwrap();
    let mut good = link::encode_frame(&hello("south", 1)).to_vec();
    // A valid hello, followed by a second one, which a requester never sends.
    good.extend(link::encode_frame(&Payload::Hello(Hello::default()).into()));
    let cases: [&[u8]; 5] =
        [b"\xff\xff\xff\xffrest", b"\0\0\0\x05nodes", &[0; 64], b"GET / HTTP/1.1\r\n\r\n", &good];
    let id = pair.client.request_object(SOUTHERN);
    let (cache, request) = pair.south.members.next_request();
    for bytes in cases {
        let mut stream = TcpStream::connect(listen_address).unwrap();
        stream.write_all(bytes).unwrap();
        read_frames(&stream);
    }
    // A silent connection is closed too.
    read_frames(&TcpStream::connect(listen_address).unwrap());
    cache.answer(&request, "200", b"unharmed");
    pair.client.expect_served(id, b"unharmed");
}
