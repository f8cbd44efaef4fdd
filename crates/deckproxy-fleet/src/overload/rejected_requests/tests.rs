use super::*;
use proptest::prelude::*;

fn rejection(retry_at: Millis, is_reserved: bool) -> Rejection {
    Rejection { retry_at, is_reserved, may_have_run: false }
}

#[test]
fn rejection_is_shared_with_other_instances() {
    let (mut sender, mut receiver) = (RejectedRequests::new(100, 5000.0), RejectedRequests::new(100, 5000.0));
    sender.record(1000.0, 7, rejection(1400.0, true));
    sender.record(1000.0, 8, rejection(3000.0, false));
    let batch = sender.next_batch(1000.0).unwrap();
    assert!(postcard::to_stdvec(&batch).unwrap().len() <= crate::gossip_store::MAX_VALUE_BYTES);
    receiver.merge(91_200.0, &"a".into(), 5, 200.0, &batch);
    // The clocks differ; the age of the batch converts times between them.
    assert_eq!(receiver.get(7), Some(rejection(91_400.0, true)));
    assert_eq!(receiver.get(8).map(|known| known.is_reserved), Some(false));
    receiver.remove(7);
    assert_eq!(receiver.get(7), None);
    // A duplicate batch, or a batch of an earlier incarnation, is ignored.
    receiver.merge(91_300.0, &"a".into(), 5, 300.0, &batch);
    receiver.merge(91_300.0, &"a".into(), 4, 300.0, &RejectionBatch { number: 99, ..batch });
    assert_eq!(receiver.get(7), None);
}

#[test]
fn rejections_of_the_previous_incarnation_are_reshared_once() {
    let (mut previous, mut peer, mut successor) = (
        RejectedRequests::new(100, 5000.0),
        RejectedRequests::new(100, 5000.0),
        RejectedRequests::new(100, 5000.0),
    );
    previous.record(0.0, 7, rejection(900.0, true));
    peer.merge(100.0, &"a".into(), 1, 100.0, &previous.next_batch(0.0).unwrap());
    peer.reshare(300.0, &"a".into());
    successor.merge(400.0, &"b".into(), 1, 100.0, &peer.next_batch(300.0).unwrap());
    assert_eq!(successor.get(7), Some(rejection(900.0, true)));
    peer.reshare(500.0, &"a".into());
    assert_eq!(peer.next_batch(500.0), None, "the rejections were shared twice");
}

#[test]
fn batches_are_bounded_and_unshared_rejections_are_counted() {
    let mut requests = RejectedRequests::new(1000, 5000.0);
    (0..1000).for_each(|i| requests.record(0.0, i, rejection(500.0, false)));
    assert_eq!(requests.not_shared, 1000 - 2 * BATCH_SIZE as u64);
    assert!(requests.next_batch(0.0).is_some());
    assert!(requests.next_batch(100.0).is_none());
    assert!(requests.next_batch(125.0).is_some());
}

proptest! {
    /// For any sequence of rejections, memory stays bounded and a later rejection does not cancel a reservation.
    #[test]
    fn memory_is_bounded_and_reservations_are_kept(ops in proptest::collection::vec((0u32..400, 0.0f64..2000.0, any::<bool>()), 1..600)) {
        let mut requests = RejectedRequests::new(50, 1000.0);
        let mut now = 0.0;
        for (request, after, is_reserved) in ops {
            now += 5.0;
            let before = requests.get(request).filter(|known| known.is_reserved && known.retry_at >= now);
            requests.record(now, request, rejection(now + after, is_reserved));
            prop_assert!(requests.len() <= 101);
            if let Some(before) = before {
                let known = requests.get(request).unwrap();
                prop_assert!(known.is_reserved && known.retry_at <= before.retry_at);
            }
        }
    }
}
