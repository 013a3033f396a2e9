use std::time::Duration;

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The request may run more than once.
    Safe,
    /// The request may run at most once.
    Unsafe,
    /// The request submits a batch, whose items may run more than once.
    Rollout,
}

/// A rule that sends requests of a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host that the request names.
    pub host: String,
    /// The beginning of the path; it starts and ends with a slash.
    pub prefix: String,
    /// What may be done with a request more than once.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// The latency objective.
    pub target: Duration,
    /// The rank, 0 being the highest.
    pub priority: u32,
    /// The services and their weights.
    pub split: Vec<(String, u32)>,
    /// The most replicas to which one request may be sent.
    pub max_attempts: u32,
    /// The time after its submission at which a batch is due.
    pub batch_timeout: Option<Duration>,
    /// The time after its submission at which an item may be given up.
    pub item_ttl: Option<Duration>,
    /// Whether all events of an item must come from one weight version.
    pub single_version: bool,
}

impl Route {
    /// Creates a route that leads nowhere yet.
    pub fn new(name: &str, host: &str, prefix: &str, kind: Kind) -> Self {
        Self {
            name: name.to_owned(),
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            kind,
            timeout: None,
            target: Duration::from_secs(1),
            priority: 0,
            split: Vec::new(),
            max_attempts: 1,
            batch_timeout: None,
            item_ttl: None,
            single_version: false,
        }
    }

    /// Returns the service for a request, by weight; `draw` is a random number in 0..1.
    pub fn service(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if *weight > 0 && left < 0.0 {
                return Some(service);
            }
        }
        let usable = self.split.iter().rev().find(|(_, weight)| *weight > 0);
        usable.map(|(service, _)| service.as_str())
    }
}
