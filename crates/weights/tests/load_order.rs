//! Guards against steps without a usable replica, and against unnecessary loads.

use dogwoodlb_weights::{
    interleave_loads, plan_loads, Candidate, LoadGoal, LoadReason, LoadedWeights, ModelAssignments,
    PlannedLoad,
};

fn holdings(versions: &[u64]) -> Vec<LoadedWeights> {
    let holding = |(index, version): (usize, &u64)| LoadedWeights {
        replica: format!("r{index}"),
        version: *version,
        busy: false,
        running: 0,
    };
    versions.iter().enumerate().map(holding).collect()
}

const GOAL: LoadGoal = LoadGoal {
    newest: 5,
    min_version: 4,
    has_waiting: true,
    max_idle_loads: 4,
    load_count: 0,
    needed_replicas: usize::MAX,
};

fn names(choices: &[PlannedLoad]) -> Vec<(&str, LoadReason)> {
    let name = |choice: &'_ PlannedLoad| (choice.replica.clone(), choice.reason);
    let names: Vec<(String, LoadReason)> = choices.iter().map(name).collect();
    names
        .into_iter()
        .map(|(name, need)| (&*name.leak(), need))
        .collect()
}

#[test]
fn useless_ones_first() {
    let holdings = holdings(&[4, 3, 4, 3, 3]);
    let needs = [
        ("r1", LoadReason::TooOld),
        ("r3", LoadReason::TooOld),
        ("r4", LoadReason::TooOld),
    ];
    assert_eq!(names(&plan_loads(&holdings, &GOAL)), needs);
}

#[test]
fn half_is_newest() {
    let choices = plan_loads(&holdings(&[5, 4, 4, 4]), &GOAL);
    assert_eq!(names(&choices), [("r1", LoadReason::NewestShare)]);
    assert!(plan_loads(&holdings(&[5, 5, 4, 4]), &GOAL).is_empty());
}

#[test]
fn loading_ones_count() {
    let mut holdings = holdings(&[3, 4, 4, 4]);
    holdings[0].busy = true;
    assert_eq!(
        names(&plan_loads(&holdings, &GOAL)),
        [("r1", LoadReason::NewestShare)]
    );
}

#[test]
fn spare_time() {
    let idle = LoadGoal {
        has_waiting: false,
        load_count: 2,
        ..GOAL
    };
    let spare = [("r2", LoadReason::Idle), ("r3", LoadReason::Idle)];
    assert_eq!(names(&plan_loads(&holdings(&[5, 5, 4, 4]), &idle)), spare);
    let spent = LoadGoal {
        load_count: 4,
        ..idle
    };
    assert!(plan_loads(&holdings(&[5, 5, 4, 4]), &spent).is_empty());
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
    let choices = [
        too_old(&["a", "b", "c"]),
        too_old(&["d", "e"]),
        too_old(&["f"]),
    ];
    let started = interleave_loads(&choices, 4);
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
fn homes_are_shared() {
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
fn only_as_many_as_needed() {
    let three = LoadGoal {
        needed_replicas: 3,
        ..GOAL
    };
    let behind = [("r0", LoadReason::TooOld), ("r1", LoadReason::TooOld)];
    assert_eq!(
        names(&plan_loads(&holdings(&[3, 3, 2, 5, 1]), &three)),
        behind
    );
    let none = LoadGoal {
        needed_replicas: 0,
        ..GOAL
    };
    assert!(plan_loads(&holdings(&[1, 1]), &none).is_empty());
}

/// Guards against a linear search for each candidate, which saturated a leader's CPU with several
/// thousand replicas.
#[test]
fn many_homes() {
    let candidates: Vec<Candidate> = (0..20_000)
        .map(|number| Candidate {
            replica: format!("replica-of-a-long-name-{number:05}"),
            lags: vec![0, 1],
        })
        .collect();
    let mut assignments = ModelAssignments::default();
    assignments.assign(&candidates, &[1.0, 1.0]);
    let began = std::time::Instant::now();
    assignments.assign(&candidates, &[1.0, 1.0]);
    let took = began.elapsed();
    assert!(took < std::time::Duration::from_secs(1), "{took:?}");
}
