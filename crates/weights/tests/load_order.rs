//! Guards against steps for which no replica has recent enough weights, and against unnecessary
//! loads.

use dogwoodlb_weights::{
    interleave_loads, plan_loads, Candidate, LoadGoal, LoadReason, LoadedWeights, ModelAssignments,
    PlannedLoad,
};

fn loaded_weights(versions: &[u64]) -> Vec<LoadedWeights> {
    let weights = |(index, version): (usize, &u64)| LoadedWeights {
        replica: format!("r{index}"),
        version: *version,
        busy: false,
        running: 0,
    };
    versions.iter().enumerate().map(weights).collect()
}

const GOAL: LoadGoal = LoadGoal {
    newest: 5,
    min_version: 4,
    has_waiting: true,
    max_idle_loads: 4,
    load_count: 0,
    needed_replicas: usize::MAX,
};

fn replicas_and_reasons(plan: &[PlannedLoad]) -> Vec<(&str, LoadReason)> {
    let name = |load: &'_ PlannedLoad| (load.replica.clone(), load.reason);
    let names: Vec<(String, LoadReason)> = plan.iter().map(name).collect();
    names
        .into_iter()
        .map(|(name, reason)| (&*name.leak(), reason))
        .collect()
}

#[test]
fn outdated_replicas_first() {
    let loaded_weights = loaded_weights(&[4, 3, 4, 3, 3]);
    let expected = [
        ("r1", LoadReason::TooOld),
        ("r3", LoadReason::TooOld),
        ("r4", LoadReason::TooOld),
    ];
    assert_eq!(
        replicas_and_reasons(&plan_loads(&loaded_weights, &GOAL)),
        expected
    );
}

#[test]
fn half_hold_newest_version() {
    let plan = plan_loads(&loaded_weights(&[5, 4, 4, 4]), &GOAL);
    assert_eq!(
        replicas_and_reasons(&plan),
        [("r1", LoadReason::NewestShare)]
    );
    assert!(plan_loads(&loaded_weights(&[5, 5, 4, 4]), &GOAL).is_empty());
}

#[test]
fn loading_replicas_count_as_newest() {
    let mut loaded_weights = loaded_weights(&[3, 4, 4, 4]);
    loaded_weights[0].busy = true;
    assert_eq!(
        replicas_and_reasons(&plan_loads(&loaded_weights, &GOAL)),
        [("r1", LoadReason::NewestShare)]
    );
}

#[test]
fn idle_loads_up_to_limit() {
    let idle = LoadGoal {
        has_waiting: false,
        load_count: 2,
        ..GOAL
    };
    let expected = [("r2", LoadReason::Idle), ("r3", LoadReason::Idle)];
    assert_eq!(
        replicas_and_reasons(&plan_loads(&loaded_weights(&[5, 5, 4, 4]), &idle)),
        expected
    );
    let exhausted = LoadGoal {
        load_count: 4,
        ..idle
    };
    assert!(plan_loads(&loaded_weights(&[5, 5, 4, 4]), &exhausted).is_empty());
}

/// Guards against the first models using up all loads, which left no replica with recent weights
/// of the last model.
#[test]
fn models_take_turns() {
    let too_old = |names: &[&str]| -> Vec<PlannedLoad> {
        let choice = |name: &&str| PlannedLoad {
            replica: (*name).to_owned(),
            reason: LoadReason::TooOld,
        };
        names.iter().map(choice).collect()
    };
    let plans = [
        too_old(&["a", "b", "c"]),
        too_old(&["d", "e"]),
        too_old(&["f"]),
    ];
    let started = interleave_loads(&plans, 4);
    let models: Vec<usize> = started.iter().map(|(model, _)| *model).collect();
    assert_eq!(models, [0, 1, 2, 0]);
    let same = [too_old(&["a"]), too_old(&["a"])];
    assert_eq!(
        interleave_loads(&same, 4).len(),
        1,
        "one load at a time on a replica"
    );
}

#[test]
fn replicas_are_shared_among_models() {
    let candidate = |number: usize| Candidate {
        replica: format!("r{number:02}"),
        lags: vec![0, 0, 0],
    };
    let mut candidates: Vec<Candidate> = (0..9).map(candidate).collect();
    let mut assignments = ModelAssignments::default();
    assignments.assign(&candidates, &[1.0, 1.0, 1.0]);
    let count = |assignments: &ModelAssignments, model: usize| {
        let of =
            |candidate: &&Candidate| assignments.assigned_model(&candidate.replica) == Some(model);
        candidates.iter().filter(of).count()
    };
    assert_eq!([0, 1, 2].map(|model| count(&assignments, model)), [3, 3, 3]);
    // A new leader restores the assignments from the loaded versions.
    for candidate in &mut candidates {
        let assigned = assignments.assigned_model(&candidate.replica);
        candidate.lags = (0..3)
            .map(|model| u64::from(assigned != Some(model)))
            .collect();
    }
    let mut other = ModelAssignments::default();
    other.assign(&candidates, &[1.0, 1.0, 1.0]);
    for candidate in &candidates {
        assert_eq!(
            other.assigned_model(&candidate.replica),
            assignments.assigned_model(&candidate.replica)
        );
    }
}

/// Guards against loads on every replica of a pool regardless of demand.
#[test]
fn only_needed_replicas_load() {
    let three_needed = LoadGoal {
        needed_replicas: 3,
        ..GOAL
    };
    let behind = [("r0", LoadReason::TooOld), ("r1", LoadReason::TooOld)];
    assert_eq!(
        replicas_and_reasons(&plan_loads(
            &loaded_weights(&[3, 3, 2, 5, 1]),
            &three_needed
        )),
        behind
    );
    let none_needed = LoadGoal {
        needed_replicas: 0,
        ..GOAL
    };
    assert!(plan_loads(&loaded_weights(&[1, 1]), &none_needed).is_empty());
}

/// Guards against a linear search for each candidate, which saturated a leader's CPU with several
/// thousand replicas.
#[test]
fn many_assignments() {
    let candidates: Vec<Candidate> = (0..20_000)
        .map(|number| Candidate {
            replica: format!("replica-of-a-long-name-{number:05}"),
            lags: vec![0, 1],
        })
        .collect();
    let mut assignments = ModelAssignments::default();
    assignments.assign(&candidates, &[1.0, 1.0]);
    let start = std::time::Instant::now();
    assignments.assign(&candidates, &[1.0, 1.0]);
    let elapsed = start.elapsed();
    assert!(elapsed < std::time::Duration::from_secs(1), "{elapsed:?}");
}
