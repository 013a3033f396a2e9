//! Guards against a text that counts as complete although the end of its stream proves nothing: a
//! faulty replica answered without an event.

#[path = "support/single_item.rs"]
mod single_item;

use dogwoodlb_batch::{Action, ItemText, Planner, Progress, Record, RunEnd, WorkId};
use dogwoodlb_types::Instant;
use rstest::rstest;
use single_item::{add_batch, state};
use std::time::Duration;

const WORK: WorkId = WorkId(1);
const MIN_VERSION: u64 = 2;
/// Longer than the longest backoff of a replica.
const PAUSE: Duration = Duration::from_secs(5);

/// A planner with one item, and the current time.
struct Run {
    planner: Planner,
    now: Instant,
}

impl Run {
    fn new(replicas: &[&str]) -> Self {
        let mut planner = Planner::default();
        for replica in replicas {
            planner.set_replica(replica, state(MIN_VERSION));
        }
        add_batch(&mut planner, MIN_VERSION, false);
        let now = Instant::default();
        Self { planner, now }
    }

    /// Starts the item on the only replica that is not reloading weights.
    fn start_on(&mut self, replica: &str, others: &[&str]) {
        for other in others {
            let mut reloading = state(MIN_VERSION);
            reloading.reloading.push("m".into());
            self.planner.set_replica(other, reloading);
        }
        self.planner.set_replica(replica, state(MIN_VERSION));
        self.now = self.now + PAUSE;
        let start = Action::Start {
            work: WORK,
            replica: replica.to_owned(),
        };
        assert_eq!(self.planner.plan(self.now), [start]);
    }

    fn receive(&mut self, events: std::ops::RangeInclusive<u64>) {
        for event in events {
            assert!(self
                .planner
                .on_event(WORK, event, "x", MIN_VERSION, self.now));
        }
    }

    /// Ends the run and returns whether the text is complete.
    fn end(&mut self, end: RunEnd) -> bool {
        assert!(!self.planner.on_run_end(WORK, end, self.now));
        self.planner.is_generated(WORK)
    }

    fn last_event(&self) -> u64 {
        self.planner.progress(WORK).unwrap().last_event
    }
}

#[test]
fn whole_stream() {
    let mut run = Run::new(&["r"]);
    run.start_on("r", &[]);
    run.receive(1..=3);
    assert!(run.end(RunEnd::Completed));
}

/// An item generates at least one event, whatever the number of replicas that respond without one.
#[test]
fn no_event_at_all() {
    let mut run = Run::new(&["r", "s"]);
    for (replica, other) in [("r", "s"), ("s", "r"), ("r", "s")] {
        run.start_on(replica, &[other]);
        assert!(!run.end(RunEnd::Completed), "{replica}");
    }
}

/// The end of a resumed stream without an event counts only if another replica confirms it.
#[test]
fn faulty_replica_twice() {
    let mut run = Run::new(&["faulty", "sound"]);
    run.start_on("sound", &["faulty"]);
    run.receive(1..=2);
    assert!(!run.end(RunEnd::Interrupted));
    for _ in 0..2 {
        run.start_on("faulty", &["sound"]);
        assert!(!run.end(RunEnd::Completed));
    }
    run.start_on("sound", &["faulty"]);
    // The second report removes the last event, and the replica resumes after the one before it.
    run.receive(2..=4);
    assert!(run.end(RunEnd::Completed));
    assert_eq!(run.last_event(), 4);
}

/// An end that was reported for a shorter text says nothing about the present one.
#[test]
fn text_grew_after_report() {
    let mut run = Run::new(&["faulty", "sound"]);
    run.start_on("sound", &["faulty"]);
    run.receive(1..=2);
    assert!(!run.end(RunEnd::Interrupted));
    run.start_on("faulty", &["sound"]);
    assert!(!run.end(RunEnd::Completed));
    run.start_on("sound", &["faulty"]);
    run.receive(3..=3);
    assert!(!run.end(RunEnd::Interrupted));
    run.start_on("sound", &["faulty"]);
    assert!(!run.end(RunEnd::Completed));
}

/// A stream that broke off after its last event would otherwise be resumed for ever.
#[rstest]
#[case::other_replica(&["r", "s"])]
#[case::only_replica(&["r", "r"])]
fn confirmed_end(#[case] replicas: &[&str]) {
    let mut run = Run::new(replicas);
    let others = |replica: &str| -> Vec<&str> {
        let others = replicas.iter().copied();
        others.filter(|other| *other != replica).collect()
    };
    run.start_on(replicas[0], &others(replicas[0]));
    run.receive(1..=2);
    assert!(!run.end(RunEnd::Interrupted));
    run.start_on(replicas[0], &others(replicas[0]));
    assert!(!run.end(RunEnd::Completed));
    run.start_on(replicas[1], &others(replicas[1]));
    assert!(run.end(RunEnd::Completed));
    assert_eq!(run.last_event(), 2);
}

