//! The old spelling of renamed log keys and texts, logged in addition to the new one for one release.
//!
//! A line with a renamed key carries the value under both keys; a line with a renamed text carries the old text under
//! [`ALIAS_KEY`]. **To be deleted at the release after the next one**, with its two uses: [`AliasDrain`] in `logging`
//! and [`old_key`] in `subsystem::summary_fields`.

use slog::{BorrowedKV, Drain, KV, Key, OwnedKVList, Record, RecordStatic, Serializer};
use std::fmt;

/// The key under which an old text is logged.
pub const ALIAS_KEY: &str = "alias";
/// The key whose value is free text.
const TEXT_KEY: &str = "what";

/// Where a key is used: the old name of a key depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The summary line itself.
    Summary,
    /// Endings of attempts in the summary.
    Attempts,
    /// Sizes of tables in the summary.
    Sizes,
    /// The summary's section on other sites.
    Sites,
    /// The summary's section on admission control.
    Recovery,
    /// The summary's section on flow export.
    Flows,
    /// The summary's section on the fleet.
    Fleet,
    /// The line at the start of a graceful shutdown.
    Shutdown,
    /// The line on the instances of the fleet.
    FleetView,
    /// The line that an instance logs when it joins its fleet.
    FleetJoin,
    /// Any other line.
    Other,
}

impl Scope {
    /// The scope of a line's keys, by its message.
    fn of_line(message: &str) -> Self {
        match message {
            "summary" | "end" => Scope::Summary,
            "graceful shutdown begins" => Scope::Shutdown,
            "fleet view" => Scope::FleetView,
            "fleet: joining" => Scope::FleetJoin,
            _ => Scope::Other,
        }
    }
}

/// A renamed key.
pub struct RenamedKey {
    /// Where it is used.
    pub scope: Scope,
    /// The name in the code.
    pub new: &'static str,
    /// The name before the renaming.
    pub old: &'static str,
}

const fn key(scope: Scope, new: &'static str, old: &'static str) -> RenamedKey {
    RenamedKey { scope, new, old }
}

/// All renamed keys.
pub const RENAMED_KEYS: &[RenamedKey] = &[
    key(Scope::Summary, "accepted", "taken"),
    key(Scope::Summary, "rejected", "refused"),
    key(Scope::Summary, "cancelled", "gone"),
    key(Scope::Summary, "invalid", "unusable"),
    key(Scope::Summary, "in_flight", "owed"),
    key(Scope::Summary, "health_checks", "probes"),
    key(Scope::Summary, "upstreams", "links"),
    key(Scope::Summary, "peak_connections", "most_sockets"),
    key(Scope::Summary, "feed_event", "event"),
    key(Scope::Summary, "broken_invariants", "broken"),
    key(Scope::Attempts, "rejected", "full"),
    key(Scope::Attempts, "not_sent", "moot"),
    key(Scope::Sizes, "upstream_pools", "pools"),
    key(Scope::Sizes, "in_flight_attempts", "carried"),
    key(Scope::Sizes, "tasks", "chores"),
    key(Scope::Sizes, "read_buffers", "read"),
    key(Scope::Sizes, "write_buffers", "unread"),
    key(Scope::Sizes, "health_checks", "probing"),
    key(Scope::Sizes, "known_members", "peers"),
    key(Scope::Sizes, "pending_requests", "deciding"),
    key(Scope::Sizes, "collapsed_fills", "filling"),
    key(Scope::Sites, "endpoints", "ways"),
    key(Scope::Sites, "in_flight", "open"),
    key(Scope::Sites, "unresolved", "lost"),
    key(Scope::Sites, "requests", "taken"),
    key(Scope::Sites, "collapsed", "joined"),
    key(Scope::Sites, "retries", "repeats"),
    key(Scope::Sites, "queued", "parked"),
    key(Scope::Sites, "unreachable", "no_way"),
    key(Scope::Sites, "saturated", "crowded"),
    key(Scope::Sites, "connections_lost", "cuts"),
    key(Scope::Sites, "responder", "far"),
    key(Scope::Sites, "connections", "lines"),
    key(Scope::Sites, "retained_bytes", "kept"),
    key(Scope::Sites, "duplicates", "doubled"),
    key(Scope::Sites, "retained", "kept"),
    key(Scope::Sites, "copy_age_limits", "bounds"),
    key(Scope::Recovery, "classes_shed", "given_up"),
    key(Scope::Recovery, "arrived", "came"),
    key(Scope::Recovery, "retry", "repeat"),
    key(Scope::Recovery, "admitted", "passed"),
    key(Scope::Recovery, "rejected", "refused"),
    key(Scope::Recovery, "too_early", "hasty"),
    key(Scope::Recovery, "too_late", "aged"),
    key(Scope::Recovery, "class_shed", "given_up"),
    key(Scope::Recovery, "overbooked", "crowded"),
    key(Scope::Flows, "exported", "told"),
    key(Scope::Flows, "backlog", "waiting"),
    key(Scope::Flows, "spooled", "flows"),
    key(Scope::Flows, "in_flight", "sent"),
    key(Scope::Flows, "unreported", "untold"),
    key(Scope::Flows, "connections_lost", "breaks"),
    key(Scope::Fleet, "alive", "heard"),
    key(Scope::Fleet, "confirmed", "sure"),
    key(Scope::Fleet, "in_majority", "larger"),
    key(Scope::Fleet, "stale", "old"),
    key(Scope::Fleet, "ejected", "held"),
    key(Scope::Fleet, "health_checks", "probes"),
    key(Scope::Fleet, "store", "board"),
    key(Scope::Fleet, "over_limit", "over"),
    key(Scope::Fleet, "over_budget", "kept_back"),
    key(Scope::Fleet, "accepted", "taken"),
    key(Scope::Fleet, "old_incarnation", "old_life"),
    key(Scope::Fleet, "is_leader", "leads"),
    key(Scope::Fleet, "admitted", "passed"),
    key(Scope::Fleet, "reservations_kept", "kept"),
    key(Scope::Fleet, "rejected", "refused"),
    key(Scope::Fleet, "too_early", "hasty"),
    key(Scope::Fleet, "below_level", "below"),
    key(Scope::Fleet, "reservations_broken", "broken"),
    key(Scope::Fleet, "reservations", "promised"),
    key(Scope::Fleet, "not_shared", "untold"),
    key(Scope::Shutdown, "in_flight", "open"),
    key(Scope::FleetView, "alive", "heard"),
    key(Scope::FleetView, "confirmed", "sure"),
    key(Scope::FleetView, "in_majority", "larger"),
    key(Scope::FleetView, "stale", "old"),
    key(Scope::FleetView, "ejected", "held"),
    key(Scope::FleetView, "store_checksum", "board"),
    key(Scope::FleetJoin, "incarnation", "start"),
    key(Scope::Other, "feed_event", "event"),
    key(Scope::Other, "error", "why"),
];

