use crate::Scaling;

/// A service, which is a set of interchangeable replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The name.
    pub name: String,
    /// The maximum number of connections to one replica, over all callers; 0 if unknown.
    pub max_connections: u32,
    /// The properties of its model engines, if it runs models.
    pub engine: Option<Engine>,
    /// How many replicas may be ordered; `None` if their number is fixed.
    pub scaling: Option<Scaling>,
}

impl Service {
    /// Returns how many of the slots that a replica announces can be in use at once. Each request
    /// takes a connection.
    ///
    /// # Examples
    ///
    /// ```
    /// use dogwoodlb_config::Service;
    ///
    /// let service = Service { max_connections: 40, ..Service::default() };
    /// assert_eq!(service.usable_slots(12), 12);
    /// assert_eq!(service.usable_slots(u32::MAX), 40);
    /// assert_eq!(Service::default().usable_slots(12), 12);
    /// ```
    pub fn usable_slots(&self, announced: u32) -> u32 {
        match self.max_connections {
            0 => announced,
            limit => announced.min(limit),
        }
    }
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
