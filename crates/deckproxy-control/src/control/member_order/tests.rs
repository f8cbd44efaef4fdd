//! The order of members, their loads and the indexes of the member table, compared with plain computations over all
//! members on random pools.

use super::*;
use crate::control::request_state::PendingRequest;
use crate::interface::{Class, Event, Group, Idempotency, Lifecycle, ListKind, Member, Settings, SlowStart};
use proptest::prelude::*;

const CACHE_KINDS: [u32; 2] = [0, 3];
const PARENT_KIND: u32 = 1;
const ORIGIN_KIND: u32 = 2;
const ZONE: u32 = 1;
const NOW: Millis = 50_000.0;

/// What a member has been through.
#[derive(Clone, Debug)]
struct History {
    member: Member,
    /// Latency inflations, and how long ago each was observed.
    inflations: Vec<(f64, Millis)>,
    in_flight: f64,
    reported: Option<f64>,
    unanswered_sends: u32,
    is_ejected: bool,
    has_trial: bool,
}

fn any_member() -> impl Strategy<Value = Member> {
    let kind = prop_oneof![
        6 => Just(CACHE_KINDS[0]), 2 => Just(CACHE_KINDS[1]), 4 => Just(PARENT_KIND), 1 => Just(ORIGIN_KIND)
    ];
    let zone = prop_oneof![4 => Just(ZONE), 1 => Just(0)];
    let lifecycle =
        prop_oneof![8 => Just(Lifecycle::Ready), 1 => Just(Lifecycle::Draining), 1 => Just(Lifecycle::Gone)];
    let started = prop_oneof![3 => Just(None), 1 => (0.0..20_000.0).prop_map(|age| Some(NOW - age))];
    let weight = prop_oneof![3 => Just(8.0), 1 => Just(2.0), 1 => 0.5..20.0];
    let ids = prop_oneof![1 => 0u32..60, 2 => any::<u32>()];
    (ids, kind, zone, lifecycle, started, weight).prop_map(|(id, kind, zone, lifecycle, started, weight)| {
        Member { id, kind, zone, lifecycle, started, weight, cell: 0 }
    })
}

fn any_history() -> impl Strategy<Value = History> {
    let inflation = (prop_oneof![3 => Just(0.1), 2 => 0.05..1.5, 1 => 2.0..12.0], 0.0..40_000.0);
    let observed = (proptest::collection::vec(inflation, 0..4), 0u32..40, proptest::option::of(0.0..80.0));
    let health = (0u32..6, proptest::bool::weighted(0.15), proptest::bool::weighted(0.15));
    (any_member(), observed, health).prop_map(
        |(member, (inflations, in_flight, reported), (unanswered_sends, is_ejected, has_trial))| History {
            member,
            inflations,
            in_flight: f64::from(in_flight),
            reported,
            unanswered_sends,
            is_ejected,
            has_trial,
        },
    )
}

fn class() -> Class {
    Class {
        latency_objective: 600.0,
        latency_objective_stretch: 1.0,
        deadline: 4000.0,
        priority_weight: 1.0,
        late_weight_share: 0.0,
        idempotency: Idempotency::Idempotent,
        group: Group::All,
        dedup_window: 0.0,
        freshness_lifetime: 0.0,
        stale_lifetime: 0.0,
        stale_weight_share: 0.0,
        write: false,
        stream: false,
    }
}

/// Pools of up to some hundred members, most of them small.
fn any_histories() -> impl Strategy<Value = Vec<History>> {
    use proptest::collection::vec;
    prop_oneof![4 => vec(any_history(), 1..60), 1 => vec(any_history(), 100..300)]
}

fn settings(routers: u32, weights_are_capacities: bool) -> Settings {
    let slow_start =
        SlowStart { initial_share: 0.2, duration: 8000.0, overload_multiple: 3.0, overload_window: 1000.0 };
    Settings {
        classes: vec![class()],
        zone: ZONE,
        routers,
        parent_kind: Some(PARENT_KIND),
        origin_kind: Some(ORIGIN_KIND),
        transfer_rate: 1000.0,
        weights_are_capacities,
        cache_slow_start: slow_start,
        parent_slow_start: slow_start,
        ..Settings::default()
    }
}

/// A router whose members have these histories.
fn router(settings: Settings, histories: &[History]) -> Control {
    let mut control = Control::new(settings, 1);
    let list = histories.iter().map(|history| history.member).collect();
    control.handle(0.0, Event::MemberList(ListKind::Full, list), &mut Vec::new());
    for history in histories {
        apply_history(&mut control, history);
    }
    control.now = NOW;
    control
}

