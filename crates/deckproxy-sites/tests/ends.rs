//! Single steps of the two ends: what a cut leaves open, fences, turns of bodies, bounds.

use bytes::Bytes;
use deckproxy_sites::far::{self, Ended, Far};
use deckproxy_sites::frame::{Answer, Ask, Became, Credit, Fate, GoAway, Hello, Numbers, Piece, Say, Word};
use deckproxy_sites::near::{self, Near, Repeat, Reply, Want};
use deckproxy_sites::purges::Purges;
use deckproxy_sites::{LinkLimits, TrustLimits};

const LINK: LinkLimits = LinkLimits {
    heartbeat: 100.0,
    silence: 300.0,
    reattach: 1000.0,
    chunk: 100,
    credit: 300,
    crossings: 4,
    waiters: 2,
    retain: 1000,
    ramp: 0.0,
    hold: 100.0,
    repeats: 0.1,
    cooldown: 50.0,
};
const TRUST: TrustLimits = TrustLimits {
    grace: 1000.0,
    lease: 700.0,
    known: 0.0,
    serve_when_cut: false,
    skew: 100.0,
    copy_life: 60_000.0,
};

struct Side {
    near: Near,
    purges: Purges,
}

fn want(object: u64, repeat: Repeat, expires: f64) -> Want {
    let ask = Ask { name: format!("{object:016x}"), class: "page".into(), size: Some(0.1), ..Ask::default() };
    Want { ask, object, expires, repeat, joins: repeat == Repeat::Safe, rank: 0.5 }
}

impl Side {
    /// With one connection, 1, that is up.
    fn up() -> Self {
        let mut near = Near::new(LINK, 1, &[9], 0.0);
        let mut side = Side { purges: Purges::new("a", 1, TRUST, 0.0), near: near_up(&mut near, 1, 0.0, 77) };
        side.effects();
        side
    }

    fn effects(&mut self) -> Vec<near::Effect> {
        std::iter::from_fn(|| self.near.effect()).collect()
    }

    fn say(&mut self, now: f64, conn: u64, say: Say) -> bool {
        self.near.say(now, now, conn, say, &mut self.purges)
    }

    /// Asks, and gives the number of the attempt.
    fn ask(&mut self, now: f64, token: u64, want: Want) -> u64 {
        self.near.request(now, token, want);
        sent(&self.effects()).expect("it was sent")
    }

    /// The connection is cut, and another one, 2, comes up.
    fn cut(&mut self, now: f64, epoch: u64) -> Vec<near::Effect> {
        self.near.down(now, 1, &[]);
        self.effects();
        self.near.connected(now + 10.0, 0, 2);
        self.near.up(now + 10.0, 2, &hello(epoch));
        self.effects()
    }
}

fn near_up(near: &mut Near, conn: u64, now: f64, epoch: u64) -> Near {
    near.connected(now, 0, conn);
    near.up(now, conn, &hello(epoch));
    std::mem::replace(near, Near::new(LINK, 0, &[], now))
}

fn hello(epoch: u64) -> Hello {
    Hello {
        version: 1,
        site: "b".into(),
        to: "a".into(),
        epoch,
        credit: 300,
        reattach: 1000,
        session: 9,
        next: 1,
        ..Hello::default()
    }
}

fn sent(effects: &[near::Effect]) -> Option<u64> {
    effects.iter().find_map(|e| match e {
        near::Effect::Send(_, Say::Ask(ask)) => Some(ask.number),
        _ => None,
    })
}

fn replies(effects: &[near::Effect]) -> Vec<(u64, Reply)> {
    let reply = |e: &near::Effect| match e {
        near::Effect::Reply(token, reply) => Some((*token, reply.clone())),
        _ => None,
    };
    effects.iter().filter_map(reply).collect()
}

fn resumed(effects: &[near::Effect]) -> Vec<u64> {
    let numbers = |e: &near::Effect| match e {
        near::Effect::Send(2, Say::Resume(Numbers { numbers })) => Some(numbers.clone()),
        _ => None,
    };
    effects.iter().find_map(numbers).unwrap_or_default()
}

