use super::cluster::Cluster;
use super::customers::Tally;
use dogwoodlb_standin::trainer;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// What happened in the demo, and whether every promise held.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    samples_delivered: u64,
    samples_duplicated: u64,
    samples_lost: u64,
    versions: BTreeSet<u64>,
    staleness_mean: f64,
    staleness_max: u64,
    trainer_idle_share: f64,
    customer_calls: u64,
    customer_p50_ms: u64,
    customer_p99_ms: u64,
    refused: BTreeMap<String, u64>,
    manifest_in_force_ms: u64,
    promises: Vec<Promise>,
}

/// A promise and whether the run kept it.
#[derive(Debug, Serialize)]
struct Promise {
    promise: &'static str,
    kept: bool,
}

impl Report {
    pub(super) fn new(
        cluster: &Cluster,
        trainer: trainer::Report,
        customers: Tally,
        (in_force, bound): (Duration, Duration),
        interrupted: usize,
    ) -> Self {
        let samples = super::STEPS * u64::from(super::GROUPS * super::GROUP_SIZE);
        let ran = |id: &String| {
            let attempts = (1..=3).map(|number| format!("{id}.{number}"));
            let generated = attempts.flat_map(|one| {
                cluster
                    .engines
                    .iter()
                    .map(move |engine| engine.generations(&one))
            });
            generated.sum::<u64>() + cluster.stock.executions(id)
        };
        let promises = [
            ("the trainer ended all steps", trainer.failure.is_none()),
            (
                "every sample was delivered exactly once",
                trainer.delivered == samples && trainer.duplicated + trainer.lost == 0,
            ),
            (
                "every sample names the versions that produced it",
                trainer.mislabelled == 0,
            ),
            (
                "samples of more than one version were delivered",
                trainer.versions.len() > 1,
            ),
            (
                "no sample exceeded the staleness bound",
                trainer.too_stale == 0,
            ),
            (
                "every customer got the whole answer to its own request",
                customers.broken == 0,
            ),
            (
                "a refusal that says `not run` was true",
                customers.not_run.iter().all(|id| ran(id) == 0),
            ),
            (
                "every order ran once",
                cluster.stock.order_count() == customers.orders && customers.changed_orders == 0,
            ),
            (
                "the manifest was in force everywhere within 4 s",
                in_force <= bound,
            ),
            ("the shutdown interrupted no request", interrupted == 0),
            (
                "no stored object was changed",
                cluster.objects.refused_overwrites() == 0,
            ),
        ];
        let promises = promises.map(|(promise, kept)| Promise { promise, kept });
        Self {
            samples_delivered: trainer.delivered,
            samples_duplicated: trainer.duplicated,
            samples_lost: trainer.lost,
            staleness_mean: trainer.staleness_mean,
            staleness_max: trainer.staleness_max,
            trainer_idle_share: trainer.idle_share,
            versions: trainer.versions,
            customer_calls: customers.whole + customers.broken,
            customer_p50_ms: customers.quantile_ms(0.5),
            customer_p99_ms: customers.quantile_ms(0.99),
            refused: customers.refused,
            manifest_in_force_ms: u64::try_from(in_force.as_millis()).unwrap_or(u64::MAX),
            promises: promises.into(),
        }
    }

    /// Returns whether every promise was kept.
    pub(super) fn is_kept(&self) -> bool {
        self.promises.iter().all(|one| one.kept)
    }

    pub(super) fn to_json(&self) -> String {
        // The report holds plain numbers and texts, so writing it can't fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let versions: Vec<_> = self.versions.iter().map(u64::to_string).collect();
        writeln!(
            f,
            "samples    {} delivered, {} duplicated, {} lost",
            self.samples_delivered, self.samples_duplicated, self.samples_lost
        )?;
        writeln!(f, "versions   {}", versions.join(" "))?;
        writeln!(
            f,
            "staleness  mean {:.2}, max {} versions",
            self.staleness_mean, self.staleness_max
        )?;
        writeln!(
            f,
            "trainer    idle {:.0}% of the time",
            self.trainer_idle_share * 100.0
        )?;
        writeln!(
            f,
            "customers  {} calls, p50 {} ms, p99 {} ms",
            self.customer_calls, self.customer_p50_ms, self.customer_p99_ms
        )?;
        for (code, count) in &self.refused {
            writeln!(f, "refused    {count} calls with `{code}`")?;
        }
        writeln!(
            f,
            "manifest   in force everywhere after {} ms",
            self.manifest_in_force_ms
        )?;
        for one in &self.promises {
            writeln!(
                f,
                "{}       {}",
                if one.kept { "kept  " } else { "BROKEN" },
                one.promise
            )?;
        }
        Ok(())
    }
}
