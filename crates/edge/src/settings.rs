//! The settings of a node, in JSON with comments.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The upper limit of the time to live set by `address_ttl_s`. A short one spreads callers over the
/// live nodes, and an address request costs little.
const MAX_ADDRESS_TTL: Duration = Duration::from_secs(2);

/// The settings of a node.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// The name of the node.
    pub node: String,
    /// The region of the node.
    pub region: String,
    /// The data centre of the node.
    pub centre: String,
    /// The listen address for callers.
    pub front: SocketAddr,
    /// The listen address for readiness probes.
    pub ready: SocketAddr,
    /// The listen address of the directory, which tells callers the addresses of the nodes.
    pub directory: SocketAddr,
    /// The listen address for other nodes, over UDP and TCP. The port must be the same on all
    /// nodes.
    pub peer: SocketAddr,
    /// The listen address for metrics.
    pub metrics: SocketAddr,
    /// Addresses of some other nodes. Only the IP address is used, with the port of `peer`.
    pub seeds: Vec<SocketAddr>,
    /// The address of the metadata store.
    pub store: SocketAddr,
    /// The region of each data centre.
    pub centres: BTreeMap<String, String>,
    /// The share of a processor core available to the node.
    pub cpu_share: f64,
    /// The time to live of address lists, in seconds. Values above 2 act as 2.
    pub address_ttl_s: f64,
    /// The grace period between a request to stop and the kill, in seconds.
    pub grace_s: f64,
    /// The minimum interval between orders of two nodes to one replica, in milliseconds.
    pub order_lease_ms: u64,
    /// How long results are retained after the submission, in seconds.
    pub results_s: f64,
    /// The provider's API; `None` if the node has no duties there.
    #[serde(default)]
    pub provider: Option<Provider>,
    /// The log level: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log")]
    pub log: String,
}

/// The settings of the provider's API, to which usage reports and orders of replicas are sent.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Provider {
    /// The address of the API.
    pub address: SocketAddr,
    /// The duties that the nodes have there. Unknown ones are ignored.
    pub duties: Vec<String>,
    /// The maximum rate of calls of all nodes together, in calls per second.
    pub max_calls_per_s: f64,
    /// The minimum interval between calls of two nodes that take turns, in milliseconds.
    pub lease_ms: u64,
    /// The length of a window of the usage report, in seconds; `None` if none is reported.
    #[serde(default)]
    pub usage_window_s: Option<f64>,
    /// How long after the end of its window a usage report is due, in seconds.
    #[serde(default)]
    pub usage_due_s: Option<f64>,
}

fn default_log() -> String {
    "info".to_owned()
}

/// An error in the settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not valid JSON with comments, or a field is missing or has the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// Values are out of range or contradict each other.
    #[error("{}", .0.join("; "))]
    Invalid(Vec<String>),
}

/// Parses and validates settings.
///
/// # Errors
///
/// [`Error`], which for invalid values lists all violations at once.
pub fn from_str(text: &str) -> Result<Settings, Error> {
    let options = jsonc_parser::ParseOptions::default();
    let settings: Settings = jsonc_parser::parse_to_serde_value(text, &options)
        .map_err(|error| Error::Syntax(error.to_string()))?;
    let violations = settings.violations();
    if violations.is_empty() {
        Ok(settings)
    } else {
        Err(Error::Invalid(violations))
    }
}

impl Settings {
    fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        if self.node.is_empty() {
            violations.push("`node` is empty: set the name of the node".to_owned());
        }
        if self.centres.get(&self.centre) != Some(&self.region) {
            violations.push(format!(
                "`centres` does not place `{}` in `{}`: list each data centre with its region",
                self.centre, self.region
            ));
        }
        let listeners = [
            self.front,
            self.ready,
            self.directory,
            self.metrics,
            self.peer,
        ];
        for (index, address) in listeners.iter().enumerate() {
            if listeners[..index].contains(address) {
                violations.push(format!("two listeners share {address}: use two ports"));
            }
        }
        let minimums = [
            ("cpu_share", self.cpu_share, 0.01),
            ("address_ttl_s", self.address_ttl_s, 0.1),
            ("grace_s", self.grace_s, 1.0),
            ("results_s", self.results_s, 1.0),
        ];
        for (name, value, min) in minimums {
            if !(min..=1e6).contains(&value) {
                violations.push(format!(
                    "`{name}` is {value}: it must be between {min} and 1000000"
                ));
            }
        }
        violations
    }

    /// Returns the time to live of address lists.
    pub(crate) fn address_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.address_ttl_s).min(MAX_ADDRESS_TTL)
    }

    /// Returns the grace period between a request to stop and the kill.
    pub(crate) fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the minimum interval between orders of two nodes to one replica.
    pub(crate) fn order_lease(&self) -> Duration {
        Duration::from_millis(self.order_lease_ms)
    }

    /// Returns the retention time of results after the submission.
    pub(crate) fn results_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.results_s)
    }

    /// Returns the share of a processor core in thousandths.
    pub(crate) fn cpu_millis(&self) -> u32 {
        (self.cpu_share * 1e3) as u32
    }

    /// Returns the peer addresses of the seeds, without this node.
    pub(crate) fn seed_peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let port = self.peer.port();
        let seeds = self.seeds.iter();
        let peers = seeds.map(move |seed| SocketAddr::new(seed.ip(), port));
        peers.filter(|peer| *peer != self.peer)
    }
}
