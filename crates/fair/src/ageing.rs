use crate::AGED_START_INTERVAL;

/// Decides which starts go to the work that has waited longest, so that these take one part in
/// [`AGED_START_INTERVAL`] of the service. It counts service and not starts, because otherwise long
/// work would take a larger part by its age.
///
/// # Examples
///
/// ```
/// use dogwoodlb_fair::Ageing;
///
/// let mut ageing = Ageing::default();
/// for _ in 0..3 {
///     assert!(!ageing.is_due(20.0));
///     ageing.on_start(20.0, false);
/// }
/// assert!(ageing.is_due(20.0));
/// ageing.on_start(20.0, true);
/// assert!(!ageing.is_due(20.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Ageing {
    /// The service of the other starts, less three times that of the starts by age.
    balance: f64,
}

impl Ageing {
    /// Returns whether the next start goes by age, if that work takes this amount of service.
    pub fn is_due(self, amount: f64) -> bool {
        self.balance >= Self::other_parts() * amount
    }

    /// Records a start while other work waits.
    pub fn on_start(&mut self, amount: f64, is_aged: bool) {
        self.balance += match is_aged {
            true => -Self::other_parts() * amount,
            false => amount,
        };
    }

    fn other_parts() -> f64 {
        (AGED_START_INTERVAL - 1) as f64
    }
}
