//! Flow export of the real gateway: an independent decoder's sums are compared with what clients and members count.

use deckproxy_standins::collector::{Collection, Collector, FlowRecord};
use deckproxy_standins::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

fn operator_text(collectors: &[(SocketAddr, &str)], more: &str) -> String {
    let collectors: Vec<String> = collectors
        .iter()
        .map(|(at, how)| format!("collectors {{ address: \"{at}\" transport: {how} }}\n"))
        .collect();
    let collectors = collectors.concat();
    format!("flows {{\n{collectors} meter {{ active_ms: 300 idle_ms: 100 }} stall_ms: 500 {more} }}\n")
}

fn start(site: &TestSite, operator: String) -> Gateway {
    let mut setup = site.setup();
    setup.operator = Some(operator);
    setup.start()
}

/// Serves one request from a cache with a body of the given size.
fn serve_bytes(site: &TestSite, client: &mut Client, size: usize) {
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    let body = vec![b'x'; size];
    cache.answer(&request, "200", &body);
    client.expect_served(id, &body);
}

/// The sums of the client flows of class `page`; they match a client's own counts if it sends no other requests.
fn page_sums(collection: &Collection) -> [u64; 3] {
    collection.sums(|f| f.leg == "client" && f.class == "page")
}

fn shut_down(mut gateway: Gateway) -> String {
    gateway.signal("TERM");
    assert_eq!(gateway.wait_for_exit(), Some(0));
    gateway.log()
}

#[test]
fn bytes_written_and_read_are_reported_exactly() {
    let (site, collector) = (TestSite::start(), Collector::tcp());
    let gateway = start(&site, operator_text(&[(collector.address, "TCP")], ""));
    let mut client = gateway.client();
    for size in [0, 10, 5000, 150_000] {
        serve_bytes(&site, &mut client, size);
    }
    // A request that all caches reject belongs to another flow.
    let id = client.request_object(OBJECT);
    for _ in 0..6 {
        let Some((cache, request)) = site.request_if_any() else { break };
        cache.answer(&request, "503", b"");
    }
    assert_eq!(client.next_answer().0, id);
    // An invalid request has no known class.
    let before = (client.bytes_written, client.bytes_read);
    let id = client.send_request("nonsense", &[("lookup", OBJECT)], &[]);
    assert_eq!(client.next_answer().0, id);
    until("all requests are reported", || collector.collection().leg_sums("client")[2] == 6);
    let got = collector.collection();
    assert_eq!(page_sums(&got), [before.1, before.0, 5]);
    let unusable = got.sums(|f| f.result == "unusable" && f.class.is_empty());
    assert_eq!(unusable, [client.bytes_read - before.1, client.bytes_written - before.0, 1]);
    let served = got.sums(|f| f.leg == "client" && f.result == "served");
    assert_eq!(served[2], 4);
    // Attempts are separate flows that carry the client that caused them.
    let of_members: Vec<&FlowRecord> =
        got.flows.iter().filter(|f| f.leg == "member" && f.requests > 0).collect();
    assert!(of_members.iter().all(|f| f.member.starts_with("s-0000") && f.class == "page"), "{of_members:?}");
    assert!(
        of_members.iter().all(|f| f.client == Some("127.0.0.1".parse().unwrap()) && f.prefix_length == 32)
    );
    assert!(got.leg_sums("member")[0] > 155_000);
    assert_eq!((got.undecoded, got.missing), (0, 0));
    assert_eq!(got.described.len(), 6, "each enterprise element is described: {:?}", got.described);
    let log = shut_down(gateway);
    assert!(log.contains("collectors[up]") && log.contains("lost[flows:0,unreported:0]"), "{log}");
}

#[test]
fn graceful_shutdown_flushes_flows() {
    let (site, collector) = (TestSite::start(), Collector::tcp());
    // With these settings nothing is exported within the first minute.
    let operator =
        operator_text(&[(collector.address, "TCP")], "").replace("active_ms: 300 idle_ms: 100", "");
    let gateway = start(&site, operator);
    let mut client = gateway.client();
    serve_bytes(&site, &mut client, 3000);
    drop(client);
    shut_down(gateway);
    let got = collector.collection();
    assert_eq!((page_sums(&got)[2], got.missing), (1, 0));
}

