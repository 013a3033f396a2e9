//! Guards against a joint manifest that permits something one of its two manifests does not.

use dogwoodlb_manifest::{diff, from_str, joint, Manifest};
use dogwoodlb_types::{id, Class};

const FULL: &str = include_str!("data/full.json");

fn edit(edits: &[(&str, &str)]) -> Manifest {
    let text = edits.iter().fold(FULL.to_owned(), |text, (old, new)| {
        assert!(text.contains(old), "{old}");
        text.replace(old, new)
    });
    from_str(&text).unwrap()
}

#[test]
fn joint_with_itself() {
    let full = edit(&[]);
    assert_eq!(joint(&full, &full), full);
}

#[test]
fn common_permissions() {
    let old = edit(&[("\"staleness_bound\": 2", "\"staleness_bound\": 5")]);
    let new = edit(&[
        ("\"idle_weight\": 0.8", "\"idle_weight\": 0.3"),
        (
            "\"models\": [\"scorer\", \"parts\"], \"services\"",
            "\"models\": [\"parts\"], \"services\"",
        ),
        ("\"class\": \"customer\"", "\"class\": \"background\""),
        ("\"name\": \"night\"", "\"name\": \"early\""),
        ("\"path\": \"/orders\"", "\"path\": \"/bills\""),
        (
            "\"checks_fencing\": true",
            "\"checks_fencing\": false, \"leaving\": true",
        ),
        ("10.0.1.2:7001", "10.0.1.9:7001"),
        ("\"version\": 4", "\"version\": 5"),
        ("\"vm\": \"entry-3\"", "\"vm\": \"entry-9\""),
    ]);
    for joint in [joint(&old, &new), joint(&new, &old)] {
        assert_eq!(joint.entry_vms.len(), 2);
        assert_eq!(joint.models[1].version, id::Version(4));
        assert_eq!(joint.trainers[0].staleness_bound, 2);
        assert_eq!(joint.trainers[0].idle_weight, 0.3);
        assert_eq!(joint.callers[0].models, ["parts".parse().unwrap()]);
        assert_eq!(joint.callers[0].class, Class::Background);
        assert_eq!(joint.quiet_hours.len(), 2);
        assert_eq!(joint.engines.len(), 1);
        assert!(joint.engines[0].leaving && !joint.engines[0].checks_fencing);
        assert_eq!(joint.services[0].non_idempotent.len(), 2);
    }
}

/// Guards against references to a model or scorer that only one of the manifests defines.
#[test]
fn undefined_references_are_removed() {
    let old = edit(&[]);
    let new = edit(&[
        ("\"service\": \"judge\"", "\"service\": \"jury\""),
        ("\"scorer\": \"judge\"", "\"scorer\": \"jury\""),
        ("\"model\": \"parts\"", "\"model\": \"bits\""),
        ("\"parts\"]", "\"bits\"]"),
    ]);
    let joint = joint(&old, &new);
    assert!(joint.trainers.is_empty());
    assert_eq!(joint.callers[0].models, ["scorer".parse().unwrap()]);
    assert_eq!(joint.engines[1].models, ["scorer".parse().unwrap()]);
    assert_eq!((joint.services.len(), joint.models.len()), (1, 1));
}

/// Guards against changes that are missing from the diff.
#[test]
fn diff_lists_all_changes() {
    let old = edit(&[]);
    let new = edit(&[
        ("\"vm\": \"entry-3\"", "\"vm\": \"entry-9\""),
        ("\"staleness_bound\": 2", "\"staleness_bound\": 3"),
        (", \"leaving\": true", ""),
    ]);
    let changes: Vec<_> = diff(&old, &new).iter().map(ToString::to_string).collect();
    let expected = [
        "- entry_vms entry-3",
        "+ entry_vms entry-9",
        "~ trainers weld: staleness_bound: 2 -> 3",
        "~ engines engine-2: leaving: true -> ",
    ];
    assert_eq!(changes, expected);
    assert_eq!(diff(&new, &new), []);
}
