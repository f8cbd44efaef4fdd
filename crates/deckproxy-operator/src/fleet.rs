//! The fleet's part of the file: relations between its entries, and its form for `deckproxy-fleet`.

use crate::finding::Finding;
use crate::{Client, Fleet, Operator, Overload, defaults};
use deckproxy_fleet::fleet::Settings;
use deckproxy_fleet::health::Thresholds;
use deckproxy_fleet::instance::Instance;
use deckproxy_fleet::overload::{self, Class, shed_controller};
use deckproxy_fleet::swim::SwimTiming;
use deckproxy_recovery::budget;
use ipnet::IpNet;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Fleet {
    /// Where datagrams come in.
    pub fn listens(&self) -> Option<SocketAddr> {
        self.listen.parse().ok()
    }

    /// How an instance takes part, defaults filled in. `instance` and `zone`: the platform's names for it and its locality;
    /// `start`: a number that is higher at each start. The error tells what the platform's names lack.
    ///
    /// # Errors
    /// A message if the instance's name or zone is missing or invalid, or if its address is not a socket address.
    pub fn settings(&self, instance: &str, zone: &str, start: u64) -> Result<Settings, String> {
        let named = |given: &Option<String>, platform: &str, field: &str| {
            let name = given.as_deref().unwrap_or(platform);
            let good = crate::rules::instance_name(name, &());
            good.map(|()| name.into()).map_err(|e| format!("fleet.{field} must be set: the platform's {e}"))
        };
        let own = Instance {
            name: named(&self.instance, instance, "instance")?,
            zone: named(&self.zone, zone, "zone")?,
            address: self
                .address
                .as_ref()
                .unwrap_or(&self.listen)
                .parse()
                .map_err(|_| "fleet.listen is no address".to_string())?,
            incarnation: start,
            renewals: 0,
            weight: self.weight.unwrap_or(defaults::WEIGHT) as u16,
        };
        let probes = self.probes.unwrap_or_default();
        let beat = f64::from(self.beat_ms.unwrap_or(defaults::BEAT_MS));
        Ok(Settings {
            fleet: self.name.clone(),
            own,
            prefixes: self.networks(),
            seeds: self.seeds.iter().filter_map(|at| at.parse().ok()).collect(),
            addresses: self
                .ways
                .iter()
                .filter_map(|way| Some((way.instance.as_str().into(), way.address.parse().ok()?)))
                .collect(),
            expected_instances: self.instances.unwrap_or(defaults::INSTANCES) as usize,
            bytes_per_second: f64::from(self.kb_per_s.unwrap_or(defaults::KB_PER_S)) * 1024.0,
            heartbeat_interval: beat,
            digest_interval: beat / 2.0,
            pause_threshold: f64::from(self.pause_ms.unwrap_or(defaults::PAUSE_MS)),
            forget_after: f64::from(self.forget_ms.unwrap_or(defaults::FORGET_MS)),
            swim: SwimTiming { probe_period: beat, probe_timeout: beat * 0.3, suspicion: beat * 2.0 },
            observers: probes.observers.unwrap_or(defaults::OBSERVERS) as usize,
            health_check_interval: f64::from(probes.interval_ms.unwrap_or(defaults::INTERVAL_MS)),
            max_ejected_share: probes.most_held.unwrap_or(defaults::MOST_HELD),
            reinstatement_spread: f64::from(probes.spread_ms.unwrap_or(defaults::SPREAD_MS)),
            thresholds: Thresholds {
                failures: probes.fails.unwrap_or(defaults::FAILS),
                ..Thresholds::default()
            },
            overload: None,
        })
    }

    fn networks(&self) -> Vec<IpNet> {
        self.prefixes.iter().filter_map(|net| net.parse().ok()).collect()
    }
}

/// What the platform's settings say that overload has to do with.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Worth of each class, and whether it has an effect.
    pub classes: Vec<(f64, bool)>,
    /// Clients may be told when to come back, and the longest time for that, ms.
    pub advice: bool,
    /// See `advice`.
    pub most_back: f64,
}

/// Repeats that an instance may have saved up while nothing is cut.
const SAVED: f64 = 5.0;