#[test]
fn unreachable_collector_delays_shutdown_only_within_its_limit() {
    let site = TestSite::start();
    let gateway = start(&site, operator_text(&[(free_address(), "TCP")], "flush_ms: 200"));
    let mut client = gateway.client();
    serve_bytes(&site, &mut client, 3000);
    drop(client);
    let signalled = Instant::now();
    let log = shut_down(gateway);
    // 700 ms for late requests, 200 ms for flows.
    assert!(signalled.elapsed() < Duration::from_secs(2), "{:?}", signalled.elapsed());
    assert!(!log.contains("waiting[flows:0"), "unreported flows are logged: {log}");
}

#[test]
fn collector_that_starts_late_receives_all_flows() {
    let (site, mut collector) = (TestSite::start(), Collector::tcp());
    collector.stop();
    let gateway = start(&site, operator_text(&[(collector.address, "TCP")], ""));
    let mut client = gateway.client();
    for _ in 0..5 {
        serve_bytes(&site, &mut client, 2000);
        std::thread::sleep(Duration::from_millis(120));
    }
    assert_eq!(collector.collection().messages, 0);
    collector.restart();
    until("all flows are reported", || page_sums(&collector.collection())[2] == 5);
    assert_eq!(page_sums(&collector.collection()), [client.bytes_read, client.bytes_written, 5]);
    // A collector that restarts without templates receives them again and continues to decode.
    collector.stop();
    collector.restart();
    serve_bytes(&site, &mut client, 700);
    until("all flows are reported", || page_sums(&collector.collection())[2] == 6);
    let got = collector.collection();
    assert_eq!(
        (page_sums(&got), got.undecoded, got.missing),
        ([client.bytes_read, client.bytes_written, 6], 0, 0)
    );
}

#[test]
fn reload_changes_collectors_and_spanning_flow_is_complete() {
    let (site, old, new) = (TestSite::start(), Collector::tcp(), Collector::udp());
    let gateway = start(&site, operator_text(&[(old.address, "TCP")], ""));
    let mut client = gateway.client();
    serve_bytes(&site, &mut client, 1000);
    until("the flow is reported", || page_sums(&old.collection())[2] == 1);
    // A request is in flight while the collectors change.
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    gateway.reload_operator(&operator_text(&[(new.address, "UDP")], "rate: 50 domain: 9"));
    until("the reload is applied", || gateway.log().contains("collectors are in force"));
    until("the log says that the domain takes a restart", || gateway.log().contains("take a restart"));
    gateway.reload_operator("flows { collectors { address: \"here\" } }");
    until("the invalid file is rejected", || gateway.log().contains("the configuration in force stays"));
    cache.answer(&request, "200", b"held");
    client.expect_served(id, b"held");
    until("the flow is reported", || page_sums(&new.collection())[2] == 1);
    let (old, new) = (old.collection(), new.collection());
    let sums = [0, 1, 2].map(|i| page_sums(&old)[i] + page_sums(&new)[i]);
    assert_eq!(sums, [client.bytes_read, client.bytes_written, 2]);
    assert_eq!((new.undecoded, new.missing, page_sums(&old)[2]), (0, 0, 1));
}

#[test]
fn udp_flows_are_kept_while_nobody_listens() {
    let (site, mut collector) = (TestSite::start(), Collector::udp());
    collector.stop();
    let gateway = start(&site, operator_text(&[(collector.address, "UDP")], ""));
    let mut client = gateway.client();
    for _ in 0..4 {
        serve_bytes(&site, &mut client, 400);
        std::thread::sleep(Duration::from_millis(150));
    }
    collector.restart();
    until("all flows are reported", || page_sums(&collector.collection())[2] == 4);
    assert_eq!(page_sums(&collector.collection()), [client.bytes_read, client.bytes_written, 4]);
}

#[test]
fn two_gateways_report_to_one_collector_in_their_domains() {
    let (site, collector) = (TestSite::start(), Collector::udp());
    let gateways =
        [1, 2].map(|d| start(&site, operator_text(&[(collector.address, "UDP")], &format!("domain: {d}"))));
    let mut clients = [0, 1].map(|i: usize| gateways[i].client());
    for client in &mut clients {
        for size in [100, 20_000] {
            serve_bytes(&site, client, size);
        }
    }
    until("all flows are reported", || page_sums(&collector.collection())[2] == 4);
    let got = collector.collection();
    let want = [
        clients[0].bytes_read + clients[1].bytes_read,
        clients[0].bytes_written + clients[1].bytes_written,
        4,
    ];
    assert_eq!((page_sums(&got), got.missing, got.undecoded), (want, 0, 0));
}

