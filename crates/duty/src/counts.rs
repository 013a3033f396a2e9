use std::collections::BTreeMap;

/// The number of requests of each organisation in a window.
pub type Counts = BTreeMap<String, u64>;

/// Adds up the counts of several nodes.
pub fn add_up(counts: impl IntoIterator<Item = Counts>) -> Counts {
    let mut sum = Counts::new();
    for (organisation, count) in counts.into_iter().flatten() {
        let total = sum.entry(organisation).or_default();
        *total = total.saturating_add(count);
    }
    sum
}