/// The old name of a key; `None` if it was not renamed.
pub fn old_key(scope: Scope, new: &str) -> Option<&'static str> {
    RENAMED_KEYS.iter().find(|key| key.scope == scope && key.new == new).map(|key| key.old)
}

/// A renamed phrase of messages and texts.
pub struct RenamedText {
    /// The phrase in the code.
    pub new: &'static str,
    /// The phrase before the renaming.
    pub old: &'static str,
}

const fn text(new: &'static str, old: &'static str) -> RenamedText {
    RenamedText { new, old }
}

/// All renamed phrases. The numbers and names around them have kept their places.
pub const RENAMED_TEXTS: &[RenamedText] = &[
    text("graceful shutdown begins", "told to end"),
    text("reload: polling the feed again", "reload: the feed is asked anew"),
    text("reload: collectors are in force", "reload: collectors are taken"),
    text("reload: routes and peers are in force", "reload: routes and peers are taken"),
    text("reload: the fleet's settings are in force", "reload: the fleet's settings are taken"),
    text("fleet: joining", "fleet: takes part"),
    text("fleet: the platform allows no health checks", "fleet: the platform allows no probes"),
    text(
        "recovery: give_up names a class that the settings do not have",
        "recovery: a class is to be given up that the settings do not have",
    ),
    text("a client's connection could not be accepted", "a client's connection could not be taken"),
    text("a link could not be accepted", "a link could not be taken"),
    text("a link is rejected", "a link is turned away"),
    text("a request over a link is rejected", "a request over a link is turned away"),
    text(" attempts in flight", " attempts out"),
    text("entries of the member list could not be read", "lines of the list of members could not be read"),
    text("the connection with the largest write buffer", "the client's connection that leaves most unread"),
    text(
        "a client's connection that reads no answers",
        "a client's connection that leaves its answers unread",
    ),
    text(
        "the retry storm is over: all requests are admitted",
        "the storm of repeats is over: all are let in",
    ),
    text("a retry storm: ", "a storm of repeats: "),
    text(" requests a second are admitted", " requests a second are let in"),
    text("the path to the sources", "the way to the sources"),
    text(" overloaded: the fleet admits ", " crowded: the fleet lets in "),
    text(": all requests are admitted again", ": all are let in again"),
    text("this one has left the fleet", "this one takes no part in the fleet any more"),
    text("an earlier incarnation had number", "an earlier life had number"),
    text("this process was paused for ", "this process stood still for "),
    text("its view of the fleet is stale", "what it knew of the fleet is old"),
    text(
        "was declared dead while alive; refuted with renewal",
        "was taken for dead while alive; goes on as renewal",
    ),
    text("ejected, as its observers agree", "held back, as its observers agree"),
    text("reinstated: ", "taken back: "),
    text(" is healthy, as this instance observes it", " is Good, as this instance observes it"),
    text(" is failing, as this instance observes it", " is Failing, as this instance observes it"),
    text(" is half-open, as this instance observes it", " is Back, as this instance observes it"),
    text(" endpoints are up", " ways are up"),
    text("): down; ", "): cut; "),
    text("link: the peer says: ", "link: the other side says: "),
    text(" is unreachable, or its purges may be missing", " is not heard, or purges of its may be missing"),
    text("all peers are reachable: ", "all peers are heard: "),
    text(": stalled", ": takes nothing"),
    text("broken invariant: health checks are allowed", "broken invariant: probes are allowed"),
    text("it does not read its rejections", "it reads none of its refusals"),
    text("it cancels too many requests in a row", "it takes back all that it asks for"),
];