impl Overload {
    /// How overload is handled in a fleet of that name, defaults filled in.
    pub fn settings(&self, fleet: &str, platform: &Platform) -> overload::Settings {
        let mut worths: Vec<f64> = platform.classes.iter().map(|(worth, _)| *worth).collect();
        worths.sort_by(f64::total_cmp);
        worths.dedup();
        let band = |worth: f64| worths.iter().position(|w| *w == worth).unwrap_or(0);
        let share = self.share_of_repeats.unwrap_or(defaults::FLEET_SHARE_OF_REPEATS);
        let most_back = platform.most_back.max(1.0);
        overload::Settings {
            fleet: fleet.to_string(),
            classes: platform
                .classes
                .iter()
                .map(|(w, effect)| Class { band: band(*w), has_effect: *effect })
                .collect(),
            limits: shed_controller::Limits {
                bad_share: self.bad_share.unwrap_or(defaults::FLEET_BAD_SHARE),
                good_share: self.good_share.unwrap_or(defaults::FLEET_GOOD_SHARE),
                wasted_share: self.vain_share.unwrap_or(defaults::VAIN_SHARE),
                retry_ratio: self.repeats.unwrap_or(defaults::REPEATS),
                min_rate: f64::from(self.least_per_s.unwrap_or(defaults::LEAST_PER_S)),
                retry_share: share,
            },
            retry_budget: budget::Limits { share, max_saved: SAVED },
            gives_retry_after: platform.advice,
            min_retry_after: f64::from(self.least_back_ms.unwrap_or(defaults::FLEET_LEAST_BACK_MS))
                .min(most_back),
            max_retry_after: most_back,
            remembered: self.remembered.unwrap_or(defaults::FLEET_REMEMBERED) as usize / 2,
            window: f64::from(defaults::WINDOW_MS),
        }
    }

    /// Who a repeat is known by.
    pub fn known_by(&self) -> Client {
        self.client.and_then(|c| Client::try_from(c).ok()).unwrap_or(Client::Address)
    }
}

/// Faults of entries beside each other.
pub(crate) fn check(operator: &Operator) -> Vec<Finding> {
    let Some(fleet) = &operator.fleet else { return Vec::new() };
    let mut findings = Vec::new();
    let address = |text: &str| text.parse::<SocketAddr>().ok();
    let told = fleet.address.as_deref().unwrap_or(&fleet.listen);
    let field = if fleet.address.is_some() { "address" } else { "listen" };
    if address(told).is_some_and(|at| at.ip().is_unspecified()) {
        let what = format!("{told} is no address at which others reach it: set fleet.address");
        findings.push(Finding::new(format!("fleet.{field}"), what));
    }
    let networks = fleet.networks();
    if networks.len() == fleet.prefixes.len() {
        let within = |at: SocketAddr| networks.iter().any(|net| net.contains(&at.ip().to_canonical()));
        for (i, seed) in fleet.seeds.iter().enumerate() {
            if address(seed).is_some_and(|at| !within(at)) {
                let what = format!("{seed} is in none of fleet.prefixes: what it says would not be believed");
                findings.push(Finding::new(format!("fleet.seeds[{i}]"), what));
            }
        }
    }
    if let Some(overload) = &fleet.overload {
        let bad = overload.bad_share.unwrap_or(defaults::FLEET_BAD_SHARE);
        let good = overload.good_share.unwrap_or(defaults::FLEET_GOOD_SHARE);
        if good < bad {
            let field = if overload.good_share.is_some() { "good_share" } else { "bad_share" };
            let what = format!("good_share ({good}) is below bad_share ({bad})");
            findings.push(Finding::new(format!("fleet.overload.{field}"), what));
        }
        if operator.recovery.is_some() {
            let what =
                "recovery does for an instance alone what this does for the fleet: leave one of them out";
            findings.push(Finding::new("fleet.overload".to_string(), what.to_string()));
        }
    }
    let mut seen = BTreeSet::new();
    for (i, way) in fleet.ways.iter().enumerate() {
        if !seen.insert(&way.instance) {
            let what = format!("{:?} has a way already", way.instance);
            findings.push(Finding::new(format!("fleet.ways[{i}].instance"), what));
        }
    }
    findings
}
