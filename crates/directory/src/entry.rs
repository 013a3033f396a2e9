use std::net::SocketAddr;

/// The entry that a replica registers in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The service that it belongs to.
    pub service: String,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: String,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub stage: Stage,
    /// The weights that it has loaded.
    pub models: Vec<Weights>,
    /// The wall-clock time of its start, which distinguishes processes with the same id.
    pub born_ms: i64,
    /// Whether the provider may take it away at short notice.
    pub is_spot: bool,
}

impl Entry {
    /// Returns the loaded weight version of a model.
    pub fn version(&self, model: &str) -> Option<u64> {
        let mut models = self.models.iter();
        models.find(|one| one.model == model).map(|one| one.version)
    }
}

/// Whether a replica accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It accepts new work.
    Ready,
    /// It finishes its current work and then shuts down.
    Draining,
}

/// The weights of one model on a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}
