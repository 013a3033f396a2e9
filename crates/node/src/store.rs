//! Executes the transactions of a ledger against the table service and the object store.

use crate::lease_manager::LeaseManager;
use crate::shared::Shared;
use dogwoodlb_external::table::Check;
use dogwoodlb_lease::Guard;
use dogwoodlb_ledger::{Commit, Completion, Content, Ledger, Next, Object, Settings};
use dogwoodlb_manifest::section::Trainer;
use dogwoodlb_types::{id, Code, Instant, Refusal};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const OBJECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between attempts while the store is failing.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after which a transaction without an outcome is reported to its caller.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Buffer for accepted samples that are not stored yet, divided among the manifest's trainers.
const BUFFER_BYTES: usize = 64 << 20;

/// Drives the transaction in progress; a ledger has at most one.
#[derive(Default)]
pub(crate) struct TransactionDriver {
    stage: Option<Stage>,
    started_at: Instant,
    retry_at: Instant,
}

enum Stage {
    Send(Commit),
    ReadBack {
        operation: id::Operation,
        key: String,
    },
}

/// The result of advancing a transaction.
pub(crate) enum Progress {
    /// No outcome yet, or no transaction in progress.
    Pending,
    Done(Completion),
    /// The transaction has had no outcome for [`STALL_TIMEOUT`]; the driver keeps retrying.
    Stalled,
    /// The node no longer owns the trainer.
    Lost(Refusal),
}

impl TransactionDriver {
    pub(crate) fn start(&mut self, commit: Commit) {
        self.stage = Some(Stage::Send(commit));
        self.started_at = Instant::default();
        self.retry_at = Instant::default();
    }

    /// Returns whether the store is failing, in which case no further samples are generated.
    pub(crate) fn is_retrying(&self) -> bool {
        self.stage.is_some() && self.retry_at > Instant::default()
    }

    /// Advances the transaction until it has an outcome or the store fails.
    pub(crate) fn advance(&mut self, shared: &Shared, ledger: &mut Ledger) -> Progress {
        let now = shared.now();
        if self.started_at == Instant::default() {
            self.started_at = now;
        }
        while let Some(stage) = self.stage.take() {
            if shared.now() < self.retry_at {
                self.stage = Some(stage);
                return self.pending_progress(shared);
            }
            let (next, failed) = match stage {
                Stage::Send(mut commit) => {
                    if !put_objects(shared, &mut commit.objects) {
                        self.stage = Some(Stage::Send(commit));
                        self.retry_at = shared.now() + RETRY_DELAY;
                        return self.pending_progress(shared);
                    }
                    let outcome = shared.platform.table.commit(&commit.txn, CALL_TIMEOUT);
                    shared.count_store_failure(&outcome);
                    let failed = outcome.is_err();
                    (ledger.on_commit(commit.operation, outcome), failed)
                }
                Stage::ReadBack { operation, key } => {
                    let row = shared.platform.table.read(&key, CALL_TIMEOUT);
                    shared.count_store_failure(&row);
                    let failed = row.is_err();
                    (ledger.on_read_back(operation, row), failed)
                }
            };
            if failed {
                self.retry_at = shared.now() + RETRY_DELAY;
            }
            match next {
                Next::Done(completion) => return Progress::Done(completion),
                Next::ReadBack { operation, key } => {
                    self.stage = Some(Stage::ReadBack { operation, key });
                }
                Next::Resend(commit) => self.stage = Some(Stage::Send(commit)),
                Next::OwnershipLost(refusal) => return Progress::Lost(refusal),
                Next::Ignored => return Progress::Pending,
            }
        }
        Progress::Pending
    }

    fn pending_progress(&self, shared: &Shared) -> Progress {
        match shared.now().saturating_since(self.started_at) >= STALL_TIMEOUT {
            true => Progress::Stalled,
            false => Progress::Pending,
        }
    }
}

/// Writes objects to the object store and removes those written from the list.
///
/// Returns `false` if a write failed.
fn put_objects(shared: &Shared, objects: &mut Vec<Object>) -> bool {
    while let Some(object) = objects.last() {
        let put = shared
            .platform
            .objects
            .put(&object.name, &object.body, OBJECT_TIMEOUT);
        shared.count_store_failure(&put);
        if put.is_err() {
            return false;
        }
        objects.pop();
    }
    true
}

/// Loads the ledger of a trainer after its lease was acquired.
pub(crate) fn load_ledger(
    shared: &Shared,
    lease: &LeaseManager,
    guard: Guard,
    trainer: &Trainer,
    initial_version: id::Version,
    trainer_count: usize,
) -> Result<(Ledger, HashMap<id::Step, Arc<Content>>), Refusal> {
    let prefix = Ledger::prefix(&trainer.trainer);
    let rows = shared.platform.table.scan(&prefix, CALL_TIMEOUT);
    shared.count_store_failure(&rows);
    let rows = rows.map_err(|error| unavailable(&error))?;
    let settings = Settings {
        trainer: trainer.trainer.clone(),
        staleness_bound: u64::from(trainer.staleness_bound),
        initial_version,
        max_buffer_bytes: BUFFER_BYTES / trainer_count.max(1),
    };
    let fence = Check {
        key: lease.fence_key(),
        version: guard.fence_row_version,
    };
    let ledger = Ledger::load(settings, fence, &rows)
        .map_err(|error| shared.invariant_violated("ledger", error))?;
    let mut contents = HashMap::new();
    for step in ledger.steps().iter().filter(|step| !step.delivered) {
        let body = read_object(shared, &step.prompts_object)?;
        let content = Content::from_slice(&body)
            .map_err(|error| shared.invariant_violated("prompts", error))?;
        contents.insert(step.step, Arc::new(content));
    }
    Ok((ledger, contents))
}

/// Reads an object that is referenced by a row.
pub(crate) fn read_object(shared: &Shared, name: &str) -> Result<Vec<u8>, Refusal> {
    let object = shared.platform.objects.get(name, OBJECT_TIMEOUT);
    shared.count_store_failure(&object);
    match object {
        Ok(Some(body)) => Ok(body),
        Ok(None) => Err(shared.invariant_violated(
            "object",
            format!("object {name} is referenced by the ledger but missing"),
        )),
        Err(error) => Err(unavailable(&error)),
    }
}

fn unavailable(error: &dogwoodlb_external::Error) -> Refusal {
    let refusal = Refusal::not_run(Code::StoreUnavailable, error.to_string());
    refusal.retry_after(Duration::from_secs(1))
}
