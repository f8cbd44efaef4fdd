//! The fleet's part of the file: relations between its entries, and its form for `deckproxy-fleet`.

use crate::finding::Finding;
use crate::fleet_settings_error::FleetSettingsError;
use crate::{Client, Fleet, Operator, Overload, defaults, rules};
use deckproxy_fleet::fleet::Settings;
use deckproxy_fleet::health::Thresholds;
use deckproxy_fleet::instance::Instance;
use deckproxy_fleet::overload::{self, Class, shed_controller};
use deckproxy_fleet::swim::SwimTiming;
use deckproxy_recovery::budget;
use ipnet::IpNet;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Time in which a SWIM probe must be answered, as a share of the heartbeat interval.
const PROBE_TIMEOUT_SHARE: f64 = 0.3;
/// Time for which an instance is suspected before it counts as lost, in heartbeat intervals.
const SUSPICION_MULTIPLE: f64 = 2.0;

impl Fleet {
    /// The address at which datagrams of other instances are received.
    pub fn listen_address(&self) -> Option<SocketAddr> {
        self.listen.parse().ok()
    }

    /// The settings of one instance in its fleet, defaults filled in. `instance` and `zone`: the platform's names for it
    /// and its locality; `incarnation`: a number that is higher at each start.
    ///
    /// # Errors
    /// The instance's name or zone is missing or invalid, or its address is not a socket address.
    pub fn settings(
        &self,
        instance: &str,
        zone: &str,
        incarnation: u64,
    ) -> Result<Settings, FleetSettingsError> {
        let name = self.instance.as_deref().unwrap_or(instance);
        let zone = self.zone.as_deref().unwrap_or(zone);
        rules::check_instance_name(name).map_err(FleetSettingsError::Instance)?;
        rules::check_instance_name(zone).map_err(FleetSettingsError::Zone)?;
        let own = Instance {
            name: name.into(),
            zone: zone.into(),
            address: self.advertised_address().parse().map_err(|_| FleetSettingsError::Address)?,
            incarnation,
            renewals: 0,
            // The rules allow 1000 at most.
            weight: u16::try_from(self.weight.unwrap_or(defaults::WEIGHT)).unwrap_or(u16::MAX),
        };
        let probes = self.probes.unwrap_or_default();
        let heartbeat_interval = f64::from(self.beat_ms.unwrap_or(defaults::BEAT_MS));
        Ok(Settings {
            fleet: self.name.clone(),
            own,
            prefixes: self.networks(),
            seeds: self.seeds.iter().filter_map(|address| address.parse().ok()).collect(),
            addresses: self
                .ways
                .iter()
                .filter_map(|way| Some((way.instance.as_str().into(), way.address.parse().ok()?)))
                .collect(),
            expected_instances: self.instances.unwrap_or(defaults::INSTANCES) as usize,
            bytes_per_second: f64::from(self.kb_per_s.unwrap_or(defaults::KB_PER_S)) * 1024.0,
            heartbeat_interval,
            digest_interval: heartbeat_interval / 2.0,
            pause_threshold: f64::from(self.pause_ms.unwrap_or(defaults::PAUSE_MS)),
            forget_after: f64::from(self.forget_ms.unwrap_or(defaults::FORGET_MS)),
            swim: SwimTiming {
                probe_period: heartbeat_interval,
                probe_timeout: heartbeat_interval * PROBE_TIMEOUT_SHARE,
                suspicion: heartbeat_interval * SUSPICION_MULTIPLE,
            },
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

    /// The address at which others reach this instance.
    fn advertised_address(&self) -> &str {
        self.address.as_deref().unwrap_or(&self.listen)
    }

    /// The networks from which datagrams are accepted.
    fn networks(&self) -> Vec<IpNet> {
        self.prefixes.iter().filter_map(|network| network.parse().ok()).collect()
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
