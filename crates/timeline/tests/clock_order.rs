//! Guards against stamps that violate causal order, and against one wrong wall clock that
//! advances the clocks of all nodes.

use dogwoodlb_timeline::{Category, Clock, Stamp};
use dogwoodlb_types::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const MAX_AHEAD: Duration = Duration::from_secs(1);

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Every stamp is later than all stamps before it, even if wall clocks jump.
    #[test]
    fn stamps_increase(steps in prop::collection::vec((0..3_usize, 0..3_usize, -500_i64..500), 1..200)) {
        let mut clocks = vec![Clock::new(MAX_AHEAD); 3];
        let mut last = [Stamp::default(); 3];
        for (from, to, jump) in steps {
            let sent = clocks[from].tick(Timestamp::from_millis(10_000 + jump));
            prop_assert!(sent > last[from]);
            last[from] = sent;
            let wall = Timestamp::from_millis(10_000 - jump);
            let received = clocks[to].observe(sent, wall).unwrap();
            prop_assert!(received > sent && received > last[to]);
            last[to] = received;
        }
    }
}

#[test]
fn far_ahead() {
    let mut clock = Clock::new(MAX_AHEAD);
    let wall = Timestamp::from_millis(5_000);
    let stamp = |millis, logical| Stamp { millis, logical };
    for millis in [6_001, i64::MAX] {
        let error = clock.observe(stamp(millis, 0), wall).unwrap_err();
        assert_eq!(error.classify(), Category::TooFarAhead);
        assert_eq!(clock.tick(wall).millis, 5_000);
    }
    assert!(clock.observe(stamp(6_000, 0), wall).unwrap() > stamp(6_000, 0));
    let next = clock.observe(stamp(6_000, u32::MAX), wall).unwrap();
    assert_eq!(next, stamp(6_001, 0));
}
