use std::collections::HashMap;
use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

/// An organisation, which owns the requests and the batches that are sent with one of its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// The name, which replicas receive with each request.
    pub name: String,
    /// The priority of its requests, 0 being the highest. It replaces the priority of the route.
    pub priority: Option<u32>,
}

/// A key with which callers prove that they belong to an organisation. Its debug output hides it.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct ApiKey(String);

impl ApiKey {
    /// Creates a key.
    pub fn new(key: &str) -> Self {
        Self(key.to_owned())
    }
}

impl Debug for ApiKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// The organisations of a configuration, by key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Organisations {
    by_key: HashMap<ApiKey, Arc<Organisation>>,
    all: Vec<Arc<Organisation>>,
}

impl Organisations {
    /// Creates the organisations with their keys. A key listed twice belongs to the first
    /// organisation that lists it.
    pub fn new(organisations: impl IntoIterator<Item = (Organisation, Vec<ApiKey>)>) -> Self {
        let mut by_key = HashMap::new();
        let mut all = Vec::new();
        for (organisation, keys) in organisations {
            let organisation = Arc::new(organisation);
            all.push(organisation.clone());
            for key in keys {
                by_key.entry(key).or_insert_with(|| organisation.clone());
            }
        }
        Self { by_key, all }
    }

    /// Returns all organisations, also those without keys.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.all.iter().map(|organisation| &**organisation)
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the organisation that holds a key.
    pub fn holder(&self, key: &ApiKey) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }
}
