//! Guards against batches of one organisation that hold up those of others. Each load is played in
//! virtual time twice; without organisations it must fail the same objective.

use dogwoodlb_batch::{Action, Item, NewBatch, Planner, ReplicaState, RunEnd, WorkId};
use dogwoodlb_types::Instant;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

const SLOTS: u32 = 8;
const EVENT_MS: u64 = 40;
const END_MS: u64 = 8_000;

#[derive(Clone, Copy)]
struct Load {
    organisation: &'static str,
    priority: u32,
    at_ms: u64,
    items: u32,
    events: u64,
}

const fn load(organisation: &'static str, items: u32, events: u64) -> Load {
    Load {
        organisation,
        priority: 0,
        at_ms: 0,
        items,
        events,
    }
}

/// What each organisation gets: its events, and the time at which its last item was complete.
type Outcome = BTreeMap<&'static str, (u64, u64)>;

fn add_batch(planner: &mut Planner, load: Load, with_organisation: bool) {
    let item = |n| Item {
        id: format!("{}-{}-{n}", load.organisation, load.at_ms),
        group: format!("g{}", n / 4),
        expected_tokens: load.events,
        ..Item::default()
    };
    planner.add_batch(&NewBatch {
        id: &format!("{}-{}", load.organisation, load.at_ms),
        model: "m",
        min_version: 1,
        single_version: false,
        target_groups: load.items,
        max_attempts: 3,
        event_tokens: 1,
        items: &(0..load.items).map(item).collect::<Vec<Item>>(),
        finished: &BTreeSet::new(),
        organisation: with_organisation.then_some(load.organisation),
        priority: load.priority,
        deadline: None,
    });
}

fn play(loads: &[Load], with_organisations: bool) -> Outcome {
    let mut planner = Planner::default();
    let state = ReplicaState {
        slots: SLOTS,
        versions: [("m".to_owned(), 1)].into(),
        ..ReplicaState::default()
    };
    planner.set_replica("r", state);
    let mut runs: Vec<(WorkId, Load, u64)> = Vec::new();
    let mut outcome = Outcome::new();
    for now_ms in (0..END_MS).step_by(EVENT_MS as usize) {
        let now = Instant::from_millis(now_ms);
        for load in loads.iter().filter(|load| load.at_ms == now_ms) {
            add_batch(&mut planner, *load, with_organisations);
        }
        runs.retain_mut(|(work, load, event)| {
            *event += 1;
            assert!(planner.on_event(*work, *event, "x", 1, now));
            let served = outcome.entry(load.organisation).or_default();
            served.0 += 1;
            served.1 = now_ms;
            if *event == load.events {
                planner.on_run_end(*work, RunEnd::Completed, now);
                planner.mark_done(*work);
            }
            *event < load.events
        });
        for action in planner.plan(now) {
            let Action::Start { work, .. } = action else {
                panic!("{action:?}");
            };
            let batch = planner.item_location(work).unwrap().0;
            let is_of_batch =
                |load: &&Load| batch == format!("{}-{}", load.organisation, load.at_ms);
            let load = loads.iter().find(is_of_batch).unwrap();
            runs.push((work, *load, 0));
        }
    }
    outcome
}

/// An organisation has used up its burst allowance with a batch that takes all slots for 16 s. The
/// 8 items that another one submits after 3 s, which need 0.32 s alone, are complete within 1 s.
#[test]
fn flood_of_one_organisation() {
    let aspen = Load {
        at_ms: 3_000,
        ..load("aspen", 8, 8)
    };
    let loads = [load("flood", 400, 8), aspen];
    let (shared, plain) = (play(&loads, true), play(&loads, false));
    assert_eq!(shared["aspen"].0, 64);
    assert!(shared["aspen"].1 < 4_000, "{shared:?}");
    assert!(shared["flood"].0 > 1_450, "work conserving: {shared:?}");
    assert!(!plain.contains_key("aspen"), "{plain:?}");
}

/// Two organisations send more than the replicas serve. They share the events, even if the items of
/// one are longer and would start first; by priority in the ratio of the weights, but the lowest one
/// gets the quarter that goes by age.
#[rstest]
#[case::long_items_do_not_win(load("long", 400, 20), load("short", 1_000, 5), 0.8..1.5)]
#[case::weight_of_priority(load("long", 400, 20), Load { priority: 1, ..load("short", 1_000, 5) }, 1.6..3.0)]
#[case::lowest_priority(load("long", 400, 5), Load { priority: 9, ..load("short", 1_000, 5) }, 2.0..4.0)]
fn shared_events(#[case] one: Load, #[case] other: Load, #[case] expected: std::ops::Range<f64>) {
    let ratio = |outcome: &Outcome| {
        let events = |load: Load| outcome.get(load.organisation).map_or(0, |served| served.0);
        events(one) as f64 / events(other) as f64
    };
    let (shared, plain) = (play(&[one, other], true), play(&[one, other], false));
    assert!(expected.contains(&ratio(&shared)), "{shared:?}");
    assert!(!expected.contains(&ratio(&plain)), "{plain:?}");
}
