use super::*;
use proptest::prelude::*;

fn away(back: Millis, promised: bool) -> Rejection {
    Rejection { back, promised, ran: false }
}

#[test]
fn who_was_turned_away_here_is_known_there() {
    let (mut here, mut there) = (RejectedRequests::new(100, 5000.0), RejectedRequests::new(100, 5000.0));
    here.turned(1000.0, 7, away(1400.0, true));
    here.turned(1000.0, 8, away(3000.0, false));
    let piece = here.piece(1000.0).unwrap();
    assert!(postcard::to_stdvec(&piece).unwrap().len() <= crate::gossip_store::LARGEST_VALUE);
    there.hear(91_200.0, &"a".into(), 5, 200.0, &piece);
    // There the clock shows another time; the piece's age tells what that means.
    assert_eq!(there.get(7), Some(away(91_400.0, true)));
    assert_eq!(there.get(8).map(|t| t.promised), Some(false));
    there.served(7);
    assert_eq!(there.get(7), None);
    // The same piece again, or an earlier life's, says nothing new.
    there.hear(91_300.0, &"a".into(), 5, 300.0, &piece);
    there.hear(91_300.0, &"a".into(), 4, 300.0, &RejectionBatch { number: 99, ..piece });
    assert_eq!(there.get(7), None);
}

#[test]
fn a_successor_is_told_what_the_killed_one_said() {
    let (mut killed, mut fellow, mut next) = (
        RejectedRequests::new(100, 5000.0),
        RejectedRequests::new(100, 5000.0),
        RejectedRequests::new(100, 5000.0),
    );
    killed.turned(0.0, 7, away(900.0, true));
    fellow.hear(100.0, &"a".into(), 1, 100.0, &killed.piece(0.0).unwrap());
    fellow.inherit(300.0, &"a".into());
    next.hear(400.0, &"b".into(), 1, 100.0, &fellow.piece(300.0).unwrap());
    assert_eq!(next.get(7), Some(away(900.0, true)));
    fellow.inherit(500.0, &"a".into());
    assert_eq!(fellow.piece(500.0), None, "once");
}

#[test]
fn bytes_are_bounded_and_what_is_not_told_is_counted() {
    let mut all = RejectedRequests::new(1000, 5000.0);
    (0..1000).for_each(|i| all.turned(0.0, i, away(500.0, false)));
    assert_eq!(all.kept_back, 1000 - 2 * WISHES as u64);
    assert!(all.piece(0.0).is_some() && all.piece(100.0).is_none() && all.piece(125.0).is_some());
}

proptest! {
    /// Whatever order pieces come in, and however often, memory stays bounded and no promise is lost to a refusal.
    #[test]
    fn memory_is_bounded(ops in proptest::collection::vec((0u32..400, 0.0f64..2000.0, any::<bool>()), 1..600)) {
        let mut all = RejectedRequests::new(50, 1000.0);
        let mut now = 0.0;
        for (wish, after, promised) in ops {
            now += 5.0;
            let before = all.get(wish).filter(|k| k.promised && k.back >= now);
            all.turned(now, wish, away(now + after, promised));
            prop_assert!(all.len() <= 101);
            if let Some(before) = before {
                let known = all.get(wish).unwrap();
                prop_assert!(known.promised && known.back <= before.back);
            }
        }
    }
}
