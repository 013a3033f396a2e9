//! Guards against giving work to a replica that has said itself that it is leaving, and against
//! holding what one incarnation said against the next.

use dogwoodlb_directory::{Directory, Entry, Stage, DEPARTURE_TTL};
use dogwoodlb_types::Instant;
use std::time::Duration;

const BORN_MS: i64 = 7;

fn entry(born_ms: i64) -> Entry {
    Entry {
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        centre: "a".into(),
        slots: 4,
        stage: Stage::Ready,
        models: Vec::new(),
        born_ms,
        is_spot: false,
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn leaving_directory() -> Directory {
    let mut directory = Directory::default();
    directory.on_contact(at(0));
    directory.put("r", 1, entry(BORN_MS), at(0));
    assert!(directory.accepts_work("r", BORN_MS));
    assert!(directory.mark_leaving("r", BORN_MS, at(10)));
    directory
}

#[test]
fn leaves_choice() {
    let mut directory = leaving_directory();
    let revision = directory.revision();
    assert_eq!(directory.ready_replicas("s").count(), 0);
    assert_eq!(directory.replicas("s").count(), 1);
    assert!(!directory.accepts_work("r", BORN_MS));
    assert!(!directory.mark_leaving("r", BORN_MS, at(20)));
    assert_eq!(directory.revision(), revision);
}

#[test]
fn later_entry() {
    let mut directory = leaving_directory();
    let mut changed = entry(BORN_MS);
    changed.slots += 1;
    directory.put("r", 2, changed, at(20));
    assert_eq!(directory.ready_replicas("s").count(), 0);
}

#[test]
fn entry_returns() {
    let mut directory = leaving_directory();
    directory.on_contact(at(500));
    assert!(directory.remove("r", 2, at(500)));
    let back = at(500) + DEPARTURE_TTL - Duration::from_millis(500);
    directory.expire(back);
    directory.put("r", 3, entry(BORN_MS), back);
    assert_eq!(directory.ready_replicas("s").count(), 0);
    directory.expire(back);
    directory.expire(back + DEPARTURE_TTL - Duration::from_millis(1));
    assert!(!directory.accepts_work("r", BORN_MS));
}

#[test]
fn next_incarnation() {
    let mut directory = leaving_directory();
    directory.put("r", 2, entry(BORN_MS + 1), at(20));
    assert!(directory.accepts_work("r", BORN_MS + 1));
    assert!(!directory.accepts_work("r", BORN_MS));
    assert_eq!(directory.ready_replicas("s").count(), 1);
    // A late response of the incarnation before says nothing of this one.
    directory.mark_leaving("r", BORN_MS, at(30));
    assert!(directory.accepts_work("r", BORN_MS + 1));
}

#[test]
fn announced_early() {
    let mut directory = Directory::default();
    directory.mark_leaving("r", BORN_MS, at(0));
    directory.put("r", 1, entry(BORN_MS), at(10));
    assert!(!directory.accepts_work("r", BORN_MS));
}

#[test]
fn forgotten_in_time() {
    let mut directory = leaving_directory();
    directory.on_contact(at(500));
    directory.remove("r", 2, at(500));
    directory.expire(at(500));
    let late = at(500) + DEPARTURE_TTL;
    directory.expire(late);
    directory.put("r", 3, entry(BORN_MS), late);
    assert!(directory.accepts_work("r", BORN_MS));
}

/// Guards against counting a pause of the process, in which the entry was present, as absence.
#[test]
fn paused_process() {
    let mut directory = leaving_directory();
    directory.expire(at(20));
    let resumed = at(20) + 2 * DEPARTURE_TTL;
    directory.on_contact(resumed);
    directory.invalidate("r", 2);
    directory.expire(resumed);
    directory.put("r", 3, entry(BORN_MS), resumed);
    assert!(!directory.accepts_work("r", BORN_MS));
}
