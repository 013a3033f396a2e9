//! The two deployments of docs/design.md, section 1.4, and their load.

use dogwoodlb_route::{Replica, Settings};
use dogwoodlb_types::id;
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The longest sample; ten times the median, which one sample in a hundred reaches.
const LONGEST: f64 = 2_500.0;
const MEDIAN: f64 = 250.0;
/// The spread of the logarithm between groups and within a group.
const GROUP_SIGMA: f64 = 0.6;
const SAMPLE_SIGMA: f64 = 0.8;
/// Prompts of customers, of which the first are the most popular.
const CUSTOMER_PROMPTS: u32 = 60;
const CUSTOMER_MEDIAN: f64 = 80.0;
const CUSTOMER_SIGMA: f64 = 0.6;
const CUSTOMER_LONGEST: f64 = 400.0;

pub(crate) const GROUP_SIZE: u32 = 8;
pub(crate) const CUSTOMER_PREFIX: f64 = 1_500.0;
pub(crate) const CUSTOMER_OWN: f64 = 60.0;
pub(crate) const SAMPLE_PREFIX: f64 = 600.0;

/// A deployment.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    /// The replicas of each data centre; the last centre is the other region.
    replicas: [usize; 3],
    nodes: [usize; 3],
    regions: [&'static str; 2],
    /// The latency between data centres of a region, rounded up to milliseconds.
    pub(crate) centre_ms: u64,
    pub(crate) trainers: usize,
    pub(crate) idle_weight: f64,
    pub(crate) bound: u64,
    pub(crate) groups: u32,
    pub(crate) train_ms: u64,
    /// Customers' requests as a share of what the replicas can serve.
    pub(crate) customers: f64,
}

impl Deployment {
    pub(crate) fn named(name: &str) -> Option<Self> {
        let tok = Self {
            replicas: [3, 3, 3],
            nodes: [4, 3, 3],
            regions: ["ljubljana", "maribor"],
            centre_ms: 2,
            trainers: 1,
            idle_weight: 0.9,
            bound: 2,
            groups: 32,
            train_ms: 60_000,
            customers: 0.25,
        };
        match name {
            "tok" => Some(tok),
            "kauri" => Some(Self {
                replicas: [3, 3, 2],
                regions: ["auckland", "christchurch"],
                centre_ms: 1,
                trainers: 2,
                idle_weight: 0.2,
                groups: 16,
                ..tok
            }),
            _ => None,
        }
    }

    /// Returns the nodes with their data centre.
    pub(crate) fn nodes(&self) -> Result<Vec<(Settings, usize)>, dogwoodlb_types::Error> {
        let mut nodes = Vec::new();
        for centre in 0..3 {
            for number in 0..self.nodes[centre] {
                let settings = Settings {
                    vm: format!("entry-{centre}-{number}").parse()?,
                    region: self.region(centre)?,
                    centre: format!("centre-{centre}").parse()?,
                };
                nodes.push((settings, centre));
            }
        }
        Ok(nodes)
    }

    /// Returns the replicas with their data centre.
    pub(crate) fn replicas(
        &self,
        slots: u32,
    ) -> Result<Vec<(Replica, usize)>, dogwoodlb_types::Error> {
        let mut replicas = Vec::new();
        for centre in 0..3 {
            for number in 0..self.replicas[centre] {
                let replica = Replica {
                    upstream: format!("engine-{centre}-{number}").parse()?,
                    region: self.region(centre)?,
                    centre: format!("centre-{centre}").parse()?,
                    slots,
                    leaving: false,
                };
                replicas.push((replica, centre));
            }
        }
        Ok(replicas)
    }

    fn region(&self, centre: usize) -> Result<id::Region, dogwoodlb_types::Error> {
        self.regions[usize::from(is_far(centre))].parse()
    }
}

/// Tells whether a data centre is in the other region.
pub(crate) const fn is_far(centre: usize) -> bool {
    centre == 2
}

/// Returns the length of an attempt of a sample, the same for every policy.
pub(crate) fn sample_tokens(seed: u64, sample: &id::Sample, attempt: u32) -> f64 {
    let group = format!("{}/{}/{}", sample.trainer, sample.step, sample.group);
    let own = format!("{sample}/{attempt}");
    let group = normal(unit(&group, seed), unit(&group, !seed));
    let own = normal(unit(&own, seed), unit(&own, !seed));
    (MEDIAN * (GROUP_SIGMA * group + SAMPLE_SIGMA * own).exp()).clamp(4.0, LONGEST)
}

pub(crate) fn prefix(sample: &id::Sample) -> u64 {
    let text = format!("{}/{}/{}", sample.trainer, sample.step, sample.group);
    xxh3_64_with_seed(text.as_bytes(), 1)
}

/// Draws a customer's prompt and the length of the answer.
pub(crate) fn customer(rng: &mut dyn Rng) -> (u64, f64) {
    let limit = f64::from(CUSTOMER_PROMPTS);
    // The popularity falls about as 1/rank.
    let rank = limit.powf(rng.random::<f64>()).floor() as u64;
    let tokens = CUSTOMER_MEDIAN * (CUSTOMER_SIGMA * normal(rng.random(), rng.random())).exp();
    (
        xxh3_64_with_seed(&rank.to_le_bytes(), 2),
        tokens.clamp(4.0, CUSTOMER_LONGEST),
    )
}

/// Returns the mean length of a customer's answer.
pub(crate) fn customer_mean() -> f64 {
    CUSTOMER_MEDIAN * (CUSTOMER_SIGMA * CUSTOMER_SIGMA / 2.0).exp()
}

fn unit(text: &str, seed: u64) -> f64 {
    (xxh3_64_with_seed(text.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Turns two uniform numbers into a normal one (Box and Muller).
fn normal(first: f64, second: f64) -> f64 {
    let radius = (-2.0 * first.max(1e-12).ln()).sqrt();
    radius * (std::f64::consts::TAU * second).cos()
}