#[test]
fn client_disconnect_is_reported_as_cut_with_bytes_the_kernel_accepted() {
    let (site, collector) = (TestSite::start(), Collector::tcp());
    let gateway = start(&site, operator_text(&[(collector.address, "TCP")], ""));
    // With a small kernel buffer, most of the answer stays in the gateway.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&gateway.address.into()).unwrap();
    let mut stream: TcpStream = socket.into();
    // More than the kernel buffers for one connection, whatever size it grants, and more than the gateway buffers for a
    // client before it stops reading requests.
    let mut requests = Client::connect(gateway.address);
    let (mut written, mut request_count) = (0, 0);
    for n in 0..30 {
        let object = format!("7f3a9c21e0b4{n:04x}");
        let (_, bytes) = requests.encode_request("page", &[("lookup", &object)], &[]);
        stream.write_all(&bytes).unwrap();
        let Some((cache, request)) = site.request_if_any() else { break };
        (written, request_count) = (written + bytes.len() as u64, request_count + 1);
        cache.answer(&request, "200", &vec![b'x'; 200_000]);
    }
    let mut read = vec![0; 3000];
    stream.read_exact(&mut read).unwrap();
    drop(stream);
    let own = |f: &FlowRecord| f.leg == "client" && f.class == "page";
    let cut = |f: &FlowRecord| own(f) && f.result == "cut";
    until("all requests are reported", || collector.collection().sums(own)[2] == request_count);
    let got = collector.collection();
    assert!(got.sums(cut)[2] >= 1, "a part of the answers stayed in the gateway");
    let [sent, received, _] = got.sums(own);
    assert!((3000..request_count * 200_100).contains(&sent), "{sent} of {request_count}");
    assert_eq!(received, written);
    let before = got.sums(cut)[2];
    // A client that cancels a request and then sends an incomplete message.
    let mut client = gateway.client();
    let id = client.request_object(OBJECT);
    let _ = site.next_request();
    client.cancel(id);
    let written = client.bytes_written;
    client.send(&[0x94, 0x00]);
    drop(client);
    until("the flow is reported", || collector.collection().sums(cut)[2] == before + 1);
    let unclassified = |f: &FlowRecord| f.leg == "client" && f.class.is_empty();
    // The flow without a class counts the initial ping, the cancellation and the two bytes of the incomplete message.
    until("the bytes without a class are reported", || collector.collection().sums(unclassified)[1] > 2);
    until("all bytes are reported", || {
        collector.collection().leg_sums("client")[1] >= received + written + 2
    });
    assert_eq!(collector.collection().leg_sums("client")[2], request_count + 1);
}

#[test]
fn stalled_collector_is_dropped_and_another_takes_over() {
    let (site, first, second) = (TestSite::start(), Collector::tcp(), Collector::tcp());
    first.set_paused(true);
    let gateway = start(
        &site,
        operator_text(&[(first.address, "TCP"), (second.address, "TCP")], "message_bytes: 65000"),
    );
    // Each client address is a flow; these exceed what the kernel buffers for a collector that does not read.
    let request = |n: u32| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let from = SocketAddr::from((std::net::Ipv4Addr::from(0x7f40_0000 + n), 0));
        socket.bind(&from.into()).unwrap();
        socket.connect(&gateway.address.into()).unwrap();
        let mut stream: TcpStream = socket.into();
        // A ping, and an answer of seven bytes.
        stream.write_all(&[0x94, 0, 1, 0xa4, b'p', b'i', b'n', b'g', 0x91, 0x80]).unwrap();
        stream.read_exact(&mut [0; 7]).unwrap();
    };
    let mut request_count = 0;
    let end = Instant::now() + Duration::from_secs(30);
    while !gateway.log().contains("collector 0: stalled") {
        assert!(Instant::now() < end, "never dropped after {request_count} clients: {}", gateway.log());
        (request_count..request_count + 500).for_each(request);
        request_count += 500;
    }
    until("the other collector receives flows", || !second.collection().flows.is_empty());
}

#[test]
fn disabled_flow_export_uses_no_descriptor_and_logs_nothing() {
    let site = TestSite::start();
    let (off, on) = (site.setup().start(), start(&site, operator_text(&[(free_address(), "UDP")], "")));
    std::thread::sleep(QUIET);
    let (off_has, on_has) = (off.usage().descriptors, on.usage().descriptors);
    assert!(off_has < on_has, "{off_has} descriptors without, {on_has} with it");
    assert!(!off.log().contains("collector"));
    assert!(shut_down(off).contains("flows: off"));
}
