//! Guards against runs that wait long for an unresponsive replica, and against runs that are stopped
//! on a sound one because it is slow, loads weights or prefills, or because the node was suspended.

use dogwoodlb_batch::{Action, Item, NewBatch, Planner, ReplicaState, WorkId};
use dogwoodlb_types::Instant;
use rstest::rstest;
use std::collections::BTreeSet;
use std::ops::Range;

const ROUND_MS: usize = 20;
/// A new replica counts as just loaded for 2 s.
const START_MS: u64 = 3_000;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn state(version: u64, is_loading: bool) -> ReplicaState {
    ReplicaState {
        slots: 3,
        versions: [("m".to_owned(), version)].into(),
        reloading: is_loading.then(|| "m".to_owned()).into_iter().collect(),
        ..ReplicaState::default()
    }
}

fn add_items(planner: &mut Planner, batch: &str, count: usize, prompt_tokens: u64) {
    let item = |number: usize| Item {
        id: format!("{batch}-{number}"),
        prompt_tokens,
        expected_tokens: 10_000,
        ..Item::default()
    };
    planner.add_batch(&NewBatch {
        id: batch,
        organisation: None,
        model: "m",
        min_version: 1,
        single_version: false,
        target_groups: 1,
        max_attempts: 3,
        event_tokens: 10,
        items: &(0..count).map(item).collect::<Vec<_>>(),
        finished: &BTreeSet::new(),
    });
}

/// What happens to a replica and its node.
#[derive(Default)]
struct Script {
    prompt_tokens: u64,
    event_ms: u64,
    events: u64,
    /// When it loads weights.
    load_ms: Range<u64>,
    /// When the node is suspended.
    suspended_ms: Range<u64>,
}

/// The time from the last event, or the start of the run, to its stop must follow the speed and the
/// state of the replica.
#[rstest]
#[case::fast(Script { event_ms: 40, events: 50, ..Script::default() }, 800)]
#[case::slow(Script { event_ms: 320, events: 10, ..Script::default() }, 3_200)]
#[case::first_event(Script::default(), 800)]
#[case::prefill(Script { prompt_tokens: 50_000, ..Script::default() }, 1_800)]
#[case::loading(Script { load_ms: 3_100..9_000, ..Script::default() }, 2_200)]
#[case::just_loaded(Script { load_ms: 2_600..3_000, ..Script::default() }, 2_000)]
#[case::suspended(Script { suspended_ms: 3_420..8_000, ..Script::default() }, 5_300)]
fn silence_until_stop(#[case] script: Script, #[case] expected_ms: u64) {
    let mut planner = Planner::default();
    let mut last_event_ms = START_MS;
    let mut events = 0;
    for ms in (0..20_000).step_by(ROUND_MS) {
        let is_loaded = ms >= script.load_ms.end;
        let is_loading = script.load_ms.contains(&ms);
        planner.set_replica("r", state(1 + u64::from(is_loaded), is_loading));
        if ms == START_MS {
            add_items(&mut planner, "b", 1, script.prompt_tokens);
        }
        if events < script.events && ms == last_event_ms + script.event_ms {
            (events, last_event_ms) = (events + 1, ms);
            assert!(planner.on_event(WorkId(1), events, "text", 1, at(ms)));
        }
        if script.suspended_ms.contains(&ms) {
            continue;
        }
        let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
        if planner.plan(at(ms)).iter().any(is_stop) {
            let waited = ms - last_event_ms;
            let range = expected_ms..=expected_ms + 200;
            assert!(range.contains(&waited), "stopped after {waited} ms");
            return;
        }
    }
    panic!("the run was not stopped");
}

/// A replica whose runs have all fallen silent must get no further run until one of them goes on.
#[test]
fn silent_replica() {
    let mut planner = Planner::default();
    planner.set_replica("r", state(1, false));
    planner.plan(at(0));
    add_items(&mut planner, "b", 2, 10);
    assert_eq!(planner.plan(at(START_MS)).len(), 2);
    for event in 1..=10 {
        for work in 1..=2 {
            planner.on_event(WorkId(work), event, "text", 1, at(START_MS + event * 40));
        }
        planner.plan(at(START_MS + event * 40));
    }
    planner.plan(at(START_MS + 800));
    add_items(&mut planner, "c", 1, 10);
    assert_eq!(planner.plan(at(START_MS + 820)), []);
    planner.on_event(WorkId(1), 11, "text", 1, at(START_MS + 840));
    assert_eq!(planner.plan(at(START_MS + 840)).len(), 1);
}