fn fate(number: u64, became: Became) -> Say {
    Say::Fate(Fate { number, became: became.into() })
}

fn answer(number: u64, word: Word, length: u32) -> Say {
    Say::Answer(Answer { number, word: word.into(), length, cooldown: 120.0, ..Answer::default() })
}

#[test]
fn after_a_cut_nothing_goes_again_before_its_fate_is_known() {
    let mut side = Side::up();
    let first = side.ask(10.0, 1, want(5, Repeat::Safe, 900.0));
    let after = side.cut(20.0, 77);
    assert_eq!(resumed(&after), [first]);
    assert_eq!(sent(&after), None, "it may be out still");
    side.near.tick(40.0, 40.0, &side.purges);
    assert_eq!(sent(&side.effects()), None);
    side.say(50.0, 2, fate(first, Became::Never));
    let again = sent(&side.effects()).expect("it never came there: it goes again");
    assert!(again > first, "under a new number, as the old one is fenced");
    side.say(60.0, 2, answer(again, Word::Served, 0));
    assert_eq!(replies(&side.effects()).len(), 1);
}

#[test]
fn what_runs_is_waited_for_and_what_ended_is_answered() {
    let mut side = Side::up();
    let write = side.ask(10.0, 1, want(5, Repeat::Never, 900.0));
    side.cut(20.0, 77);
    side.say(40.0, 2, fate(write, Became::Running));
    assert!(side.effects().is_empty());
    side.say(90.0, 2, answer(write, Word::Served, 4));
    side.say(91.0, 2, Say::Piece(Piece { number: write, at: 0, bytes: Bytes::from_static(b"done") }));
    let reply = Reply::Served(Bytes::from_static(b"done"), None, String::new());
    assert_eq!(replies(&side.effects()), [(1, reply)]);
}

#[test]
fn what_may_have_run_fails_at_once_unless_a_repeat_does_no_harm() {
    for (repeat, again) in [(Repeat::Never, false), (Repeat::Safe, true)] {
        // The far side has forgotten, another process is there, or it says itself that it does not know.
        for case in 0..3 {
            let mut side = Side::up();
            let number = side.ask(10.0, 1, want(5, repeat, 5000.0));
            let after = match case {
                0 => side.cut(20.0, 78),
                1 => {
                    side.cut(20.0, 77);
                    side.say(40.0, 2, fate(number, Became::Unknown));
                    side.effects()
                }
                _ => {
                    side.near.down(20.0, 1, &[]);
                    side.near.tick(20.0 + 1000.0 + 2.0, 0.0, &side.purges);
                    side.near.connected(1030.0, 0, 2);
                    side.near.up(1030.0, 2, &hello(77));
                    side.effects()
                }
            };
            assert_eq!(sent(&after).is_some(), again, "{repeat:?} {case}");
            assert_eq!(replies(&after) == [(1, Reply::Failed)], !again, "{repeat:?} {case}");
        }
    }
}

#[test]
fn what_was_not_written_goes_again_at_once_on_another_connection() {
    let mut side = Side::up();
    side.near.connected(5.0, 0, 2);
    side.near.up(5.0, 2, &hello(77));
    side.effects();
    let number = side.ask(10.0, 1, want(5, Repeat::Never, 900.0));
    side.near.down(20.0, 1, &[number]);
    assert!(sent(&side.effects()).is_some_and(|again| again != number));
}

#[test]
fn many_that_want_the_same_part_cross_once_and_the_next_leads_after_an_error() {
    let mut side = Side::up();
    let first = side.ask(10.0, 1, want(5, Repeat::Safe, 900.0));
    for token in 2..=3 {
        side.near.request(11.0, token, want(5, Repeat::Safe, 900.0));
    }
    assert_eq!(sent(&side.effects()), None, "they wait for the first one's");
    // The third waiter is over the bound, and goes alone.
    side.near.request(11.0, 4, want(5, Repeat::Safe, 900.0));
    assert!(sent(&side.effects()).is_some());
    side.say(20.0, 1, answer(first, Word::Failed, 0));
    let after = side.effects();
    assert_eq!(replies(&after), [(1, Reply::Failed)]);
    let second = sent(&after).expect("the next one leads");
    side.say(30.0, 1, answer(second, Word::Refused, 0));
    let refused = Reply::Refused(120.0);
    assert_eq!(replies(&side.effects()), [(2, refused.clone()), (3, refused)], "with the advice as it came");
}

