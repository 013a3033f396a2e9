//! Retry, speculation and cancellation of attempts.

use dogwoodlb_rollout::{Action, Planner, Settings};
use dogwoodlb_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn planner(size: u32) -> Planner {
    let settings = Settings {
        trainer: "weld".parse().unwrap(),
        staleness_bound: 1,
        idle_weight: 0.0,
    };
    let mut planner = Planner::new(settings, id::Version(1));
    planner.submit(id::Step(1), &[size]).unwrap();
    planner
}

fn sample(index: u32) -> id::Sample {
    id::Sample::new("weld".parse().unwrap(), id::Step(1), 0, index)
}

type Attempts = Vec<(u32, u32)>;

/// Returns the sample index and attempt number of the attempts to start and to cancel.
fn poll(planner: &mut Planner, millis: u64) -> (Attempts, Attempts) {
    let (mut starts, mut cancels) = (Vec::new(), Vec::new());
    for action in planner.poll(at(millis), 1_000) {
        match action {
            Action::Generate {
                sample, attempt, ..
            } => starts.push((sample.index, attempt)),
            Action::Cancel { sample, attempt } => cancels.push((sample.index, attempt)),
        }
    }
    (starts, cancels)
}

/// Starts a step of 20 samples and finishes all but the last two after 1 s.
fn planner_with_tail() -> Planner {
    let mut planner = planner(20);
    assert_eq!(poll(&mut planner, 0).0.len(), 20);
    for index in 0..18 {
        // However late it is, nothing is speculated before a tenth of the samples is left.
        assert_eq!(poll(&mut planner, 9_000).0, []);
        planner.on_finished(at(1_000), &sample(index), 0);
    }
    planner
}

/// A failed sample must be retried with exponential backoff, and a failure reported twice must
/// count once.
#[test]
fn failures_back_off() {
    let mut planner = planner(1);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = 0;
    for (attempt, longest) in (0..8).zip([250, 500, 1_000, 2_000, 4_000, 8_000, 8_000, 8_000]) {
        assert_eq!(poll(&mut planner, now).0, [(0, attempt)]);
        planner.on_failed(at(now), &sample(0), attempt, &mut rng);
        planner.on_failed(at(now), &sample(0), attempt, &mut rng);
        assert_eq!(poll(&mut planner, now + longest / 2 - 1).0, []);
        now += longest;
    }
}

/// A few slow samples must not hold up a step: each gets exactly one speculative attempt.
#[test]
fn stragglers_get_one_speculative_attempt() {
    let mut planner = planner_with_tail();
    assert_eq!(poll(&mut planner, 2_000).0, []);
    assert_eq!(poll(&mut planner, 2_001).0, [(18, 1), (19, 1)]);
    assert_eq!(poll(&mut planner, 60_000), (vec![], vec![]));
    // The first attempt to finish wins.
    planner.on_finished(at(2_500), &sample(18), 1);
    planner.on_finished(at(2_500), &sample(19), 0);
    assert_eq!(poll(&mut planner, 2_500), (vec![], vec![(18, 0), (19, 1)]));
    assert_eq!(
        (planner.in_flight(), planner.unfinished(id::Step(1))),
        (0, Some(0))
    );
}

/// A sample must not be retried while its speculative attempt is still in flight.
#[test]
fn speculative_attempt_replaces_retry() {
    let mut planner = planner_with_tail();
    let mut rng = SmallRng::seed_from_u64(1);
    poll(&mut planner, 2_001);
    planner.on_failed(at(2_100), &sample(18), 0, &mut rng);
    assert_eq!(poll(&mut planner, 20_000).0, []);
    planner.on_failed(at(20_000), &sample(18), 1, &mut rng);
    assert_eq!(poll(&mut planner, 30_000).0, [(18, 2)]);
}

/// Samples that exceed the staleness bound must be generated again.
#[test]
fn stale_samples_start_again() {
    let mut planner = planner(2);
    poll(&mut planner, 0);
    planner.on_finished(at(100), &sample(0), 0);
    planner.on_stale(at(200), &sample(0));
    planner.on_stale(at(200), &sample(1));
    assert_eq!(poll(&mut planner, 200).0, [(0, 1)]);
}

/// Attempts that the ledger will refuse must be cancelled, but not those still queued in an
/// engine, which will start with the new version.
#[test]
fn stale_attempts_are_cancelled() {
    let mut planner = planner(2);
    poll(&mut planner, 0);
    planner.on_first_token(&sample(0), 0);
    planner.on_version(at(100), id::Version(2));
    assert_eq!(poll(&mut planner, 100), (vec![], vec![]));
    planner.on_version(at(200), id::Version(3));
    assert_eq!(poll(&mut planner, 200), (vec![(0, 1)], vec![(0, 0)]));
}

/// A sample must not be generated again if an attempt of it that was reported as failed was
/// accepted after all, and attempts must be cancelled when their step is acknowledged.
#[test]
fn late_acceptance_ends_retries() {
    let mut planner = planner(2);
    let mut rng = SmallRng::seed_from_u64(1);
    poll(&mut planner, 0);
    planner.on_failed(at(100), &sample(0), 0, &mut rng);
    planner.on_finished(at(101), &sample(0), 0);
    assert_eq!(poll(&mut planner, 9_000), (vec![], vec![]));
    planner.on_acknowledged(id::Step(1));
    assert_eq!(poll(&mut planner, 9_000), (vec![], vec![(1, 0)]));
    planner.on_finished(at(9_000), &sample(1), 0);
    assert_eq!(planner.unfinished(id::Step(1)), None);
}

/// Under random outcomes every step must complete, the limit must hold, and the number of
/// attempts in flight must stay exact.
#[test]
fn every_step_ends() {
    for seed in 0..2_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut planner = planner(12);
        let (mut started, mut running) = (BTreeSet::new(), BTreeSet::new());
        let mut now = 0;
        while planner.unfinished(id::Step(1)) != Some(0) {
            now += rng.random_range(0..2_000);
            assert!(now < 10_000_000, "seed {seed}: no end");
            for action in planner.poll(at(now), 5) {
                match action {
                    Action::Generate {
                        sample, attempt, ..
                    } => {
                        assert!(started.insert((sample.clone(), attempt)), "seed {seed}");
                        running.insert((sample, attempt));
                    }
                    // The attempt may already have ended.
                    Action::Cancel { sample, attempt } => {
                        let run = (sample, attempt);
                        assert!(started.contains(&run), "seed {seed}");
                        running.remove(&run);
                    }
                }
            }
            assert_eq!(planner.in_flight(), running.len(), "seed {seed}");
            assert!(running.len() <= 5, "seed {seed}");
            let ended = running.iter().filter(|_| rng.random_bool(0.3));
            for (sample, attempt) in ended.cloned().collect::<Vec<_>>() {
                if rng.random_bool(0.5) {
                    planner.on_failed(at(now), &sample, attempt, &mut rng);
                    running.remove(&(sample, attempt));
                } else if running.remove(&(sample.clone(), attempt)) {
                    planner.on_finished(at(now), &sample, attempt);
                    if rng.random_bool(0.1) {
                        planner.on_stale(at(now), &sample);
                    }
                }
            }
        }
    }
}
