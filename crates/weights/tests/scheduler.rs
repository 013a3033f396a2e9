//! Guards against unnecessary loads, and against a second order to a replica that is loading.

use dogwoodlb_types::Instant;
use dogwoodlb_weights::{Load, ModelDemand, Replica, Scheduler};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::default();
    scheduler.set_models(&["m".to_owned()]);
    scheduler
}

fn replicas<'a>(names: &'a [String], version: u64) -> Vec<Replica<'a>> {
    let replica = |name: &'a String| Replica {
        name,
        slots: 10,
        running: 0,
        announced: vec![Some(version)],
    };
    names.iter().map(replica).collect()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("r{number:02}")).collect()
}

fn demand(newest: u64, items: usize) -> [ModelDemand; 1] {
    [ModelDemand {
        newest: Some(newest),
        min_version: newest - 1,
        has_waiting: items > 0,
        open_items: items,
        open_events: 20 * items as u64,
    }]
}

fn loaded(loads: &[Load]) -> Vec<&str> {
    loads.iter().map(|load| load.replica.as_str()).collect()
}

/// Guards against loading each version on all of 50 replicas for a step that needs ten slots.
#[test]
fn only_needed_replicas_load() {
    let names = names(50);
    let mut scheduler = scheduler();
    let mut ordered = 0;
    for round in 0..20 {
        let loads = scheduler.next_loads(&replicas(&names, 1), &demand(3, 10), at(round));
        ordered += loads.len();
        for load in &loads {
            scheduler.on_load_end(&load.replica, "m", Ok(3));
        }
    }
    assert_eq!(ordered, 2);
}

#[test]
fn peak_demand_is_retained() {
    let names = names(50);
    let mut scheduler = scheduler();
    scheduler.next_loads(&replicas(&names, 1), &demand(1, 100), at(0));
    let loads = scheduler.next_loads(&replicas(&names, 1), &demand(3, 0), at(10_000));
    assert_eq!(loads.len(), 10, "one in five replicas loads at a time");
    for load in &loads {
        scheduler.on_load_end(&load.replica, "m", Ok(3));
    }
    let loads = scheduler.next_loads(&replicas(&names, 1), &demand(3, 0), at(10_001));
    assert_eq!(loads.len(), 10);
    let none = scheduler.next_loads(&replicas(&names, 1), &demand(3, 0), at(10_002));
    assert!(
        none.is_empty(),
        "20 replicas have twice the slots of 100 items"
    );
}

#[test]
fn one_order_per_replica() {
    let names = names(2);
    let mut scheduler = scheduler();
    let loads = scheduler.next_loads(&replicas(&names, 1), &demand(3, 20), at(0));
    assert_eq!(loaded(&loads), ["r00", "r01"]);
    assert_eq!(scheduler.loading_models("r00"), ["m"]);
    let again = scheduler.next_loads(&replicas(&names, 1), &demand(4, 20), at(100));
    assert!(again.is_empty());
}

#[test]
fn failed_load_is_delayed() {
    let names = names(1);
    let mut scheduler = scheduler();
    scheduler.next_loads(&replicas(&names, 1), &demand(3, 20), at(0));
    scheduler.on_load_end("r00", "m", Err(at(700)));
    assert!(scheduler.loading_models("r00").is_empty());
    let early = scheduler.next_loads(&replicas(&names, 1), &demand(3, 20), at(600));
    assert!(early.is_empty());
    let loads = scheduler.next_loads(&replicas(&names, 1), &demand(3, 20), at(700));
    assert_eq!(loaded(&loads), ["r00"]);
    scheduler.on_load_end("r00", "m", Ok(3));
    assert_eq!(scheduler.version("r00", "m", Some(1)), Some(3));
}

/// Completes all loads of two models at once, and returns how many each model got.
fn loads_by_model(replica_count: usize, events: [u64; 2]) -> [usize; 2] {
    let names = names(replica_count);
    let mut replicas = replicas(&names, 1);
    for replica in &mut replicas {
        replica.announced.push(Some(1));
    }
    let models = ["m0", "m1"];
    let mut scheduler = Scheduler::default();
    scheduler.set_models(&models.map(str::to_owned));
    let demands = events.map(|open_events| ModelDemand {
        open_events,
        ..demand(3, 100)[0]
    });
    let mut counts = [0, 0];
    for round in 0..100 {
        for load in scheduler.next_loads(&replicas, &demands, at(round)) {
            counts[load.model] += 1;
            scheduler.on_load_end(&load.replica, models[load.model], Ok(load.version));
        }
    }
    counts
}

/// Guards against equal shares, with which the items of one model wait for replicas while those of
/// the other are free.
#[test]
fn replicas_follow_demand() {
    assert_eq!(loads_by_model(12, [300, 300]), [6, 6]);
    assert_eq!(loads_by_model(12, [900, 300]), [9, 3]);
}

/// Guards against a model without replicas for its next step.
#[test]
fn idle_model_keeps_replicas() {
    assert_eq!(loads_by_model(10, [800, 0]), [8, 2]);
    assert_eq!(loads_by_model(10, [0, 0]), [5, 5]);
}

/// An entry with the highest version that can be read made the addition of one overflow, so that
/// the task which plans the loads ended.
#[test]
fn highest_version() {
    let names = names(4);
    let mut announced = replicas(&names, 1);
    announced[0].announced = vec![Some(u64::MAX)];
    let idle = scheduler().next_loads(&announced, &demand(3, 0), at(0));
    assert_eq!(loaded(&idle), ["r01", "r02"]);
    let busy = scheduler().next_loads(&announced, &demand(3, 40), at(0));
    assert_eq!(loaded(&busy), ["r01", "r02"]);
}

/// A replica whose entry shows a version that was never announced counted as one with the newest
/// weights, so that too few others loaded these.
#[test]
fn unannounced_version() {
    let names = names(10);
    let mut announced = replicas(&names, 1);
    announced[0].announced = vec![Some(u64::MAX)];
    let loads = scheduler().next_loads(&announced, &demand(3, 10), at(0));
    assert_eq!(loaded(&loads), ["r01", "r02"]);
}
