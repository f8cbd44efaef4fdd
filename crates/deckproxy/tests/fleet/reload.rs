//! Reload of the fleet's settings.

use deckproxy_standins::{MemberEvent, TestSite, free_address, until};

#[test]
fn operator_file_reload_applies_and_names_what_takes_a_restart() {
    let listen_address = free_address();
    let site = TestSite::start();
    let mut setup = site.setup();
    let text = |name: &str, observers: u32| {
        format!(
            "fleet {{ name: \"{name}\" listen: \"{listen_address}\" prefixes: \"127.0.0.0/8\" probes {{ observers: {observers} interval_ms: 100 }} }}"
        )
    };
    setup.operator = Some(text("one", 2));
    let gateway = setup.start();
    let probed = || site.caches.iter().any(|c| matches!(c.next_event(), MemberEvent::HealthCheck(..)));
    until("members receive health checks", probed);
    gateway.reload_operator(&text("one", 0));
    let is_logged = |text: &str| gateway.log().contains(text);
    until("the reload is applied", || is_logged("reload: the fleet's settings are in force"));
    assert!(!is_logged("take a restart"));
    gateway.reload_operator(&text("two", 0));
    until("the log names the settings that take a restart", || {
        is_logged(
            "reload: the fleet's name, listen, instance, zone, address, weight and overload take a restart",
        )
    });
    gateway.reload_operator("");
    until("switching the fleet off takes a restart too", || {
        is_logged("reload: switching the fleet on or off takes a restart")
    });
    gateway.reload_operator("fleet { nmae: \"x\" }");
    until("an invalid file changes nothing", || is_logged("reload: the configuration in force stays"));
}
