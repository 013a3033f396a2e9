/// A service: replicas that do the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The name.
    pub name: String,
    /// The connections that one replica takes from all callers together.
    pub max_connections: u32,
    /// What is known of its model engines, if it runs models.
    pub engine: Option<Engine>,
}

/// What the replicas of a service with models are like.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// The requests that one replica runs at a time.
    pub slots: u32,
    /// The tokens that fit into one replica's memory.
    pub memory_tokens: u64,
    /// The tokens that one event of a stream holds.
    pub event_tokens: u64,
    /// The models.
    pub models: Vec<String>,
}