/// The text before the renaming; `None` if it is unchanged.
pub fn old_text(new: &str) -> Option<String> {
    let old = RENAMED_TEXTS.iter().fold(new.to_string(), |text, phrase| text.replace(phrase.new, phrase.old));
    (old != new).then_some(old)
}

/// Adds the old spelling to each line with a renamed key or text.
pub struct AliasDrain<D>(pub D);

impl<D: Drain> Drain for AliasDrain<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<D::Ok, D::Err> {
        let location = *record.location();
        let parts = RecordStatic { location: &location, tag: record.tag(), level: record.level() };
        let pairs = WithAliases { message: record.msg().to_string(), pairs: record.kv() };
        self.0.log(&Record::new(&parts, record.msg(), BorrowedKV(&pairs)), values)
    }
}

/// A line's key-value pairs, followed by those in the old spelling.
struct WithAliases<'a> {
    message: String,
    pairs: BorrowedKV<'a>,
}

impl KV for WithAliases<'_> {
    fn serialize(&self, record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let scope = Scope::of_line(&self.message);
        self.pairs.0.serialize(record, &mut AliasSerializer { scope, inner: serializer })?;
        match old_text(&self.message) {
            Some(old) => serializer.emit_str(ALIAS_KEY, &old),
            None => Ok(()),
        }
    }
}

/// Emits each value under its key, and also under the old key if the key was renamed.
struct AliasSerializer<'a> {
    scope: Scope,
    inner: &'a mut dyn Serializer,
}

/// Defines the methods that emit a typed value under both keys.
macro_rules! emit_under_both_keys {
    ($($method:ident($value:ty)),* $(,)?) => {
        $(fn $method(&mut self, key: Key, value: $value) -> slog::Result {
            self.inner.$method(key, value)?;
            match old_key(self.scope, key) {
                Some(old) => self.inner.$method(old, value),
                None => Ok(()),
            }
        })*
    };
}

impl Serializer for AliasSerializer<'_> {
    emit_under_both_keys! {
        emit_usize(usize), emit_isize(isize), emit_bool(bool), emit_char(char),
        emit_u8(u8), emit_i8(i8), emit_u16(u16), emit_i16(i16), emit_u32(u32), emit_i32(i32),
        emit_u64(u64), emit_i64(i64), emit_u128(u128), emit_i128(i128), emit_f32(f32), emit_f64(f64),
        emit_arguments(&fmt::Arguments<'_>),
    }

    fn emit_str(&mut self, key: Key, value: &str) -> slog::Result {
        self.inner.emit_str(key, value)?;
        if let Some(old) = old_key(self.scope, key) {
            self.inner.emit_str(old, value)?;
        }
        match old_text(value).filter(|_| key == TEXT_KEY) {
            Some(old) => self.inner.emit_str(ALIAS_KEY, &old),
            None => Ok(()),
        }
    }

    fn emit_unit(&mut self, key: Key) -> slog::Result {
        self.inner.emit_unit(key)?;
        old_key(self.scope, key).map_or(Ok(()), |old| self.inner.emit_unit(old))
    }

    fn emit_none(&mut self, key: Key) -> slog::Result {
        self.inner.emit_none(key)?;
        old_key(self.scope, key).map_or(Ok(()), |old| self.inner.emit_none(old))
    }
}
