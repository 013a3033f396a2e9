//! Guards against two accepted commits with the same base, decreasing revisions, and nodes that act
//! on an outdated revision. Seeded simulations of 11 nodes in virtual time, with message loss,
//! store outages, partitions, pauses, restarts, lost responses and concurrent operators.

#[path = "races/store.rs"]
mod store;
#[path = "races/world.rs"]
mod world;

use dogwoodlb_manifest::adopt::Authority;
use dogwoodlb_manifest::record::Record;
use dogwoodlb_manifest::Manifest;
use dogwoodlb_types::{Code, Execution};
use rand::RngExt;
use rstest::rstest;
use world::{World, CUT_OFF, FAULTY_MS, NODES};

/// The time within which an accepted manifest is in force on all nodes (P9 in docs/design.md).
const IN_FORCE_MS: u64 = 4_000;
/// The time at which the nodes must have recovered from the faults.
const RECOVERED_MS: u64 = 80_000;
const END_MS: u64 = 86_000;
/// The number of seeds of each case.
const SEEDS: u64 = 10;

/// Counts the situations that the simulations must cover.
#[derive(Debug, Default)]
struct Coverage {
    accepted: usize,
    ambiguous: usize,
    closed: usize,
    conflicts: usize,
    joint: usize,
    sole_by_majority: usize,
    unknown: usize,
}

fn run_until(world: &mut World, end: u64, coverage: &mut Coverage) {
    while world.now < end {
        world.advance();
        for node in 0..NODES {
            if !world.is_paused(node) {
                check(world, node, coverage);
            }
        }
    }
}

fn allows_only(joint: &Manifest, full: &Manifest) -> bool {
    let known = |caller| full.callers.iter().any(|one| one.caller == caller);
    joint.callers.iter().all(|one| known(one.caller.clone()))
}

/// Checks the manifest on which a running node would act now.
fn check(world: &World, node: usize, coverage: &mut Coverage) {
    let (state, history) = (&world.nodes[node], &world.store.history);
    let revision = state.revision.0 as usize;
    assert_eq!(state.adoption.revision(), state.revision);
    // A revision was in force within the last 4 s unless its successor is older than that.
    let since = world.now.saturating_sub(IN_FORCE_MS);
    let was_recent = |one: usize| {
        history
            .get(one)
            .is_none_or(|&(replaced, _)| replaced >= since)
    };
    match state.adoption.authority(world.local(node)) {
        Authority::Sole(manifest) => {
            let now = world.now;
            assert!(
                was_recent(revision),
                "node {node} acts on {revision} at {now}"
            );
            assert_eq!(*manifest, history[revision - 1].1);
            let is_down = world.now < world.down_until && world.now > world.down_since + 3_200;
            coverage.sole_by_majority += usize::from(is_down);
        }
        Authority::Joint(manifest) => {
            let mut recent = (1..=history.len()).filter(|&one| was_recent(one));
            let allowed = recent.any(|one| allows_only(manifest, &history[one - 1].1));
            assert!(
                allowed,
                "joint of node {node} allows too much at {}",
                world.now
            );
            coverage.joint += 1;
        }
        Authority::Unknown => coverage.unknown += 1,
    }
}

/// Starts or ends a random fault.
fn inject_fault(world: &mut World) {
    let node = world.rng.random_range(0..NODES);
    let until = world.now + world.rng.random_range(500..12_000);
    match world.rng.random_range(0..10) {
        0 if world.down_until < world.now => {
            (world.down_since, world.down_until) = (world.now, until);
        }
        1 | 2 => world.nodes[node].paused_until = until,
        3 | 4 => world.restart(node),
        5 | 6 => world.nodes[node].group = world.rng.random_range(0..=CUT_OFF),
        7 => {
            for node in 0..NODES {
                let is_cut_off = world.rng.random_bool(0.4);
                world.nodes[node].group = if is_cut_off { CUT_OFF } else { 0 };
            }
        }
        _ => world.nodes.iter_mut().for_each(|node| node.group = 0),
    }
}

/// Starts up to three concurrent commits, some of them with an outdated base.
fn start_commits(world: &mut World) {
    let newest = world.store.history.len() as u64;
    let base = newest - u64::from(newest > 0 && world.rng.random_bool(0.1));
    for _ in 0..world.rng.random_range(1..=3) {
        let node = world.rng.random_range(0..NODES);
        if !world.is_paused(node) {
            world.commit(node, base);
        }
    }
}

