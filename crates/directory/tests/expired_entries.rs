//! Guards against losing live replicas after an outage of the store, and against keeping
//! replicas that have stopped.

use dogwoodlb_directory::{Directory, Entry, Stage, REREGISTRATION_TIME};
use dogwoodlb_types::Instant;
use std::time::Duration;

fn entry(stage: Stage) -> Entry {
    Entry {
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        centre: "a".into(),
        slots: 4,
        stage,
        models: Vec::new(),
        born_ms: 1,
        is_spot: false,
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn removal_without_outage() {
    let mut directory = Directory::default();
    directory.on_contact(at(0));
    directory.put("r", 1, entry(Stage::Ready), at(0));
    directory.on_contact(at(500));
    assert!(directory.remove("r", 2, at(500)));
    assert_eq!(directory.ready_replicas("s").count(), 0);
}

#[test]
fn expiry_during_outage() {
    let mut directory = Directory::default();
    directory.on_contact(at(0));
    directory.put("back", 1, entry(Stage::Ready), at(0));
    directory.put("gone", 2, entry(Stage::Ready), at(0));
    directory.put("left", 3, entry(Stage::Draining), at(0));
    let recovered = at(5_000);
    directory.on_contact(recovered);
    assert_eq!(directory.replace(Vec::new(), 10, recovered), ["left"]);
    assert_eq!(directory.ready_replicas("s").count(), 2);
    directory.put("back", 11, entry(Stage::Ready), at(6_000));
    let late = recovered + REREGISTRATION_TIME + Duration::from_millis(1);
    assert_eq!(directory.expire(late), ["gone"]);
    assert_eq!(directory.ready_replicas("s").count(), 1);
}

#[test]
fn older_row_is_ignored() {
    let mut directory = Directory::default();
    directory.put("r", 5, entry(Stage::Draining), at(0));
    assert!(!directory.put("r", 4, entry(Stage::Ready), at(0)));
    assert_eq!(directory.ready_replicas("s").count(), 0);
    assert!(!directory.remove("r", 3, at(0)));
    assert_eq!(directory.replicas("s").count(), 1);
}

/// A replica whose entry expired during an outage stayed for good: an entry from before the removal,
/// which arrived late, counted as a new registration.
#[test]
fn late_entry_of_expired_replica() {
    let mut directory = Directory::default();
    directory.on_contact(at(0));
    directory.put("gone", 3, entry(Stage::Ready), at(0));
    let recovered = at(5_000);
    directory.on_contact(recovered);
    assert!(!directory.remove("gone", 9, recovered));
    assert!(!directory.put("gone", 6, entry(Stage::Ready), at(5_100)));
    let late = recovered + REREGISTRATION_TIME + Duration::from_millis(1);
    assert_eq!(directory.expire(late), ["gone"]);
}

/// Guards against a linear search for each known replica in a full read, which elapsed seconds with
/// several thousand replicas.
#[test]
fn many_entries() {
    let rows = || -> Vec<(String, u64, Entry)> {
        let row = |number| (format!("a-replica-{number:05}"), 1, entry(Stage::Ready));
        (0..20_000).map(row).collect()
    };
    let mut directory = Directory::default();
    directory.replace(rows(), 1, at(0));
    let start = std::time::Instant::now();
    assert!(directory.replace(rows(), 2, at(1)).is_empty());
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
}

/// An entry that another writer replaced by one that names no replica is not an expired one: the
/// replica is not kept after an outage of the store.
#[test]
fn invalid_entry_after_outage() {
    let mut directory = Directory::default();
    directory.on_contact(at(0));
    directory.put("r", 5, entry(Stage::Ready), at(0));
    directory.on_failure(at(100));
    assert!(!directory.invalidate("r", 4), "an older row");
    assert!(directory.invalidate("r", 6));
    assert_eq!(directory.ready_replicas("s").count(), 0);
    assert!(!directory.invalidate("r", 7), "no entry is left");
}
