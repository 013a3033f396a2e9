use std::net::SocketAddr;

/// What a replica says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The service that it belongs to.
    pub service: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: String,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: Stage,
    /// The weights that it holds.
    pub models: Vec<Weights>,
    /// The civil time of its start, which tells two runs under one id apart.
    pub born_ms: i64,
}

impl Entry {
    /// Returns whether the replica takes new work.
    pub fn is_ready(&self) -> bool {
        self.stage == Stage::Ready
    }

    /// Returns the version of a model's weights.
    pub fn version(&self, model: &str) -> Option<u64> {
        let mut models = self.models.iter();
        models.find(|one| one.model == model).map(|one| one.version)
    }
}

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
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