/// Disconnects most nodes from the table during commits, some of them after a restart.
fn cut_off_from_table(world: &mut World, coverage: &mut Coverage) {
    let restarts = world.rng.random_range(0..=14);
    let mut next = world.now + world.rng.random_range(10..120);
    run_until(world, next, coverage);
    let committers: Vec<_> = world.runs.iter().map(|run| run.node).collect();
    let committers = &committers[committers.len().saturating_sub(3)..];
    for _ in 0..restarts {
        let node = world.rng.random_range(0..NODES);
        if !committers.contains(&node) {
            world.restart(node);
        }
    }
    next += world.rng.random_range(0..2_500) * u64::from(restarts > 0);
    run_until(world, next, coverage);
    for node in 0..NODES {
        if !committers.contains(&node) && world.rng.random_bool(0.9) {
            world.nodes[node].group = CUT_OFF;
        }
    }
    next += world.rng.random_range(3_000..9_000);
    run_until(world, next, coverage);
    world.nodes.iter_mut().for_each(|node| node.group = 0);
}

/// Compares the results returned to operators with the contents of the table.
fn check_results(world: &World, coverage: &mut Coverage) {
    for run in &world.runs {
        let row = world.store.rows.get(&format!("manifest/{}", run.base + 1));
        let record = row.and_then(Record::from_row);
        let was_written = record.is_some_and(|record| record.operation == run.operation);
        match &run.result {
            Some(Ok(revision)) => assert!(was_written && revision.0 == run.base + 1),
            Some(Err(refusal)) if refusal.execution == Execution::NotRun => {
                assert!(!was_written, "{refusal}");
                coverage.conflicts += usize::from(refusal.code == Code::Conflict);
            }
            _ => {}
        }
    }
}

fn faulty_run(seed: u64, coverage: &mut Coverage) {
    println!("seed {seed}");
    let mut world = World::new(seed);
    world.commit(0, 0);
    run_until(&mut world, 2_000, coverage);
    while world.now < FAULTY_MS {
        if world.rng.random_bool(0.5) {
            inject_fault(&mut world);
        }
        if world.rng.random_bool(0.4) {
            start_commits(&mut world);
            if world.rng.random_bool(0.4) {
                cut_off_from_table(&mut world, coverage);
            }
        }
        let next = world.now + 1_000;
        run_until(&mut world, next, coverage);
    }
    world.down_until = 0;
    for node in &mut world.nodes {
        (node.group, node.paused_until) = (0, 0);
    }
    run_until(&mut world, RECOVERED_MS, coverage);
    let base = world.store.history.len();
    let last = world.commit(3, base as u64);
    run_until(&mut world, END_MS, coverage);
    assert!(
        matches!(&world.runs[last].result, Some(Ok(revision)) if revision.0 as usize == base + 1)
    );
    assert!(world.now - world.store.history[base].0 > IN_FORCE_MS);
    for (node, state) in world.nodes.iter().enumerate() {
        let authority = state.adoption.authority(world.local(node));
        assert!(matches!(authority, Authority::Sole(_)), "node {node}");
        assert_eq!(state.revision.0 as usize, base + 1);
    }
    check_results(&world, coverage);
    coverage.accepted += world.store.history.len();
    coverage.ambiguous += world.ambiguous;
    coverage.closed += world.store.closed;
}

#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[case(3)]
fn faulty_runs(#[case] part: u64) {
    let mut coverage = Coverage::default();
    for seed in part * SEEDS..(part + 1) * SEEDS {
        faulty_run(seed, &mut coverage);
    }
    println!("{coverage:?}");
    // The simulations are meaningful only if these situations occurred.
    assert!(
        coverage.accepted > 50 && coverage.conflicts > 20,
        "{coverage:?}"
    );
    assert!(
        coverage.ambiguous > 10 && coverage.closed > 5,
        "{coverage:?}"
    );
    assert!(
        coverage.joint > 100 && coverage.unknown > 500,
        "{coverage:?}"
    );
    assert!(coverage.sole_by_majority > 500, "{coverage:?}");
}

/// With two concurrent operators and no faults, one commit succeeds and the refusal of the other
/// names the successful operator.
#[test]
fn two_operators() {
    for seed in 0..40 {
        let (mut world, mut coverage) = (World::new(seed), Coverage::default());
        world.now = FAULTY_MS;
        world.commit(0, 0);
        run_until(&mut world, FAULTY_MS + 1_000, &mut coverage);
        let nodes = [
            world.rng.random_range(0..NODES),
            world.rng.random_range(0..NODES),
        ];
        let runs = nodes.map(|node| world.commit(node, 1));
        run_until(&mut world, FAULTY_MS + 1_000 + IN_FORCE_MS, &mut coverage);
        let results = runs.map(|run| world.runs[run].result.clone().unwrap());
        let winner = results.iter().position(Result::is_ok).unwrap();
        let refusal = results[1 - winner].clone().unwrap_err();
        assert_eq!(
            (refusal.code, refusal.execution),
            (Code::Conflict, Execution::NotRun)
        );
        let expected = format!("operator op-{} committed revision 2", runs[winner]);
        assert!(refusal.message.contains(&expected), "{refusal}");
        assert!(world.nodes.iter().all(|node| node.revision.0 == 2));
    }
}
