//! The `fleet` section of the file: checks of the relations between its fields, and its conversion to the settings of
//! `deckproxy-fleet`.

use crate::finding::Finding;
use crate::fleet_settings_error::FleetSettingsError;
use crate::{Client, Fleet, Operator, Overload, PlatformClass, PlatformSettings, defaults, rules};
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
/// Time for which an instance is suspected before it is declared lost, in heartbeat intervals.
const SUSPICION_MULTIPLE: f64 = 2.0;

impl Fleet {
    /// The address at which datagrams of other instances are received.
    pub fn listen_address(&self) -> Option<SocketAddr> {
        self.listen.parse().ok()
    }

    /// The settings of one instance in its fleet, including defaults. `instance` and `zone` are the platform's names of
    /// the instance and its locality; `incarnation` is a number that increases with each start.
    ///
    /// # Errors
    /// The name of the instance or its zone is invalid, or its address is not a socket address.
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
            // The field's rule allows at most 1000.
            weight: u16::try_from(self.weight.unwrap_or(defaults::fleet::WEIGHT)).unwrap_or(u16::MAX),
        };
        let probes = self.probes.unwrap_or_default();
        let heartbeat_interval = f64::from(self.beat_ms.unwrap_or(defaults::fleet::HEARTBEAT_INTERVAL_MS));
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
            expected_instances: self.instances.unwrap_or(defaults::fleet::EXPECTED_INSTANCES) as usize,
            bytes_per_second: f64::from(self.kb_per_s.unwrap_or(defaults::fleet::SEND_RATE_KB_PER_S))
                * 1024.0,
            heartbeat_interval,
            digest_interval: heartbeat_interval / 2.0,
            pause_threshold: f64::from(self.pause_ms.unwrap_or(defaults::fleet::PAUSE_THRESHOLD_MS)),
            forget_after: f64::from(self.forget_ms.unwrap_or(defaults::fleet::FORGET_AFTER_MS)),
            swim: SwimTiming {
                probe_period: heartbeat_interval,
                probe_timeout: heartbeat_interval * PROBE_TIMEOUT_SHARE,
                suspicion: heartbeat_interval * SUSPICION_MULTIPLE,
            },
            observers: probes.observers.unwrap_or(defaults::health_checks::OBSERVERS) as usize,
            health_check_interval: f64::from(
                probes.interval_ms.unwrap_or(defaults::health_checks::INTERVAL_MS),
            ),
            max_ejected_share: probes.most_held.unwrap_or(defaults::health_checks::MAX_EJECTED_SHARE),
            reinstatement_spread: f64::from(
                probes.spread_ms.unwrap_or(defaults::health_checks::REINSTATEMENT_SPREAD_MS),
            ),
            thresholds: Thresholds {
                failures: probes.fails.unwrap_or(defaults::health_checks::FAILURES),
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

/// Retries that an instance may have saved up while no load is shed.
const MAX_SAVED_RETRIES: f64 = 5.0;

impl Overload {
    /// The settings of overload handling in the fleet of that name, including defaults.
    pub fn settings(&self, fleet: &str, platform: &PlatformSettings) -> overload::Settings {
        let retry_share = self.share_of_repeats.unwrap_or(defaults::overload::RETRY_SHARE);
        let max_retry_after = platform.retry_after_bound();
        let min_retry_after = f64::from(self.least_back_ms.unwrap_or(defaults::overload::MIN_RETRY_AFTER_MS));
        overload::Settings {
            fleet: fleet.to_string(),
            classes: priority_bands(&platform.classes),
            limits: shed_controller::Limits {
                bad_share: self.bad_share.unwrap_or(defaults::overload::BAD_SHARE),
                good_share: self.good_share.unwrap_or(defaults::overload::GOOD_SHARE),
                wasted_share: self.vain_share.unwrap_or(defaults::overload::WASTED_SHARE),
                retry_ratio: self.repeats.unwrap_or(defaults::overload::RETRY_RATIO),
                min_rate: f64::from(self.least_per_s.unwrap_or(defaults::overload::MIN_RATE)),
                retry_share,
            },
            retry_budget: budget::Limits { share: retry_share, max_saved: MAX_SAVED_RETRIES },
            sends_retry_after: platform.sends_retry_after,
            min_retry_after: min_retry_after.min(max_retry_after),
            max_retry_after,
            // The tables of rejected requests and served objects record up to twice this number.
            remembered: self.remembered.unwrap_or(defaults::overload::REMEMBERED_REQUESTS) as usize / 2,
            window: f64::from(defaults::recovery::WINDOW_MS),
        }
    }

    /// What identifies the client of a retry.
    pub fn client_identity(&self) -> Client {
        self.client.and_then(|client| Client::try_from(client).ok()).unwrap_or(Client::Address)
    }
}

/// Assigns the classes to priority bands: those of the lowest priority weight to band 0, those of the next to band 1.
fn priority_bands(classes: &[PlatformClass]) -> Vec<Class> {
    let mut weights: Vec<f64> = classes.iter().map(|class| class.priority_weight).collect();
    weights.sort_by(f64::total_cmp);
    weights.dedup();
    let band = |class: &PlatformClass| weights.iter().position(|weight| *weight == class.priority_weight);
    let class =
        |class: &PlatformClass| Class { band: band(class).unwrap_or(0), has_effect: class.has_effect };
    classes.iter().map(class).collect()
}

/// Checks the relations between fields.
pub(crate) fn check(operator: &Operator) -> Vec<Finding> {
    let Some(fleet) = &operator.fleet else { return Vec::new() };
    let mut findings = check_address(fleet);
    findings.extend(check_seeds(fleet));
    if let Some(overload) = &fleet.overload {
        findings.extend(check_overload(overload, operator.recovery.is_some()));
    }
    findings.extend(check_ways(fleet));
    findings
}

/// Checks that others can send to the advertised address.
fn check_address(fleet: &Fleet) -> Vec<Finding> {
    let address = fleet.advertised_address();
    if !address.parse::<SocketAddr>().is_ok_and(|address| address.ip().is_unspecified()) {
        return Vec::new();
    }
    let field = if fleet.address.is_some() { "address" } else { "listen" };
    let message =
        format!("{address} is not an address at which others reach this instance: set fleet.address");
    vec![Finding::new(format!("fleet.{field}"), message)]
}

/// Checks that datagrams from the seeds are accepted.
fn check_seeds(fleet: &Fleet) -> Vec<Finding> {
    let networks = fleet.networks();
    if networks.len() != fleet.prefixes.len() {
        // An invalid network is reported by the field's own rule.
        return Vec::new();
    }
    let is_outside = |seed: &str| {
        let address = seed.parse::<SocketAddr>().map(|seed| seed.ip().to_canonical());
        address.is_ok_and(|address| !networks.iter().any(|network| network.contains(&address)))
    };
    let mut findings = Vec::new();
    for (index, seed) in fleet.seeds.iter().enumerate().filter(|(_, seed)| is_outside(seed)) {
        let message = format!("{seed} is in none of fleet.prefixes: its datagrams would be rejected");
        findings.push(Finding::new(format!("fleet.seeds[{index}]"), message));
    }
    findings
}

/// Checks that the shares are ordered, and that admission control of the single instance is not enabled as well.
fn check_overload(overload: &Overload, has_recovery: bool) -> Vec<Finding> {
    let mut findings = Vec::new();
    let bad_share = overload.bad_share.unwrap_or(defaults::overload::BAD_SHARE);
    let good_share = overload.good_share.unwrap_or(defaults::overload::GOOD_SHARE);
    if good_share < bad_share {
        let field = if overload.good_share.is_some() { "good_share" } else { "bad_share" };
        let message = format!("good_share ({good_share}) is below bad_share ({bad_share})");
        findings.push(Finding::new(format!("fleet.overload.{field}"), message));
    }
    if has_recovery {
        let message =
            "recovery is for a single instance, fleet.overload for the fleet: leave one of them out";
        findings.push(Finding::new("fleet.overload", message));
    }
    findings
}

/// Checks that no instance has two addresses.
fn check_ways(fleet: &Fleet) -> Vec<Finding> {
    let mut seen = BTreeSet::new();
    let mut findings = Vec::new();
    for (index, way) in fleet.ways.iter().enumerate() {
        if !seen.insert(&way.instance) {
            let message = format!("{:?} already has a way", way.instance);
            findings.push(Finding::new(format!("fleet.ways[{index}].instance"), message));
        }
    }
    findings
}
