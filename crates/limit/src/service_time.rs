use std::time::Duration;

/// Exponentially weighted mean and mean deviation of the service time, in microseconds. Each sample
/// has a weight of 1/16; a mean of 0 means that there is no sample yet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    mean: u64,
    deviation: u64,
}

impl ServiceTime {
    pub(crate) fn record(&mut self, time: Duration) {
        let time = u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1);
        if self.mean == 0 {
            self.mean = time;
            return;
        }
        let difference = time.abs_diff(self.mean);
        self.mean = self.mean - self.mean / 16 + time / 16;
        self.deviation = self.deviation - self.deviation / 16 + difference / 16;
    }

    pub(crate) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean)
    }

    /// Returns an estimate that nearly all service times stay below: the mean plus two deviations.
    pub(crate) fn upper_estimate(&self) -> Duration {
        Duration::from_micros(self.mean.saturating_add(self.deviation.saturating_mul(2)))
    }
}