#[test]
fn a_leader_that_leaves_does_not_take_the_crossing_with_it() {
    let mut side = Side::up();
    let number = side.ask(10.0, 1, want(5, Repeat::Safe, 900.0));
    side.near.request(11.0, 2, want(5, Repeat::Safe, 900.0));
    side.near.cancel(12.0, 1);
    assert_eq!(side.effects(), [], "somebody waits still");
    side.say(20.0, 1, answer(number, Word::Served, 0));
    assert_eq!(replies(&side.effects()).iter().map(|(t, _)| *t).collect::<Vec<_>>(), [2]);
    let number = side.ask(30.0, 3, want(6, Repeat::Safe, 900.0));
    side.near.cancel(31.0, 3);
    let done = near::Effect::Send(1, Say::Done(Numbers { numbers: vec![number] }));
    assert_eq!(side.effects(), [done], "nobody waits: the other side is told");
}

#[test]
fn without_a_way_requests_wait_for_a_moment_and_are_then_refused_with_advice() {
    let mut side = Side::up();
    side.near.down(10.0, 1, &[]);
    side.effects();
    side.near.request(20.0, 1, want(5, Repeat::Never, 900.0));
    assert_eq!(replies(&side.effects()), []);
    side.near.tick(60.0, 0.0, &side.purges);
    assert_eq!(replies(&side.effects()), []);
    side.near.tick(121.0, 0.0, &side.purges);
    let refused = replies(&side.effects());
    assert!(matches!(refused[..], [(1, Reply::Refused(wait))] if wait >= 50.0), "{refused:?}");
    // One that waits while a way comes back is sent.
    side.near.request(130.0, 2, want(6, Repeat::Never, 900.0));
    side.near.connected(140.0, 0, 2);
    side.near.up(150.0, 2, &hello(77));
    assert!(sent(&side.effects()).is_some());
}

#[test]
fn what_waits_goes_by_worth_and_a_way_that_came_back_takes_little_at_once() {
    let link = LinkLimits { ramp: 1000.0, crossings: 100, ..LINK };
    let mut near = Near::new(link, 1, &[9], 0.0);
    for token in 0..40 {
        let rank = if token % 2 == 0 { 0.2 } else { 0.8 };
        near.request(10.0, token, Want { rank, ..want(token, Repeat::Safe, 900.0) });
    }
    near.connected(20.0, 0, 1);
    near.up(30.0, 1, &hello(77));
    let sent: Vec<String> = std::iter::from_fn(|| near.effect())
        .filter_map(|e| match e {
            near::Effect::Send(_, Say::Ask(ask)) => Some(ask.name),
            _ => None,
        })
        .collect();
    let all: Vec<String> = (0..16).map(|n| format!("{:016x}", 2 * n + 1)).collect();
    assert_eq!(sent[..16], all, "those of worth, the oldest first");
    assert!(sent.len() < 40, "not all at once: {}", sent.len());
}

/// Two ways, each with one connection: 1 and 2.
fn two_ways(ramp: f64) -> Near {
    let mut near = Near::new(LinkLimits { ramp, crossings: 1000, ..LINK }, 1, &[9, 10], 0.0);
    for (way, conn) in [(0, 1), (1, 2)] {
        near.connected(0.0, way, conn);
        near.up(0.0, conn, &hello(70 + conn));
    }
    while near.effect().is_some() {}
    near
}

/// The connections on which so many requests go out, one after another.
fn goes(near: &mut Near, now: f64, objects: std::ops::Range<u64>) -> Vec<u64> {
    objects.clone().for_each(|n| near.request(now, n, want(n, Repeat::Safe, now + 900.0)));
    let asked = |e: near::Effect| match e {
        near::Effect::Send(conn, Say::Ask(_)) => Some(conn),
        _ => None,
    };
    std::iter::from_fn(|| near.effect()).filter_map(asked).collect()
}

