//! Reload of the configuration while serving.

use deckproxy_standins::*;
use serde_json::json;
use std::io::Read;

#[test]
fn feed_address_change_keeps_open_requests() {
    let site = TestSite::start();
    let (old, new) = (Feed::start(), Feed::start());
    let mut setup = site.setup();
    setup.feed = old.address;
    let gateway = setup.start();
    let mut client = gateway.client();
    let (_, subscription) = old.accept();
    send_line(&subscription, &group_purge(2, 5));
    until("the purge is applied", || site.is_bound_by_purge(&mut client, 5));
    let held = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    setup.feed = new.address;
    let mut lines = Vec::new();
    for _ in 0..3 {
        gateway.reload(Some(&setup.config().to_string()));
        let (from, subscription) = new.accept();
        assert_eq!(from, 2, "subscribed after the last event");
        lines.push(subscription);
    }
    // The old connection is closed, and no new one is opened to the old address.
    subscription.set_read_timeout(Some(PATIENCE)).unwrap();
    assert!(matches!((&subscription).read(&mut [0]), Ok(0) | Err(_)));
    send_line(&lines[2], &group_purge(3, 6));
    until("the purge is applied", || site.is_bound_by_purge(&mut client, 6));
    cache.answer(&request, "200", b"held");
    client.expect_served(held, b"held");
}

#[test]
fn invalid_configuration_changes_nothing_and_is_logged() {
    let site = TestSite::start();
    let SubscribedGateway { gateway, mut client, feed, subscription } = site.start_subscribed();
    let mut wrong = site.setup().config();
    wrong["feed"] = json!("nowhere");
    let whole = site.setup().config().to_string();
    let cases = [
        (Some(wrong.to_string()), "configuration field feed"),
        (Some(whole[..whole.len() / 2].to_string()), "no JSON"),
        (Some(String::new()), "no JSON"),
        (None, "cannot read the configuration"),
    ];
    for (text, why) in cases {
        gateway.reload(text.as_deref());
        until(why, || gateway.log().contains(why));
    }
    send_line(&subscription, &group_purge(2, 5));
    until("events of the old feed still apply", || site.is_bound_by_purge(&mut client, 5));
    drop(subscription);
    assert_eq!(feed.accept().0, 2);
}

#[test]
fn new_limits_apply_after_reload() {
    let site = TestSite::start();
    let mut setup = site.setup();
    let gateway = setup.start();
    setup.sockets = 48;
    gateway.reload(Some(&setup.config().to_string()));
    until("the configuration is reloaded", || gateway.log().contains("reload"));
    let all: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
    until("connections over the limit are closed", || gateway.usage().descriptors <= 48);
    drop(all);
}

/// Regression test: the file could not be opened, so the old configuration stayed in force and its feed was retried.
#[test]
fn reload_gets_a_descriptor_when_clients_use_all() {
    let site = TestSite::start();
    let (old, new) = (Feed::start(), Feed::start());
    let mut setup = site.setup();
    setup.feed = old.address;
    let gateway = setup.start_limited("ulimit -n 32");
    let (_, _line) = old.accept();
    setup.feed = new.address;
    std::fs::write(&gateway.path, setup.config().to_string()).unwrap();
    let _silent = gateway.fill_descriptors(32);
    gateway.signal("HUP");
    assert_eq!(new.accept().0, 1, "{}", gateway.log());
}

#[test]
fn reload_during_shutdown_is_harmless() {
    let site = TestSite::start();
    let setup = site.setup();
    let mut gateway = setup.start();
    let mut client = gateway.client();
    let id = client.request_object(OBJECT);
    let (cache, request) = site.next_request();
    gateway.signal("TERM");
    until("the shutdown begins", || gateway.log().contains("graceful shutdown begins"));
    gateway.reload(Some(&setup.config().to_string()));
    until("the configuration is reloaded", || gateway.log().contains("reload"));
    cache.answer(&request, "200", b"x");
    client.expect_served(id, b"x");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}
