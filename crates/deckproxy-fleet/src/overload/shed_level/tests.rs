use super::*;
use crate::overload::rank::LEVELS;

/// What is counted where so many come a second and so many can be served; repeats beside them.
fn world(come: f64, room: f64, cap: Option<f64>, repeats: f64) -> Rates {
    let passed = cap.unwrap_or(come).min(come);
    Rates {
        levels: [come / LEVELS as f64; LEVELS],
        repeats,
        firsts: passed,
        passed,
        served: passed.min(room),
        refused: (passed - room).max(0.0),
        ..Rates::default()
    }
}

fn cap(cut: &ShedLevel) -> Option<f64> {
    cut.things[1].map(|l| f64::from(l.cap))
}

#[test]
fn three_times_the_load_is_cut_to_what_is_served_and_let_in_again_as_it_can_be() {
    let mut control = ShedController::new(Limits::default());
    let mut told = ShedLevel::default();
    let mut now = 0.0;
    let mut play = |looks: usize, come: f64, room: f64| {
        for _ in 0..looks {
            now += LOOK;
            told = control.look(now, &[Rates::default(), world(come, room, cap(&told), 0.5 * come)]);
        }
        told
    };
    assert_eq!(cap(&play(20, 300.0, 400.0)), None);
    let tight = cap(&play(60, 900.0, 300.0)).expect("it is cut");
    assert!((250.0..370.0).contains(&tight), "{tight}");
    assert_eq!(play(1, 900.0, 300.0).things[0], None, "the caches do well");
    // The room comes back: all are let in within some seconds.
    assert_eq!(cap(&play(80, 900.0, 1200.0)), None);
    assert_eq!(control.cuts, 1);
}

#[test]
fn what_takes_long_whatever_is_let_in_is_not_cut_for_long() {
    let mut control = ShedController::new(Limits::default());
    let mut told = ShedLevel::default();
    let mut cut = 0;
    for i in 0..100 {
        let mut rates = world(300.0, 1e9, cap(&told), 0.0);
        rates.slow = rates.served;
        told = control.look(f64::from(i) * LOOK, &[Rates::default(), rates]);
        cut += u32::from(told.things[1].is_some());
    }
    assert!((1..30).contains(&cut), "{cut} of 100 looks");
}

#[test]
fn what_is_only_turned_away_is_not_cut() {
    let mut control = ShedController::new(Limits::default());
    for i in 0..20 {
        let told = control.look(f64::from(i) * LOOK, &[Rates::default(), world(900.0, 300.0, None, 0.0)]);
        assert_eq!(told.things, [None; THINGS]);
    }
}

#[test]
fn parts_of_a_split_let_in_what_the_whole_did() {
    let whole = ShedLevel {
        epoch: 9,
        lasted: 100,
        things: [None, Some(ShedLine { rank: 9, cap: 300.0, come: 900.0, promise: 0, returns: 0.0 })],
    };
    let mut sum = 0.0;
    for part in [0.3, 0.7] {
        let mut control = ShedController::new(Limits::default());
        control.take_over(1000.0, &whole, 50.0, [1.0, part]);
        let told = control
            .look(1001.0, &[Rates::default(), world(900.0 * part, 300.0 * part, Some(300.0 * part), 0.0)]);
        assert_eq!(told.epoch, 9);
        sum += cap(&told).unwrap();
    }
    assert!((290.0..320.0).contains(&sum), "{sum}");
}

#[test]
fn promises_fit_the_budget_of_repeats() {
    let mut control = ShedController::new(Limits::default());
    let mut told = ShedLevel::default();
    let mut promising = 0;
    for i in 0..40 {
        told = control.look(f64::from(i) * LOOK, &[Rates::default(), world(900.0, 300.0, cap(&told), 400.0)]);
        let Some(line) = told.things[1].filter(|l| l.promise > 0) else { continue };
        let room = f64::from(line.cap);
        let promised = (900.0 - room) * f64::from(line.promise) / 65_535.0;
        assert!(promised <= f64::from(line.returns) * 1.3 + 1.0, "{promised} {line:?}");
        assert!(f64::from(line.returns) <= 0.25 * room, "{line:?}");
        promising += 1;
    }
    assert!(promising > 5, "{promising} looks promised something");
}