#[test]
fn ways_share_the_requests_and_take_over_from_one_another() {
    let mut near = two_ways(0.0);
    let went = goes(&mut near, 10.0, 0..40);
    assert_eq!(went.iter().filter(|c| **c == 1).count(), 20, "{went:?}");
    // One is told to go away: everything new takes the other.
    let mut purges = Purges::new("a", 1, TRUST, 0.0);
    let away = GoAway { why: "a planned end".into(), cooldown: 100.0 };
    near.say(20.0, 20.0, 1, Say::GoAway(away), &mut purges);
    assert_eq!(goes(&mut near, 30.0, 100..120), [2; 20]);
    // It is back, and the other one is cut: what was out there waits, what is new takes the first.
    near.down(140.0, 2, &[]);
    near.tick(140.0, 140.0, &purges);
    assert_eq!(goes(&mut near, 141.0, 200..220), [1; 20]);
    assert_eq!(near.sizes()[2], 40, "their fate is not known");
    assert_eq!(near.ways_up(), (1, 2));
}

#[test]
fn a_way_that_comes_back_gets_its_part_slowly() {
    let mut near = two_ways(1000.0);
    // Long enough up to have their full parts.
    near.down(2000.0, 2, &[]);
    near.connected(2050.0, 1, 3);
    near.up(2050.0, 3, &hello(72));
    let part = |near: &mut Near, now: f64, objects: std::ops::Range<u64>| {
        let went = goes(near, now, objects);
        went.iter().filter(|c| **c == 3).count() as f64 / went.len() as f64
    };
    let first = part(&mut near, 2060.0, 0..60);
    assert!(first < 0.1, "{first}");
    let later = part(&mut near, 3100.0, 100..300);
    assert!((0.45..0.7).contains(&later), "{later}");
}

#[test]
fn what_is_open_has_a_bound() {
    let mut side = Side::up();
    for token in 0..4 {
        side.ask(10.0, token, want(100 + token, Repeat::Safe, 900.0));
    }
    side.near.request(10.0, 9, want(999, Repeat::Safe, 900.0));
    assert_eq!(replies(&side.effects()), [(9, Reply::Refused(50.0))]);
}

#[test]
fn bytes_that_do_not_fit_end_the_connection() {
    let mut side = Side::up();
    let number = side.ask(10.0, 1, want(5, Repeat::Safe, 900.0));
    let piece = |at, bytes: &'static [u8]| Say::Piece(Piece { number, at, bytes: Bytes::from_static(bytes) });
    assert!(!side.say(11.0, 1, piece(0, b"before its head")));
    assert!(side.say(12.0, 1, answer(number, Word::Served, 4)));
    assert!(!side.say(13.0, 1, piece(2, b"cd")), "a piece out of order");
    assert!(!side.say(14.0, 1, piece(0, b"abcde")), "more than there is");
    assert!(!side.say(15.0, 1, answer(number, Word::Served, 100_000_000)), "a body over the limit");
    assert!(!side.say(16.0, 1, Say::Ask(Ask::default())), "no business of this side");
}

// ---- The far side --------------------------------------------------------------------------------------------

fn far_up() -> Far {
    let mut far = Far::new(LINK);
    far.up(0.0, 1, &hello(1));
    far
}

fn effects(far: &mut Far) -> Vec<far::Effect> {
    std::iter::from_fn(|| far.effect()).collect()
}

fn ask(number: u64) -> Say {
    Say::Ask(Ask { number, allow: 500.0, ..Ask::default() })
}

fn run(far: &mut Far) -> Option<u64> {
    effects(far).into_iter().find_map(|e| match e {
        far::Effect::Run(run, _) => Some(run),
        _ => None,
    })
}

fn ended(body: usize) -> Ended {
    Ended { word: Word::Served, cooldown: 0.0, body: vec![1; body].into(), issued: None, tag: String::new() }
}

