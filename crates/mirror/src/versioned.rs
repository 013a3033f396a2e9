use std::collections::BTreeMap;

/// A value with the version of its row in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// The version of the row.
    pub row_version: u64,
    /// The value.
    pub value: T,
}

/// The newest known values of rows, by name.
///
/// Several sources report one row: the change feed, reads, other nodes, and the node's own writes.
/// They can overtake each other, so each report states the version of the table that it shows. What
/// is older than the known value, or than the known removal, is ignored.
///
/// Removals need no lasting memory: up to the version of [`advance`](Self::advance) all changes are
/// known, so that a name without a value was removed by then, or never existed. Only later removals
/// are kept one by one.
///
/// # Examples
///
/// ```
/// use dogwoodlb_mirror::VersionedMap;
///
/// let mut values = VersionedMap::default();
/// assert!(values.put("a", 3, "old", 3));
/// assert!(values.remove("a", 5));
/// assert!(!values.put("a", 3, "old", 4), "a read from before the removal");
/// values.advance(8);
/// assert!(!values.put("a", 3, "old", 4));
/// assert!(values.put("a", 9, "new", 9));
/// ```
#[derive(Clone, Debug)]
pub struct VersionedMap<T> {
    values: BTreeMap<String, Versioned<T>>,
    /// The versions of removals later than `complete_to`.
    removals: BTreeMap<String, u64>,
    /// All changes up to this version are known.
    complete_to: u64,
}

impl<T> Default for VersionedMap<T> {
    fn default() -> Self {
        Self {
            values: BTreeMap::new(),
            removals: BTreeMap::new(),
            complete_to: 0,
        }
    }
}

impl<T> VersionedMap<T> {
    /// Returns a value with its version.
    pub fn get(&self, name: &str) -> Option<&Versioned<T>> {
        self.values.get(name)
    }

    /// Returns a value to change it, for instance to free its memory. Its version stays.
    pub fn value_mut(&mut self, name: &str) -> Option<&mut T> {
        self.values.get_mut(name).map(|known| &mut known.value)
    }

    /// Returns the values in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Versioned<T>)> {
        self.values.iter()
    }

    /// Returns the version up to which all changes are known.
    pub fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Stores a value that its source shows as of a version of the table. Returns false, and changes
    /// nothing, if that value or a later state of the row is known.
    pub fn put(&mut self, name: &str, row_version: u64, value: T, as_of: u64) -> bool {
        let is_known = match self.get(name) {
            Some(known) => row_version <= known.row_version,
            // A source that is as recent as the known removal shows the row as it is.
            None => as_of.max(row_version) < self.removed_at(name),
        };
        if is_known {
            return false;
        }
        self.removals.remove(name);
        let versioned = Versioned { row_version, value };
        self.values.insert(name.to_owned(), versioned);
        true
    }

    /// Records that a row was removed at a version. Returns false, and changes nothing, if this or a
    /// later state of the row is known.
    pub fn remove(&mut self, name: &str, version: u64) -> bool {
        let known_version = match self.get(name) {
            Some(known) => known.row_version,
            None => self.removed_at(name),
        };
        if version <= known_version {
            return false;
        }
        self.values.remove(name);
        if version > self.complete_to {
            self.removals.insert(name.to_owned(), version);
        }
        true
    }

    /// Removes the values that a complete read as of a version doesn't show, and returns their names.
    pub fn remove_absent(&mut self, as_of: u64, is_present: impl Fn(&str) -> bool) -> Vec<String> {
        let values = self.values.iter();
        let absent =
            values.filter(|(name, known)| known.row_version < as_of && !is_present(name.as_str()));
        let absent: Vec<String> = absent.map(|(name, _)| name.clone()).collect();
        for name in &absent {
            self.remove(name, as_of);
        }
        absent
    }

    /// Records that all changes up to a version have been reported.
    pub fn advance(&mut self, version: u64) {
        self.complete_to = self.complete_to.max(version);
        let complete_to = self.complete_to;
        self.removals.retain(|_, removed| *removed > complete_to);
    }

    /// Returns the version by which a name without a value is known to have none.
    fn removed_at(&self, name: &str) -> u64 {
        let removed = self.removals.get(name).copied();
        removed.unwrap_or(0).max(self.complete_to)
    }
}
