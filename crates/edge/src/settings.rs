//! The settings of a node, JSON with comments.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of a node.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// The name of the node.
    pub node: String,
    /// Its region.
    pub region: String,
    /// Its data centre.
    pub centre: String,
    /// Where it serves callers.
    pub front: SocketAddr,
    /// Where it answers whether it is ready.
    pub ready: SocketAddr,
    /// Where it tells callers which addresses to use.
    pub directory: SocketAddr,
    /// Where it talks to other nodes, over UDP and TCP. All nodes use the same port.
    pub peer: SocketAddr,
    /// Where it serves metrics.
    pub metrics: SocketAddr,
    /// Addresses of some nodes; only their IP numbers count.
    pub seeds: Vec<SocketAddr>,
    /// The metadata store.
    pub store: SocketAddr,
    /// The region of each data centre.
    pub centres: BTreeMap<String, String>,
    /// The share of a processor core.
    pub cpu_share: f64,
    /// The longest time that callers may keep an answer with addresses, in seconds.
    pub address_ttl_s: f64,
    /// The time between a request to stop and the kill, in seconds.
    pub grace_s: f64,
    /// How long orders of two nodes to one replica have to be apart, in milliseconds.
    pub order_lease_ms: u64,
    /// How long results are kept after the submission, in seconds.
    pub results_s: f64,
    /// How much is logged: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log")]
    pub log: String,
}

fn default_log() -> String {
    "info".to_owned()
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not JSON with comments, or a field is missing or has the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// Values contradict each other.
    #[error("{}", .0.join("; "))]
    Invalid(Vec<String>),
}

/// Reads and checks settings.
///
/// # Errors
///
/// [`Error`], with all contradictions between values at once.
pub fn from_str(text: &str) -> Result<Settings, Error> {
    let options = jsonc_parser::ParseOptions::default();
    let settings: Settings = jsonc_parser::parse_to_serde_value(text, &options)
        .map_err(|error| Error::Syntax(error.to_string()))?;
    let faults = settings.faults();
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(Error::Invalid(faults))
    }
}

impl Settings {
    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.node.is_empty() {
            faults.push("`node` is empty: name the machine".to_owned());
        }
        if self.centres.get(&self.centre) != Some(&self.region) {
            faults.push(format!(
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
                faults.push(format!("two listeners share {address}: use two ports"));
            }
        }
        let times = [
            ("cpu_share", self.cpu_share, 0.01),
            ("address_ttl_s", self.address_ttl_s, 0.1),
            ("grace_s", self.grace_s, 1.0),
            ("results_s", self.results_s, 1.0),
        ];
        for (name, value, least) in times {
            if !(least..=1e6).contains(&value) {
                faults.push(format!("`{name}` is {value}: it needs {least} or more"));
            }
        }
        faults
    }

    /// Returns the time for which callers may keep an answer with addresses.
    pub(crate) fn address_ttl(&self) -> Duration {
        // A short time spreads callers over the nodes that are alive; the question is cheap.
        Duration::from_secs_f64(self.address_ttl_s).min(Duration::from_secs(2))
    }

    /// Returns the time between a request to stop and the kill.
    pub(crate) fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns how long orders of two nodes to one replica have to be apart.
    pub(crate) fn order_lease(&self) -> Duration {
        Duration::from_millis(self.order_lease_ms)
    }

    /// Returns how long results are kept after the submission.
    pub(crate) fn results(&self) -> Duration {
        Duration::from_secs_f64(self.results_s)
    }

    /// Returns the share of a processor core in thousandths.
    pub(crate) fn power(&self) -> u32 {
        (self.cpu_share * 1e3) as u32
    }

    /// Returns where the nodes listen that the settings name.
    pub(crate) fn contacts(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let port = self.peer.port();
        let seeds = self.seeds.iter();
        let peers = seeds.map(move |seed| SocketAddr::new(seed.ip(), port));
        peers.filter(|peer| *peer != self.peer)
    }
}
