use std::collections::BTreeMap;
use std::time::Duration;

/// How many replicas of a service may be ordered from the provider, and what they cost.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// The minimum number of replicas in each data centre.
    pub min: u32,
    /// The maximum number of replicas in each data centre, spot replicas included.
    pub max: u32,
    /// The time from the order of a replica until it serves.
    pub boot_time: Duration,
    /// The price of a spot replica as a share of the price of another one; `None` if there are no
    /// spot replicas. The provider may take away all spot replicas of a data centre at once.
    pub spot_price: Option<f64>,
    /// The price of a replica for one second, by data centre.
    pub centre_prices: BTreeMap<String, f64>,
}
