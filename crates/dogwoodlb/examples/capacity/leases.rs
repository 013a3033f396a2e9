//! The reads and writes of one lease by the number of candidates, in virtual time.

use crate::{Report, Result};
use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_lease::{Action, Lease, LeaseName};
use dogwoodlb_types::{id, Instant};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);
const WARM_UP: Duration = Duration::from_secs(20);
const COUNTED: Duration = Duration::from_secs(120);

#[derive(Default)]
struct Store {
    rows: BTreeMap<String, Row>,
    version: u64,
    reads: u64,
    writes: u64,
}

impl Store {
    fn scan(&mut self, prefix: &str) -> Vec<Row> {
        self.reads += 1;
        let rows = self.rows.values();
        rows.filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn commit(&mut self, txn: &Txn) -> Outcome {
        self.writes += 1;
        for check in &txn.checks {
            let found = self.rows.get(&check.key).map_or(0, |row| row.version);
            if found != check.version {
                let key = check.key.clone();
                return Outcome::Conflict { key, found };
            }
        }
        self.version += 1;
        for put in &txn.puts {
            let row = Row {
                key: put.key.clone(),
                version: self.version,
                value: put.value.clone(),
            };
            self.rows.insert(put.key.clone(), row);
        }
        Outcome::Applied {
            version: self.version,
        }
    }
}

pub(crate) fn run(report: &mut Report) -> Result<()> {
    for count in [11, 40, 160, 320] {
        let (reads, writes) = simulate(count)?;
        report.add(format!("lease.reads_per_s.{count}"), reads);
        report.add(format!("lease.writes_per_s.{count}"), writes);
    }
    Ok(())
}

fn simulate(count: usize) -> Result<(f64, f64)> {
    let mut rng = SmallRng::seed_from_u64(1);
    let name = LeaseName::Trainer("trainer-01".parse()?);
    let mut leases = Vec::new();
    for rank in 0..count {
        let vm = format!("entry-{rank:04}").parse()?;
        leases.push(Lease::new(name.clone(), vm, id::Incarnation(1), rank));
    }
    let mut store = Store::default();
    let mut now = Instant::from_millis(0);
    let start = now + WARM_UP;
    while now < start + COUNTED {
        now = now + TICK;
        if now == start {
            (store.reads, store.writes) = (0, 0);
        }
        for lease in &mut leases {
            match lease.poll(now, &mut rng) {
                None => {}
                Some(Action::Read { request_id, prefix }) => {
                    let rows = store.scan(&prefix);
                    lease.on_read(now, request_id, Ok(rows))?;
                }
                Some(Action::Commit { request_id, txn }) => {
                    let outcome = store.commit(&txn);
                    lease.on_commit(now, request_id, Ok(outcome));
                }
            }
        }
    }
    let seconds = COUNTED.as_secs_f64();
    Ok((store.reads as f64 / seconds, store.writes as f64 / seconds))
}
