//! An I/O driver for one candidate that executes each request immediately or injects a fault.

use super::table::Table;
use dogwoodlb_external::{Category, Cause, Error};
use dogwoodlb_lease::{Action, Lease, LeaseName};
use dogwoodlb_types::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::time::Duration;

/// The fault that is injected into a request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    None,
    ReplyLost,
    RequestLost,
    NotSent,
}

pub(crate) struct Driver {
    pub(crate) lease: Lease,
    rng: SmallRng,
    /// The number of transactions sent so far.
    pub(crate) commits: usize,
}

pub(crate) fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub(crate) fn failure(category: Category) -> Error {
    Error::new(category, "table", Cause::Timeout(Duration::from_secs(1)))
}

impl Driver {
    pub(crate) fn new(vm: &str, rank: usize) -> Self {
        Self::seeded(vm, rank, 1)
    }

    pub(crate) fn seeded(vm: &str, rank: usize, seed: u64) -> Self {
        let name = LeaseName::Trainer("weld".parse().unwrap());
        Self {
            lease: Lease::new(name, vm.parse().unwrap(), id::Incarnation(1), rank),
            rng: SmallRng::seed_from_u64(seed),
            commits: 0,
        }
    }

    /// Executes the next request, if there is one; returns whether it was a transaction.
    pub(crate) fn execute_next(
        &mut self,
        millis: u64,
        table: &mut Table,
        fault: Fault,
    ) -> Option<bool> {
        let action = self.lease.poll(at(millis), &mut self.rng)?;
        let error_category = match fault {
            Fault::None => None,
            Fault::ReplyLost | Fault::RequestLost => Some(Category::Ambiguous),
            Fault::NotSent => Some(Category::NotSent),
        };
        let is_applied = matches!(fault, Fault::None | Fault::ReplyLost);
        match action {
            Action::Read { request_id, prefix } => {
                let rows = error_category.map_or_else(
                    || Ok(table.scan(&prefix)),
                    |category| Err(failure(category)),
                );
                self.lease.on_read(at(millis), request_id, rows).unwrap();
                Some(false)
            }
            Action::Commit { request_id, txn } => {
                self.commits += 1;
                let outcome = is_applied.then(|| table.commit(&txn));
                let reply = match error_category {
                    Some(category) => Err(failure(category)),
                    None => Ok(outcome.unwrap()),
                };
                self.lease.on_commit(at(millis), request_id, reply);
                Some(true)
            }
        }
    }

    /// Executes requests every 100 ms until the lease is held and returns the time.
    pub(crate) fn run_until_held(&mut self, from: u64, table: &mut Table) -> u64 {
        (from..from + 60_000)
            .step_by(100)
            .find(|millis| {
                while self.execute_next(*millis, table, Fault::None).is_some() {}
                self.lease.held(at(*millis)).is_some()
            })
            .unwrap()
    }
}
