//! Health checks that run at the same time as requests.

use crate::{NOW, router_with_health_checks};
use bytes::Bytes;
use deckproxy::protocol::downstream::{Call, ObjectId};
use deckproxy::routing::{ConnectionFailure, Effect};

/// Health checks and attempts are numbered separately but share connections: the key of a health check must never be
/// that of an attempt.
#[test]
fn a_health_check_belongs_to_no_client() {
    let mut router = router_with_health_checks(true);
    let call = Call {
        name: "n1".into(),
        class: "page".into(),
        timeout: 1000.0,
        idempotency_key: None,
        object: ObjectId { text: "0000000000000001".into(), number: 1 },
        part: None,
        group: 3,
        size_kb: None,
        cached_tag: None,
        is_retry: false,
        body: Bytes::new(),
    };
    router.request(NOW, 7, 1, call);
    let sent = std::iter::from_fn(|| router.next_effect()).find_map(|effect| match effect {
        Effect::SendAttempt { key, member, .. } => Some((key, member)),
        _ => None,
    });
    let (attempt, member) = sent.expect("an attempt is sent");
    assert_eq!(router.client_of(attempt), Some(7));
    // More health checks than the 256 attempt keys of one request.
    for _ in 0..600 {
        router.health_check(NOW, member);
        let Some(Effect::SendHealthCheck { key, .. }) = router.next_effect() else {
            panic!("no health check is sent")
        };
        assert_eq!(router.client_of(key), None);
        router.connection_failed(NOW, key, ConnectionFailure::NotSent);
        while router.next_effect().is_some() {}
    }
    assert_eq!(router.client_of(attempt), Some(7));
}