fn apply_history(control: &mut Control, history: &History) {
    let id = history.member.id;
    let Some(state) = control.members.get_mut(id) else { return };
    let mut inflations = history.inflations.clone();
    inflations.sort_by(|a, b| b.1.total_cmp(&a.1));
    for (inflation, age) in inflations {
        state.record_inflation(inflation, NOW - age);
    }
    state.in_flight.add(history.in_flight, NOW - 3000.0);
    if let Some(reported) = history.reported {
        state.in_flight.report(reported, NOW - 500.0);
    }
    control.members.change_health(id, |health| {
        health.unanswered_sends = history.unanswered_sends;
        if history.is_ejected {
            health.ejected_until = NOW + 1.0;
        }
        health.is_half_open |= history.is_ejected || history.has_trial;
        health.trial_in_flight = history.has_trial;
    });
    // The throughput of kinds is learned from all members alike.
    control.now = NOW - 2000.0 + f64::from(id % 1000);
    control.record_throughput(id, 40.0, Some(0.5));
}

fn all(control: &Control) -> Vec<Member> {
    control.members.ids().map(|id| control.members[&id].listed).collect()
}

/// The ready members that can replace a member, and the member itself.
fn plain_pool(control: &Control, of: &Member) -> Vec<Member> {
    let is_in_pool = |other: &Member| {
        let is_same = if control.is_cache(of) {
            control.is_cache(other) && other.zone == of.zone
        } else {
            other.kind == of.kind
        };
        is_same && other.lifecycle == Lifecycle::Ready
    };
    all(control).into_iter().filter(is_in_pool).collect()
}

fn plain_load(control: &Control, member: &Member) -> f64 {
    let state = &control.members[&member.id];
    let inflation = |id: MemberId| control.members[&id].inflation(NOW);
    let pool = plain_pool(control, member);
    let mut others: Vec<f64> =
        pool.iter().filter(|other| other.id != member.id).map(|other| inflation(other.id)).collect();
    others.sort_by(f64::total_cmp);
    let ratio =
        others.get(others.len().saturating_sub(1) / 2).map(|median| inflation(member.id) / median.max(0.5));
    let slowness = ratio.filter(|ratio| *ratio > 1.6).unwrap_or(1.0);
    let in_flight = state.in_flight.total(control.routers_sharing(member), NOW);
    control.capacity(member).map_or(0.0, |capacity| in_flight * slowness / capacity.max(0.1))
}

