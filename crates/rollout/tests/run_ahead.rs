//! Run-ahead depth and priority of steps.

use dogwoodlb_rollout::{run_ahead_depth, Action, Planner, Settings, MAX_OPEN_STEPS};
use dogwoodlb_types::prelude::*;
use rstest::rstest;

const NOW: Instant = Instant::from_millis(0);

fn planner(staleness_bound: u64, idle_weight: f64) -> Planner {
    let settings = Settings {
        trainer: "weld".parse().unwrap(),
        staleness_bound,
        idle_weight,
    };
    let mut planner = Planner::new(settings, id::Version(1));
    for step in 1..=4 {
        planner.submit(id::Step(step), &[1, 1]).unwrap();
    }
    planner
}

/// Returns the step and priority of each attempt that is started.
fn starts(planner: &mut Planner, limit: usize) -> Vec<(u64, u32)> {
    let start = |action| match action {
        Action::Generate {
            sample, priority, ..
        } => (sample.step.0, priority),
        Action::Cancel { .. } => panic!("cancelled"),
    };
    planner.poll(NOW, limit).into_iter().map(start).collect()
}

/// The run-ahead depth must follow the idle weight: a greater depth would deliver samples that
/// are too stale, a smaller one would keep the trainer waiting.
#[rstest]
#[case(2, 0.0, 1)]
#[case(2, 0.5, 2)]
#[case(2, 0.8, 3)]
#[case(3, 1.0, 4)]
#[case(2, f64::NAN, 1)]
#[case(2, 7.0, 3)]
fn depth_follows_weights(#[case] bound: u64, #[case] weight: f64, #[case] steps: u64) {
    assert_eq!(run_ahead_depth(weight, bound), steps - 1);
    let mut planner = planner(bound, weight);
    let expected: Vec<(u64, u32)> = (1..=steps)
        .flat_map(|step| [(step, step as u32); 2])
        .collect();
    assert_eq!(starts(&mut planner, 100), expected);
    planner.on_acknowledged(id::Step(1));
    planner.poll(NOW, 0);
    // The trainer is training step 1, so step 2 is already one ahead.
    assert_eq!(starts(&mut planner, 100), []);
    planner.set_requested_step(Some(id::Step(2)));
    assert_eq!(starts(&mut planner, 100).is_empty(), steps == 4);
}

/// Samples as far ahead as the staleness bound must not start before engines have loaded the
/// published version: they would be one version too stale and have to be replaced.
#[test]
fn staleness_bound_waits_for_swap() {
    let mut planner = planner(2, 1.0);
    planner.on_acknowledged(id::Step(1));
    planner.on_version(NOW, id::Version(2));
    planner.set_requested_step(Some(id::Step(2)));
    assert_eq!(starts(&mut planner, 100), [(2, 0), (2, 0), (3, 2), (3, 2)]);
    let loaded_at = NOW + std::time::Duration::from_secs(18);
    let actions = planner.poll(loaded_at, 100);
    let steps = actions.iter().map(|action| match action {
        Action::Generate { sample, .. } => sample.step.0,
        Action::Cancel { .. } => panic!("cancelled"),
    });
    assert!(steps.eq([4, 4]));
}

/// The limit on attempts in flight must hold, and a limit of 0 must start nothing.
#[test]
fn limit_holds() {
    let mut planner = planner(2, 1.0);
    assert_eq!(starts(&mut planner, 0), []);
    assert_eq!(starts(&mut planner, 3).len(), 3);
    assert_eq!(starts(&mut planner, 3), []);
    assert_eq!(starts(&mut planner, 4).len(), 1);
    assert_eq!(planner.in_flight(), 4);
}

/// The step that the trainer is waiting for must take precedence over earlier steps.
#[test]
fn requested_step_comes_first() {
    let mut planner = planner(2, 1.0);
    planner.set_requested_step(Some(id::Step(2)));
    assert_eq!(starts(&mut planner, 3), [(2, 0), (2, 0), (1, 1)]);
}

/// A new owner must not regenerate samples that the ledger already has.
#[test]
fn resumes_missing_samples() {
    let mut planner = planner(2, 0.0);
    planner.on_acknowledged(id::Step(4));
    let missing = id::Sample::new("weld".parse().unwrap(), id::Step(5), 1, 1);
    let missing_samples = std::slice::from_ref(&missing);
    planner
        .resume(id::Step(5), &[2, 2], missing_samples)
        .unwrap();
    planner.set_requested_step(Some(id::Step(5)));
    let actions = planner.poll(NOW, 10);
    let [Action::Generate { sample, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(*sample, missing);
    assert_eq!(planner.unfinished(id::Step(5)), Some(1));
}

/// The number of open steps and of samples per step must be bounded.
#[test]
fn plans_are_bounded() {
    let mut planner = planner(2, 0.0);
    let large = planner.submit(id::Step(5), &[1_000, 25]).unwrap_err();
    assert_eq!(large.code, Code::TooLarge);
    for step in 5..=MAX_OPEN_STEPS as u64 {
        planner.submit(id::Step(step), &[1]).unwrap();
    }
    let refusal = planner.submit(id::Step(999), &[1]).unwrap_err();
    assert_eq!(refusal.code, Code::Overloaded);
}
