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
/// Several sources report one row: the change feed, reads, and the node's own writes. They can
/// overtake each other, so a value or a removal that is older than the known value is ignored.
/// Removals are not remembered.
#[derive(Clone, Debug)]
pub struct VersionedMap<T>(BTreeMap<String, Versioned<T>>);

impl<T> Default for VersionedMap<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T> VersionedMap<T> {
    /// Returns a value with its version.
    pub fn get(&self, name: &str) -> Option<&Versioned<T>> {
        self.0.get(name)
    }

    /// Returns the values in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Versioned<T>)> {
        self.0.iter()
    }

    /// Stores a value unless one of the same or a newer version is present.
    pub fn put(&mut self, name: &str, row_version: u64, value: T) {
        let known = self.0.get(name);
        if known.is_none_or(|known| known.row_version < row_version) {
            let versioned = Versioned { row_version, value };
            self.0.insert(name.to_owned(), versioned);
        }
    }

    /// Removes a value whose row was removed at a version, unless it is newer.
    pub fn remove(&mut self, name: &str, row_version: u64) {
        let known = self.0.get(name);
        if known.is_some_and(|known| known.row_version <= row_version) {
            self.0.remove(name);
        }
    }
}