/// All usable members of a pool: sorted by whether they are overloaded, then by score.
fn plain_order(control: &Control, pool: &[Member], key: u64, spill_load: f64) -> Vec<MemberId> {
    let load = |member: &Member| plain_load(control, member);
    let mean = pool.iter().map(load).sum::<f64>() / pool.len().max(1) as f64;
    let is_overloaded = |member: &Member| load(member) > spill_load && load(member) > 1.3 * mean;
    let score = |member: &Member| {
        let bits =
            mix64(mix64(key.wrapping_add(0x9e37_79b9_7f4a_7c15)) ^ mix64(u64::from(member.id) + 0x5851));
        -member.weight / (((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64).ln()
    };
    let usable = pool.iter().filter(|member| control.members[&member.id].is_usable(NOW));
    let mut sorted: Vec<_> = usable.map(|member| (is_overloaded(member), score(member), member.id)).collect();
    sorted.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
    sorted.into_iter().map(|(_, _, id)| id).collect()
}

/// The sources of a request: all usable ones whose slow-start budgets allow a send, if they are not too slow, else the slow
/// ones that are due for a trial.
fn plain_sources(control: &mut Control, request: &Request) -> Vec<MemberId> {
    let pool = plain_pool(control, &Member { kind: PARENT_KIND, ..Member::default() });
    let mut sources = plain_order(control, &pool, request.object, 3.0);
    sources.extend(control.origin());
    sources.retain(|source| control.accepts_attempts(*source));
    let pending = &control.pending[&request.id];
    let is_slow = |source: &MemberId| control.is_too_slow(pending, control.members[source].inflation(NOW));
    let (slow, responsive): (Vec<_>, Vec<_>) = sources.into_iter().partition(is_slow);
    let is_due = |source: &MemberId| control.is_due_for_trial(*source, request);
    if responsive.is_empty() { slow.into_iter().filter(is_due).collect() } else { responsive }
}

fn slow_start_budgets(control: &Control) -> String {
    let budgets = control.members.ids().map(|id| (id, control.members[&id].slow_start_budget));
    format!("{:?}", budgets.collect::<Vec<_>>())
}

fn take_all(control: &Control, mut order: MemberOrder) -> Vec<MemberId> {
    std::iter::from_fn(|| control.next_member(&mut order)).collect()
}

/// Compares each index of the member table with a scan of all members.
fn check_indexes(control: &Control) {
    let members = all(control);
    let ids = |matches: &dyn Fn(&Member) -> bool| -> Vec<MemberId> {
        members.iter().filter(|member| matches(member)).map(|member| member.id).collect()
    };
    let gone = ids(&|member| member.lifecycle == Lifecycle::Gone);
    assert_eq!(control.members.gone().collect::<Vec<_>>(), gone);
    let suspects = ids(&|member| control.members[&member.id].health.is_silence_suspect());
    assert_eq!(control.members.silence_suspects().collect::<Vec<_>>(), suspects);
    let origins = ids(&|member| member.kind == ORIGIN_KIND && member.lifecycle == Lifecycle::Ready);
    assert_eq!(control.origin(), origins.first().copied());
    let local_caches = ids(&|member| control.is_local_cache(member));
    assert_eq!(control.members.pool(control.local_caches()).map_or(0, Pool::len), local_caches.len());
    for member in &members {
        let pool = control.members.pool(control.members.pool_key(member)).expect("its pool has a member");
        let of_pool = plain_pool(control, member);
        let mut ready: Vec<MemberId> = pool.ready().map(|ready| ready.id).collect();
        ready.sort_unstable();
        assert_eq!(ready, of_pool.iter().map(|ready| ready.id).collect::<Vec<_>>());
        let of_kind = of_pool.iter().filter(|other| other.kind == member.kind).count();
        assert_eq!(pool.ready_count_of_kind(member.kind), of_kind);
        let is_warming_up = member.lifecycle == Lifecycle::Ready && control.is_warming_up(member);
        assert_eq!(control.members_warming_up(pool).any(|warming| warming.id == member.id), is_warming_up);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against an order of members that differs from the plain one because only a part of it is computed.
    #[test]
    fn order_and_loads_match_a_plain_computation(
        histories in any_histories(),
        key in any::<u64>(),
        routers in 1u32..40,
        weights_are_capacities in any::<bool>(),
    ) {
        let control = router(settings(routers, weights_are_capacities), &histories);
        for member in all(&control) {
            let factor = control.load_factor(&control.members[&member.id]);
            prop_assert_eq!(factor, plain_load(&control, &member).max(1.0), "load of {:?}", member);
        }
        let request = Request { object: key, ..Request::default() };
        let pools = [
            (Some(control.cache_order(&request)), Member { zone: ZONE, ..Member::default() }, 1.5),
            (control.parent_order(&request), Member { kind: PARENT_KIND, ..Member::default() }, 3.0),
        ];
        for (order, of, spill_load) in pools {
            let plain = plain_order(&control, &plain_pool(&control, &of), key, spill_load);
            let order = order.expect("the settings name both kinds");
            let warming_up = |id: &MemberId| control.is_warming_up(&control.members[id].listed);
            let plain_warming_up: Vec<MemberId> = plain.iter().copied().filter(warming_up).collect();
            prop_assert_eq!(take_all(&control, order.clone().only_warming_up()), plain_warming_up);
            prop_assert_eq!(take_all(&control, order), plain);
        }
        check_indexes(&control);
    }

    /// Guards against a member that is left out of the first ranks although its score is among the highest.
    #[test]
    fn no_member_is_below_a_score_that_it_reaches(
        hash in any::<u64>(), weight in 0.0..1e6, ids in proptest::collection::vec(any::<u64>(), 500),
    ) {
        for id in ids {
            let unit_score = UnitScore::new(hash, id, weight);
            prop_assert!(!unit_score.is_below(unit_score.score()));
        }
    }

    /// Guards against other sources, and other slow-start budgets, than if all sources were looked at.
    #[test]
    fn sources_match_a_plain_computation(
        histories in any_histories(),
        object in any::<u64>(),
        routers in 1u32..40,
        size in 1.0..900.0,
    ) {
        let request = Request { id: 1, object, size: Some(size), deadline: NOW + 3000.0, ..Request::default() };
        let mut routers = [(); 2].map(|()| {
            let mut control = router(settings(routers, true), &histories);
            let pending = PendingRequest { request, arrived_at: NOW, ..PendingRequest::default() };
            control.pending.insert(request.id, pending);
            control
        });
        let [control, plain] = &mut routers;
        let mut order = control.source_order(&request);
        let taken: Vec<MemberId> = std::iter::from_fn(|| control.next_source(request.id, &mut order)).collect();
        prop_assert_eq!(taken, plain_sources(plain, &request));
        prop_assert_eq!(slow_start_budgets(control), slow_start_budgets(plain));
    }

    /// Guards against an index that a change of the list or of a member's health leaves out of date.
    #[test]
    fn indexes_match_a_scan_of_all_members_after_any_changes(
        histories in proptest::collection::vec(any_history(), 1..40),
        changes in proptest::collection::vec(
            (any_member(), any::<prop::sample::Index>(), 0u8..10, 0.0..3000.0), 0..60
        ),
    ) {
        let mut control = router(settings(3, false), &histories);
        for (member, index, choice, elapsed) in changes {
            let now = control.now + elapsed;
            let known = histories[index.index(histories.len())].member;
            let changed = Member { id: known.id, ..member };
            let mut list = |kind, list| control.handle(now, Event::MemberList(kind, list), &mut Vec::new());
            match choice {
                0 => list(ListKind::Full, histories.iter().map(|history| history.member).collect()),
                1 => list(ListKind::Full, vec![member, changed]),
                2..5 => list(ListKind::Delta, vec![changed, member]),
                5 => list(ListKind::Delta, vec![known]),
                6 => drop(control.members.change_health(known.id, |health| health.record_send(true, now))),
                7 => control.record_success(known.id),
                8 => control.record_failure(known.id),
                _ => control.eject(known.id, "test"),
            }
            check_indexes(&control);
        }
    }
}