/// A replica whose weights are too old for the item never confirms the end of its text.
#[test]
fn outdated_replica() {
    let mut run = Run::new(&["r"]);
    run.planner.set_replica("old", state(MIN_VERSION - 1));
    run.start_on("r", &[]);
    run.receive(1..=2);
    assert!(!run.end(RunEnd::Interrupted));
    run.start_on("r", &[]);
    assert!(!run.end(RunEnd::Completed));
    run.start_on("r", &[]);
    assert!(run.end(RunEnd::Completed));
}

/// Runs the item where the planner starts it until its text is complete, and returns how long that
/// took. Replica `sound` sends the events up to `last_event`. Each run on `broken` is interrupted, or
/// never ends if that replica is silent.
fn time_to_confirm(run: &mut Run, last_event: u64, is_silent: bool) -> Option<Duration> {
    const ROUND: Duration = Duration::from_millis(40);
    const LIFETIME: Duration = Duration::from_secs(60);
    let began = run.now;
    while run.now.saturating_since(began) < LIFETIME {
        run.now = run.now + ROUND;
        for action in run.planner.plan(run.now) {
            let end = match action {
                Action::Start { replica, .. } if replica == "sound" => {
                    run.receive(run.last_event() + 1..=last_event);
                    RunEnd::Completed
                }
                Action::Start { .. } if is_silent => continue,
                Action::Start { .. } => RunEnd::Interrupted,
                Action::Stop { .. } => RunEnd::Stopped,
            };
            if run.end(end) {
                return Some(run.now.saturating_since(began));
            }
        }
    }
    None
}

/// An item whose text was complete waited for the confirmation of a replica that fails every run,
/// until that replica was removed or the lifetime of the item was over.
#[rstest]
#[case::interrupting(false)]
#[case::silent(true)]
fn broken_second_replica(#[case] is_silent: bool) {
    const MAX_DELAY: Duration = Duration::from_secs(10);
    let mut run = Run::new(&["broken", "sound"]);
    run.start_on("sound", &["broken"]);
    run.receive(1..=2);
    assert!(!run.end(RunEnd::Interrupted));
    run.planner.set_replica("broken", state(MIN_VERSION));
    let delay = time_to_confirm(&mut run, 2, is_silent);
    assert!(delay.is_some_and(|delay| delay < MAX_DELAY), "{delay:?}");
    let progress = run.planner.progress(WORK).unwrap();
    assert_eq!((progress.last_event, progress.text.as_str()), (2, "x\nx"));
    assert_eq!(progress.versions, [MIN_VERSION]);
}

/// A faulty replica that reports the end any number of times must not complete a text, and costs it
/// one event at most.
#[test]
fn faulty_replica_repeatedly() {
    let mut run = Run::new(&["faulty", "sound"]);
    run.start_on("sound", &["faulty"]);
    run.receive(1..=3);
    assert!(!run.end(RunEnd::Interrupted));
    for _ in 0..12 {
        run.start_on("faulty", &["sound"]);
        assert!(!run.end(RunEnd::Completed));
    }
    assert_eq!(run.last_event(), 2);
    run.start_on("sound", &["faulty"]);
    run.receive(3..=4);
    assert!(run.end(RunEnd::Completed));
}

/// Reports of the end of a text must not be confirmed by a replica that broke off without an event
/// after the last event was removed: it would complete the text without that event.
#[test]
fn report_before_removal() {
    let mut run = Run::new(&["broken", "sound"]);
    run.start_on("sound", &["broken"]);
    run.receive(1..=2);
    assert!(!run.end(RunEnd::Interrupted));
    for _ in 0..2 {
        run.start_on("sound", &["broken"]);
        assert!(!run.end(RunEnd::Completed));
    }
    run.start_on("broken", &["sound"]);
    assert!(!run.end(RunEnd::Completed));
    run.start_on("sound", &["broken"]);
    run.receive(2..=2);
    assert!(run.end(RunEnd::Completed));
    assert_eq!(run.last_event(), 2);
}

/// The weight version of a removed event must not stay in the versions of the text.
#[test]
fn version_of_removed_event() {
    let mut progress = Progress::default();
    assert!(progress.push(1, "a", 3) && progress.push(2, "b", 4));
    progress.pop();
    assert_eq!((progress.last_event, progress.text.as_str()), (1, "a"));
    assert_eq!(progress.versions, [3]);
    assert!(progress.push(2, "c", 5));
    assert_eq!(progress.versions, [3, 5]);
}

/// The last event of a text from another node can't be told from the others, so none may stay.
#[test]
fn removed_event_of_other_node() {
    let mut progress = Progress::default();
    assert!(progress.push(1, "a", 3) && progress.push(2, "b", 3));
    let text = ItemText {
        progress,
        ..ItemText::default()
    };
    let mut text = ItemText::from_slice(&text.to_vec().unwrap()).unwrap();
    text.progress.pop();
    assert_eq!(text.progress, Progress::default());
}
