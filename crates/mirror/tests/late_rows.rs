//! Guards against a copy that reverts to older rows or misses the removal of a row.

use dogwoodlb_external::store::Row;
use dogwoodlb_mirror::{Mirror, NextRequest, VersionedMap};

fn row(key: &str, version: u64) -> Row {
    Row {
        key: key.into(),
        version,
        ..Row::default()
    }
}

fn keys(mirror: &Mirror) -> Vec<&str> {
    mirror.rows().map(|row| row.key.as_str()).collect()
}

#[test]
fn row_missing_from_full_read() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![row("a", 1), row("b", 2)], 5);
    let changed = mirror.replace(vec![row("b", 2)], 9);
    assert_eq!(changed.len(), 1);
    assert!(changed[0].removed && changed[0].key == "a");
    assert_eq!(keys(&mirror), ["b"]);
}

#[test]
fn older_full_read_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![row("a", 7)], 8);
    assert!(mirror
        .replace(vec![row("a", 3), row("gone", 2)], 6)
        .is_empty());
    assert_eq!(keys(&mirror), ["a"]);
    assert_eq!(mirror.version(), 8);
}

#[test]
fn removal_in_change_feed() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![row("a", 7)], 8);
    let removal = Row {
        removed: true,
        ..row("a", 9)
    };
    assert_eq!(mirror.apply(vec![removal.clone()], 9), [removal]);
    assert!(keys(&mirror).is_empty());
    assert_eq!(mirror.next_request(), NextRequest::Watch(9));
}

#[test]
fn stale_copy_is_read_again() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![row("a", 7)], 8);
    mirror.mark_stale();
    assert_eq!(mirror.next_request(), NextRequest::Read);
    assert_eq!(keys(&mirror), ["a"], "known rows remain available");
}

/// Guards against a linear search for each known row in a full read, which elapsed seconds with
/// several thousand rows.
#[test]
fn many_rows() {
    let rows = |version| -> Vec<Row> {
        let row = |number| Row {
            key: format!("a-key-of-some-length-{number:05}"),
            version,
            ..Row::default()
        };
        (0..20_000).map(row).collect()
    };
    let mut mirror = Mirror::default();
    mirror.replace(rows(1), 1);
    let start = std::time::Instant::now();
    assert_eq!(mirror.replace(rows(2), 2).len(), 20_000);
    let elapsed = start.elapsed();
    assert!(elapsed < std::time::Duration::from_secs(2), "{elapsed:?}");
}

/// A row whose value was dropped isn't reported again, but its next version is.
#[test]
fn cleared_value() {
    let odd = |version| Row {
        value: vec![7; 60_000],
        ..row("a", version)
    };
    let mut mirror = Mirror::default();
    mirror.replace(vec![odd(4)], 5);
    mirror.clear_value("a");
    mirror.clear_value("unknown");
    assert!(mirror.rows().all(|row| row.value.is_empty()));
    assert!(mirror.replace(vec![odd(4)], 6).is_empty());
    assert_eq!(mirror.apply(vec![odd(7)], 7), [odd(7)]);
}

/// A removal that was reported after the row had been written again dropped the new value.
#[test]
fn late_removal() {
    let mut values = VersionedMap::default();
    values.put("a", 3, "old", 3);
    values.put("a", 6, "new", 6);
    values.remove("a", 5);
    assert_eq!(values.get("a").map(|known| known.value), Some("new"));
    values.remove("a", 7);
    assert_eq!(values.get("a"), None);
}

/// A value that was read before a later write must not replace the written one.
#[test]
fn late_value() {
    let mut values = VersionedMap::default();
    values.put("a", 6, "new", 6);
    values.put("a", 3, "old", 5);
    assert_eq!(values.get("a").map(|known| known.value), Some("new"));
}

/// A removed replica came back: the response to a watch was held up, and a copy from another node
/// that showed the removal arrived before it. See docs/incidents/returned-replica.md.
#[test]
fn watch_overtaken_by_copy() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![row("gone", 3)], 4);
    mirror.replace(Vec::new(), 9);
    assert!(mirror.apply(vec![row("gone", 6)], 6).is_empty());
    assert!(keys(&mirror).is_empty());
    assert_eq!(mirror.version(), 9);
}

/// A value that was read before its removal came back in memory, where no change removed it again.
#[test]
fn late_value_of_removed_row() {
    let mut values = VersionedMap::default();
    values.put("a", 3, "old", 3);
    values.remove("a", 7);
    assert!(!values.put("a", 3, "old", 6));
    values.advance(9);
    assert!(!values.put("a", 3, "old", 8));
    assert!(values.put("a", 10, "new", 10));
}

/// A value that the node had written itself stayed for good if the row was removed before the copy of
/// the table had shown it.
#[test]
fn removal_of_unknown_row() {
    let removal = Row {
        removed: true,
        ..row("a", 9)
    };
    let mut mirror = Mirror::default();
    mirror.replace(Vec::new(), 4);
    let changed = mirror.apply(vec![removal.clone()], 9);
    assert!(changed.len() == 1 && changed[0].removed && changed[0].key == "a");
    assert!(mirror.apply(vec![removal], 9).is_empty());
    let mut values = VersionedMap::default();
    values.put("a", 5, "own", 5);
    values.put("b", 9, "own", 9);
    assert_eq!(values.remove_absent(8, |_| false), ["a"]);
    assert!(values.get("b").is_some(), "written after the read");
}
