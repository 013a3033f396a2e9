use std::time::Duration;

/// The kind of requests of a route, which determines whether they can be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests are idempotent and may run more than once.
    Idempotent,
    /// Requests are not idempotent and must run at most once.
    NonIdempotent,
    /// Requests submit batches, whose items may run more than once.
    Rollout,
}

/// A rule that sends requests of a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host of the requests.
    pub host: String,
    /// The path prefix; it starts and ends with a slash.
    pub prefix: String,
    /// The kind of requests.
    pub kind: RouteKind,
    /// The time within which a request is answered, if limited.
    pub timeout: Option<Duration>,
    /// The latency objective, which bounds the waiting time. Until there are measurements, an
    /// idempotent call without a response for this long is sent to another replica.
    pub latency_target: Duration,
    /// Whether requests need no key, although the configuration has organisations.
    pub is_public: bool,
    /// The priority, 0 being the highest.
    pub priority: u32,
    /// The services and their weights.
    pub traffic_split: Vec<(String, u32)>,
    /// The maximum number of replicas to which one request is sent.
    pub max_attempts: u32,
    /// The time after its submission at which a batch is due.
    pub batch_timeout: Option<Duration>,
    /// The time after its submission at which an item may be abandoned.
    pub item_ttl: Option<Duration>,
    /// Whether all events of an item must come from one weight version.
    pub single_version: bool,
}

impl Route {
    /// Creates a route without services.
    pub fn new(name: &str, host: &str, prefix: &str, kind: RouteKind) -> Self {
        Self {
            name: name.to_owned(),
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            kind,
            timeout: None,
            latency_target: Duration::from_secs(1),
            is_public: false,
            priority: 0,
            traffic_split: Vec::new(),
            max_attempts: 1,
            batch_timeout: None,
            item_ttl: None,
            single_version: false,
        }
    }

    /// Selects the service for a request by weight, given a random number in `0.0..1.0`.
    pub fn select_service(&self, random: f64) -> Option<&str> {
        let total: u32 = self.traffic_split.iter().map(|(_, weight)| weight).sum();
        let mut remaining = random * f64::from(total);
        for (service, weight) in &self.traffic_split {
            remaining -= f64::from(*weight);
            if *weight > 0 && remaining < 0.0 {
                return Some(service);
            }
        }
        let last_with_weight = self
            .traffic_split
            .iter()
            .rev()
            .find(|(_, weight)| *weight > 0);
        last_with_weight.map(|(service, _)| service.as_str())
    }
}
