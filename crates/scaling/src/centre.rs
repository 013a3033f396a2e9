use dogwoodlb_config::Scaling;
use std::time::Duration;

/// The replicas of a service in one data centre that accept work.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Centre {
    /// The data centre.
    pub name: String,
    /// The replicas that are not spot replicas.
    pub regular: u32,
    /// The spot replicas.
    pub spot: u32,
}

impl Centre {
    /// Creates a data centre with its replicas.
    pub fn new(name: &str, regular: u32, spot: u32) -> Self {
        Self {
            name: name.to_owned(),
            regular,
            spot,
        }
    }
}

/// What the planner knows of a service.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The limits and prices of the service.
    pub scaling: &'a Scaling,
    /// All data centres, also those without a replica.
    pub centres: &'a [Centre],
    /// The number of requests that one replica runs concurrently.
    pub slots: u32,
    /// The time that all waiting and running work would take in one slot.
    pub work: Duration,
}
