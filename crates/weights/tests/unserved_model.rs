//! Guards against a model without a replica for its newer weights: its items wait until their time is
//! up while replicas of other models are idle.

use dogwoodlb_types::Instant;
use dogwoodlb_weights::{Candidate, Load, ModelAssignments, ModelDemand, Replica, Scheduler};
use rstest::rstest;

const MODELS: [&str; 3] = ["large", "small", "third"];

fn candidates(names: &str) -> Vec<Candidate> {
    let candidate = |name: char| Candidate {
        replica: name.to_string(),
        lags: vec![0; MODELS.len()],
    };
    names.chars().map(candidate).collect()
}

/// A release of the replicas of a small model left the replacements with the large one, which then
/// exceeded its quota by one only. Each round names the replicas, one letter each.
#[rstest]
#[case::small_model(&[5.0, 1.0], &["abcdef", "abcdefg", "abcdeg"], [5, 1, 0])]
#[case::small_quota(&[30.0, 5.0, 2.0], &["abcd"], [2, 1, 1])]
#[case::shortage_of_two(&[1.0, 1.0, 1.0], &["abcdefghi", "abcdefghijkl", "abdeghijk"], [3, 4, 2])]
fn every_model_has_replica(
    #[case] shares: &[f64],
    #[case] rounds: &[&str],
    #[case] expected: [usize; MODELS.len()],
) {
    let mut assignments = ModelAssignments::default();
    let mut counts = [0; MODELS.len()];
    for names in rounds {
        assignments.assign(&candidates(names), shares);
        counts = [0; MODELS.len()];
        for name in names.chars() {
            counts[assignments.assigned_model(&name.to_string()).unwrap()] += 1;
        }
    }
    assert_eq!(counts, expected);
}

/// Plays 12 s with waiting items of three models and a new version of each every 4 s, and returns the
/// newest version of each model on any replica. Orders to replica `broken` fail.
fn newest_loaded(names: &[&str]) -> [u64; MODELS.len()] {
    let mut scheduler = Scheduler::default();
    scheduler.set_models(&MODELS.map(str::to_owned));
    let replica = |name| Replica {
        name,
        slots: 12,
        running: 0,
        announced: vec![Some(1); MODELS.len()],
    };
    let replicas: Vec<Replica<'_>> = names.iter().copied().map(replica).collect();
    for ms in (0..12_000).step_by(100) {
        let now = Instant::from_millis(ms);
        let newest = 3 + ms / 4_000;
        let demand = |open_items| ModelDemand {
            newest: Some(newest),
            min_version: newest - 1,
            has_waiting: true,
            open_items,
            open_events: 20 * open_items as u64,
        };
        let demands = [demand(100), demand(10), demand(10)];
        for Load { replica, model, .. } in scheduler.next_loads(&replicas, &demands, now) {
            let end = match replica.as_str() {
                "broken" => Err(Instant::from_millis(ms + 700)),
                _ => Ok(newest),
            };
            scheduler.on_load_end(&replica, MODELS[model], end);
        }
    }
    MODELS.map(|model| {
        let versions = names
            .iter()
            .map(|name| scheduler.version(name, model, None));
        versions.flatten().max().unwrap_or(0)
    })
}

/// A model without an assigned replica, or whose assigned replica rejects all orders, got no newer
/// weights.
#[rstest]
#[case::more_models_than_replicas(&["a", "b"])]
#[case::single_replica(&["a"])]
#[case::rejected_orders(&["broken", "b", "c", "d", "e", "f"])]
#[case::rejected_orders_of_last(&["a", "b", "c", "broken"])]
fn every_model_gets_weights(#[case] names: &[&str]) {
    for version in newest_loaded(names) {
        assert!(version >= 4, "{version}");
    }
}
