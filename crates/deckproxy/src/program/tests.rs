//! Connections whose slice of the event loop has ended before they are served, as if the process had not been scheduled
//! meanwhile. Only what is left then may wait in the backlog, behind the connections whose peers send without a pause.

use crate::program::connections::ReadySource;
use crate::program::files::Files;
use crate::program::gateway::Gateway;
use crate::protocol::{config, limits, link};
use crate::routing::ClientId;
use crate::transport::clock;
use crate::transport::stream::Progress;
use calloop::EventLoop;
use deckproxy_operator::Operator;
use deckproxy_sites::frame::{Frame, Heartbeat, Payload};
use deckproxy_standins::{Client, OBJECT, Setup, TestSite, free_address, until};
use slog::{Logger, o};
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// A gateway in this process. Its loop runs only when told to.
struct LocalGateway {
    gateway: Gateway,
    events: EventLoop<'static, Gateway>,
}

impl LocalGateway {
    fn start(setup: &Setup, operator: Operator) -> Self {
        let config = config::read(setup.config().to_string().as_bytes()).unwrap();
        let events = EventLoop::try_new().unwrap();
        let log = Logger::root(slog::Discard, o!());
        let gateway = Gateway::new(events.handle(), log, Files { config, operator }).unwrap();
        LocalGateway { gateway, events }
    }

    fn start_with_client(setup: &Setup) -> (Self, Client, ClientId) {
        let mut local = Self::start(setup, Operator::default());
        let client = Client::connect(setup.listen);
        local.run_loop_until("the client is accepted", |gateway| !gateway.clients.is_empty());
        let id = *local.gateway.clients.keys().next().unwrap();
        (local, client, id)
    }

    fn run_loop_until(&mut self, what: &str, holds: impl Fn(&Gateway) -> bool) {
        until(what, || {
            self.events.dispatch(Duration::ZERO, &mut self.gateway).unwrap();
            self.gateway.turn().unwrap();
            holds(&self.gateway)
        });
    }

    /// Has the gateway take note that a client has sent something.
    fn client_is_readable(&mut self, id: ClientId) {
        self.gateway.clients.get_mut(&id).unwrap().stream.assume_readable();
    }

    fn serve_client_in_an_ended_slice(&mut self, id: ClientId) {
        let now = clock::now();
        self.gateway.read_client_until(now, id, now - 1.0);
    }
}

/// Regression test: a client that had sent one message waited behind all that send without a pause if its slice ended before
/// the message was handled, or while it was.
#[test]
fn client_of_which_all_is_handled_has_no_backlog() {
    let (mut local, mut client, id) = LocalGateway::start_with_client(&Setup::knowing(&[]));
    client.ping();
    local.client_is_readable(id);
    local.serve_client_in_an_ended_slice(id);
    assert!(!local.gateway.clients[&id].has_backlog);
    assert_eq!(local.gateway.unfinished_slices, 0);
    client.next_answer();
}

/// Regression test: so did a client that had sent a few messages.
#[test]
fn client_with_a_small_rest_is_served_with_those_that_are_ready() {
    let (mut local, mut client, id) = LocalGateway::start_with_client(&Setup::knowing(&[]));
    for _ in 0..3 {
        client.ping();
    }
    local.client_is_readable(id);
    for messages_left in [2, 1] {
        local.serve_client_in_an_ended_slice(id);
        assert!(local.gateway.clients[&id].has_backlog, "{messages_left} are left");
        assert_eq!(local.gateway.ready.pop(), Some(ReadySource::Client(id)));
    }
    local.serve_client_in_an_ended_slice(id);
    assert!(!local.gateway.clients[&id].has_backlog);
    assert_eq!(local.gateway.unfinished_slices, 2);
}

/// Guards the other side: one that has sent much waits behind them.
#[test]
fn client_with_a_large_rest_waits_in_the_backlog() {
    let (mut local, mut client, id) = LocalGateway::start_with_client(&Setup::knowing(&[]));
    let (_, ping) = client.encode_request("ping", &[], &[]);
    client.send(&ping.repeat(limits::CLIENT_READ / ping.len()));
    local.client_is_readable(id);
    local.serve_client_in_an_ended_slice(id);
    assert_eq!(local.gateway.ready.ready(), 0);
    assert_eq!(local.gateway.ready.pop_backlog(), Some(ReadySource::Client(id)));
}

/// Regression test: the reply of a member waited in the same way.
#[test]
fn member_connection_is_read_before_its_slice_ends() {
    let site = TestSite::start();
    let (mut local, mut client, _) = LocalGateway::start_with_client(&site.setup());
    let request = client.request_object(OBJECT);
    local.run_loop_until("an attempt is sent", |gateway| !gateway.attempt_upstreams.is_empty());
    let upstream = *local.gateway.attempt_upstreams.values().next().unwrap();
    local.run_loop_until("a member is connected", |gateway| !gateway.upstreams[&upstream].connecting);
    let (cache, attempt) = site.next_request();
    cache.answer(&attempt, "200", b"body");
    let now = clock::now();
    local.gateway.upstreams.get_mut(&upstream).unwrap().connection.stream.assume_readable();
    assert_eq!(local.gateway.read_upstream_until(now, upstream, now - 1.0), Progress::Drained);
    client.expect_served(request, b"body");
}

/// Regression test: a link whose only frame was handled waited in the same way with what came after.
#[test]
fn link_of_which_all_is_handled_has_no_backlog() {
    let listen = free_address();
    let operator = format!("sites {{ name: \"south\" listen: \"{listen}\" }}");
    let operator = deckproxy_operator::read(operator.as_bytes()).unwrap();
    let mut local = LocalGateway::start(&Setup::knowing(&[]), operator);
    let mut peer = TcpStream::connect(listen).unwrap();
    let links =
        |gateway: &Gateway| gateway.site_links.as_ref().unwrap().open.keys().copied().collect::<Vec<_>>();
    local.run_loop_until("the link is accepted", |gateway| !links(gateway).is_empty());
    let id = links(&local.gateway)[0];
    peer.write_all(&link::encode_frame(&Frame::from(Payload::Ping(Heartbeat::default())))).unwrap();
    local.gateway.site_links.as_mut().unwrap().open.get_mut(&id).unwrap().stream.assume_readable();
    let now = clock::now();
    local.gateway.read_link_until(now, id, now - 1.0);
    assert_eq!(local.gateway.ready.backlog(), 0);
}
