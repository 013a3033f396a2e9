/// A service, which is a set of interchangeable replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The name.
    pub name: String,
    /// The maximum number of connections to one replica, over all callers.
    pub max_connections: u32,
    /// The properties of its model engines, if it runs models.
    pub engine: Option<Engine>,
}

/// The properties of the replicas of a service that runs models.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// The number of requests that one replica runs concurrently.
    pub slots: u32,
    /// The capacity of the KV cache of one replica in tokens.
    pub kv_capacity_tokens: u64,
    /// The number of tokens per event of a stream.
    pub event_tokens: u64,
    /// The models.
    pub models: Vec<String>,
}