fn fates(effects: &[far::Effect]) -> Vec<(u64, Became)> {
    let fate = |e: &far::Effect| match e {
        far::Effect::Send(_, Say::Fate(fate)) => Some((fate.number, fate.became())),
        _ => None,
    };
    effects.iter().filter_map(fate).collect()
}

#[test]
fn a_number_runs_once_whatever_comes() {
    let mut far = far_up();
    far.say(1.0, 1, ask(1));
    assert!(run(&mut far).is_some());
    far.say(2.0, 1, ask(1));
    assert_eq!(run(&mut far), None, "a second time");
    far.up(3.0, 2, &hello(1));
    far.say(4.0, 2, Say::Resume(Numbers { numbers: vec![1, 2] }));
    assert_eq!(fates(&effects(&mut far)), [(1, Became::Running), (2, Became::Never)]);
    far.say(5.0, 1, ask(2));
    assert_eq!(run(&mut far), None, "it was said never to have come: it is fenced");
    assert_eq!(far.doubled, 2);
    far.floor(2, 3);
    assert_eq!(effects(&mut far), [far::Effect::Withdraw(1)], "below the floor nobody waits");
    far.say(6.0, 1, ask(1));
    far.say(6.0, 1, ask(2));
    assert_eq!(run(&mut far), None, "below the floor nothing is taken");
}

#[test]
fn an_answer_outlives_the_connection_and_ends_with_the_session() {
    let mut far = far_up();
    far.say(1.0, 1, ask(1));
    let one = run(&mut far).unwrap();
    far.down(2.0, 1);
    far.ended(3.0, one, ended(250));
    assert_eq!(effects(&mut far), [], "nobody to tell");
    far.up(4.0, 2, &hello(1));
    far.say(5.0, 2, Say::Resume(Numbers { numbers: vec![1] }));
    assert_eq!(fates(&effects(&mut far)), [(1, Became::Ended)]);
    let pieces: usize = std::iter::from_fn(|| far.piece(2)).count();
    assert_eq!(pieces, 3, "100, 100 and 50 bytes");
    far.down(6.0, 2);
    far.tick(6.0 + 1001.0);
    assert_eq!(far.sizes(), [0, 0, 0, 0]);
    far.up(2000.0, 3, &Hello { next: 2, ..hello(1) });
    far.say(2001.0, 3, Say::Resume(Numbers { numbers: vec![1] }));
    assert_eq!(fates(&effects(&mut far)), [(1, Became::Unknown)], "a session that is not remembered");
}

#[test]
fn bodies_take_turns_under_credit() {
    let mut far = far_up();
    for number in 1..=2 {
        far.say(1.0, 1, ask(number));
        let one = run(&mut far).unwrap();
        far.ended(2.0, one, ended(if number == 1 { 1000 } else { 150 }));
    }
    let turns = |far: &mut Far| -> Vec<u64> {
        std::iter::from_fn(|| match far.piece(1) {
            Some(Say::Piece(piece)) => Some(piece.number),
            _ => None,
        })
        .collect()
    };
    assert_eq!(turns(&mut far), [1, 2, 1, 2, 1], "300 bytes of the first may be on their way");
    far.say(3.0, 1, Say::Credit(Credit { number: 1, up_to: 450 }));
    assert_eq!(turns(&mut far), [1, 1]);
}

#[test]
fn what_is_kept_has_a_bound_and_what_was_dropped_is_not_known() {
    let mut far = far_up();
    let runs: Vec<u64> = (1..=3)
        .map(|number| {
            far.say(1.0, 1, ask(number));
            run(&mut far).unwrap()
        })
        .collect();
    far.down(2.0, 1);
    for (i, run) in runs.into_iter().enumerate() {
        far.ended(3.0 + i as f64, run, ended(400));
    }
    assert_eq!(far.sizes()[3], 800, "of 1200 bytes 1000 may be kept");
    far.up(9.0, 2, &hello(1));
    far.say(9.0, 2, Say::Resume(Numbers { numbers: vec![1, 2, 3] }));
    let told = fates(&effects(&mut far));
    assert_eq!(told, [(1, Became::Unknown), (2, Became::Ended), (3, Became::Ended)]);
}
