use crate::Manifest;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// The kind of a [`Change`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// The entry was added.
    Added,
    /// The entry was removed.
    Removed,
    /// The value of a field of the entry changed. Both values are JSON.
    Changed {
        /// The name of the field.
        field: String,
        /// The old value; empty if the field was absent.
        old: String,
        /// The new value; empty if the field is absent.
        new: String,
    },
}

/// One difference between two manifests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The section, such as `engines`.
    pub section: &'static str,
    /// The name of the entry in its section.
    pub name: String,
    /// The kind of the change.
    pub kind: ChangeKind,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (section, name) = (self.section, &self.name);
        match &self.kind {
            ChangeKind::Added => write!(f, "+ {section} {name}"),
            ChangeKind::Removed => write!(f, "- {section} {name}"),
            ChangeKind::Changed { field, old, new } => {
                write!(f, "~ {section} {name}: {field}: {old} -> {new}")
            }
        }
    }
}

/// Returns the differences between two manifests, ordered by section and name.
///
/// The order of the entries within a section is not significant and is ignored.
///
/// # Examples
///
/// ```
/// # let text = r#"{"entry_vms": [{"vm": "entry-1", "region": "ljubljana", "centre": "lj-a",
/// #   "address": "127.0.0.1:8001", "peer": "127.0.0.1:9001"}]}"#;
/// let old = dogwoodlb_manifest::from_str(text)?;
/// let new = dogwoodlb_manifest::from_str(&text.replace(":8001", ":8002"))?;
/// let changes = dogwoodlb_manifest::diff(&old, &new);
/// assert_eq!(
///     changes[0].to_string(),
///     r#"~ entry_vms entry-1: address: "127.0.0.1:8001" -> "127.0.0.1:8002""#,
/// );
/// # Ok::<(), dogwoodlb_manifest::Error>(())
/// ```
pub fn diff(old: &Manifest, new: &Manifest) -> Vec<Change> {
    let sections = [
        ("entry_vms", "vm"),
        ("models", "model"),
        ("trainers", "trainer"),
        ("callers", "caller"),
        ("quiet_hours", "name"),
        ("engines", "upstream"),
        ("services", "service"),
    ];
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let mut changes = Vec::new();
    for (section, key) in sections {
        let (old, new) = (
            entries_by_name(&old[section], key),
            entries_by_name(&new[section], key),
        );
        let names: std::collections::BTreeSet<_> = old.keys().chain(new.keys()).collect();
        for name in names {
            let kinds = match (old.get(name), new.get(name)) {
                (Some(old), Some(new)) => changed_fields(old, new),
                (None, _) => vec![ChangeKind::Added],
                (_, None) => vec![ChangeKind::Removed],
            };
            changes.extend(kinds.into_iter().map(|kind| Change {
                section,
                name: (*name).to_owned(),
                kind,
            }));
        }
    }
    changes
}

fn entries_by_name<'a>(section: &'a Value, key: &str) -> BTreeMap<&'a str, &'a Value> {
    let list = section.as_array().map(Vec::as_slice).unwrap_or_default();
    let named = list
        .iter()
        .filter_map(|entry| Some((entry[key].as_str()?, entry)));
    named.collect()
}

fn changed_fields(old: &Value, new: &Value) -> Vec<ChangeKind> {
    let keys = |value: &Value| -> Vec<String> {
        let object = value.as_object();
        object
            .map(|object| object.keys().cloned().collect())
            .unwrap_or_default()
    };
    let mut names = keys(old);
    names.extend(keys(new));
    names.sort_unstable();
    names.dedup();
    let to_json = |value: Option<&Value>| value.map(ToString::to_string).unwrap_or_default();
    let changed = names
        .into_iter()
        .filter(|name| old.get(name) != new.get(name));
    changed
        .map(|field| ChangeKind::Changed {
            old: to_json(old.get(&field)),
            new: to_json(new.get(&field)),
            field,
        })
        .collect()
}
