use crate::buffer::Buffer;
use crate::content::MAX_SAMPLES;
use crate::error::Inner;
use crate::pending::PendingOperation;
use crate::row::{parse, BatchRow, DeliveredStep, HeadRow, Key, Keys, StepRow};
use crate::step::{OpenStep, StalenessLimit};
use crate::view::{Progress, RejectedCounts, Settings, StepView};
use crate::{OperationResult, Result};
use dogwoodlb_external::table::{Check, Row, Txn};
use dogwoodlb_types::{id, Code, Instant, Refusal};
use std::collections::{BTreeMap, VecDeque};

/// The ledger of one trainer, valid while this process holds the trainer's lease.
///
/// At most one transaction is in flight: an operation that needs a transaction while another is
/// in flight returns [`Start::Busy`](crate::Start::Busy). Every transaction checks the version of
/// the fence row, so it conflicts once another process has taken over the lease. Results that
/// need no transaction come from memory, and a read-back may find a transaction that was applied
/// before a takeover, so check that the lease is still held before forwarding any result.
#[derive(Debug)]
pub struct Ledger {
    pub(crate) settings: Settings,
    pub(crate) keys: Keys,
    pub(crate) fence: Check,
    pub(crate) head: HeadRow,
    pub(crate) head_version: u64,
    pub(crate) open_steps: BTreeMap<id::Step, OpenStep>,
    /// Keys of rows of acknowledged steps, which are due for deletion.
    pub(crate) obsolete_keys: VecDeque<String>,
    pub(crate) buffer: Buffer,
    pub(crate) last_flush: Option<Instant>,
    pub(crate) pending: Option<PendingOperation>,
    pub(crate) ownership_lost: bool,
    pub(crate) counts: RejectedCounts,
}

impl Ledger {
    /// Returns the key prefix of a trainer's rows, to scan before [`Ledger::load`].
    pub fn prefix(trainer: &id::Trainer) -> String {
        Keys::new(trainer).prefix().to_owned()
    }

    /// Creates the ledger from the trainer's rows.
    ///
    /// `fence` is the key and version of the lease's fence row. The scan that returned `rows`
    /// must have begun after the lease was acquired, because from then on no transaction of
    /// another process is applied.
    ///
    /// # Errors
    ///
    /// Fails if a row is malformed or the rows are inconsistent.
    pub fn load(settings: Settings, fence: Check, rows: &[Row]) -> Result<Self> {
        let keys = Keys::new(&settings.trainer);
        let mut ledger = Self {
            head: HeadRow {
                operation: id::Operation(0),
                session: id::Session(0),
                version: settings.initial_version,
                object: None,
                delivery: id::Delivery(0),
                delivered: None,
                acknowledged: None,
            },
            settings,
            keys,
            fence,
            head_version: 0,
            open_steps: BTreeMap::new(),
            obsolete_keys: VecDeque::new(),
            buffer: Buffer::default(),
            last_flush: None,
            pending: None,
            ownership_lost: false,
            counts: RejectedCounts::default(),
        };
        let head_key = ledger.keys.head();
        if let Some(row) = rows.iter().find(|row| row.key == head_key) {
            ledger.head = parse(&row.key, &row.value)?;
            ledger.head_version = row.version;
        }
        ledger.load_steps(rows)?;
        ledger.check_delivered()?;
        Ok(ledger)
    }

    fn load_steps(&mut self, rows: &[Row]) -> Result<()> {
        let mut batches: BTreeMap<(id::Step, u32), BatchRow> = BTreeMap::new();
        for row in rows {
            match self.keys.parse(&row.key)? {
                Key::Head => {}
                Key::Step(step) | Key::Batch(step, _) if self.is_acknowledged(step) => {
                    self.obsolete_keys.push_back(row.key.clone());
                }
                Key::Step(step) => {
                    let step_row: StepRow = parse(&row.key, &row.value)?;
                    if step_row.sample_count() > MAX_SAMPLES {
                        let key = row.key.clone();
                        let samples = step_row.sample_count();
                        return Err(Inner::TooManySamples { key, samples }.into());
                    }
                    self.open_steps
                        .insert(step, OpenStep::new(step_row, row.version));
                }
                Key::Batch(step, batch) => {
                    batches.insert((step, batch), parse(&row.key, &row.value)?);
                }
            }
        }
        let limit = self.staleness_limit();
        for ((step, number), batch) in batches {
            let added = self
                .open_steps
                .get_mut(&step)
                .and_then(|open| open.add_batch(number, batch, limit));
            if added.is_none() {
                let key = self.keys.batch(step, number);
                return Err(Inner::Inconsistent { key }.into());
            }
        }
        Ok(())
    }

    /// Checks that each sample of the delivered step has the attempt that was assigned to it.
    fn check_delivered(&self) -> Result<()> {
        let Some(delivered) = self.head.delivered else {
            return Ok(());
        };
        let consistent_step = self
            .open_steps
            .get(&delivered.step)
            .filter(|open| open.assignment().as_ref() == Some(&open.row.assigned));
        if consistent_step.is_none() {
            let key = self.keys.step(delivered.step);
            return Err(Inner::Inconsistent { key }.into());
        }
        Ok(())
    }

    /// Returns whether a transaction is in flight.
    pub fn is_busy(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns whether an operation has returned
    /// [`Next::OwnershipLost`](crate::Next::OwnershipLost); all later operations are refused.
    pub fn has_lost_ownership(&self) -> bool {
        self.ownership_lost
    }

    /// Returns the current session, or 0 if none has been opened.
    pub fn session(&self) -> id::Session {
        self.head.session
    }

    /// Returns the current version and, if the trainer published it, the name of its weights.
    pub fn version(&self) -> (id::Version, Option<&str>) {
        (self.head.version, self.head.object.as_deref())
    }

    /// Returns the last acknowledged step.
    pub fn acknowledged(&self) -> Option<id::Step> {
        self.head.acknowledged.map(|delivered| delivered.step)
    }

    /// Returns the counts of rejected and discarded attempts.
    pub fn counts(&self) -> RejectedCounts {
        self.counts
    }

    /// Returns the size in bytes of the accepted samples that are not yet in a transaction.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.bytes()
    }

    /// Returns the progress of an open step.
    pub fn progress(&self, step: id::Step) -> Option<Progress> {
        self.open_steps.get(&step).map(OpenStep::progress)
    }

    /// Returns the open steps in order, from which the planner of a new owner resumes.
    pub fn steps(&self) -> Vec<StepView> {
        let view = |(step, open): (&id::Step, &OpenStep)| StepView {
            step: *step,
            group_sizes: open.row.sizes.clone(),
            max_tokens: open.row.max_tokens,
            prompts_object: open.row.object.clone(),
            delivered: self.current_delivery(*step).is_some(),
            missing: self.sample_ids(*step, &open.missing()),
        };
        self.open_steps.iter().map(view).collect()
    }

    /// Changes the staleness bound.
    ///
    /// New attempts are checked against it at once, accepted ones at the next delivery or
    /// publication.
    pub fn set_staleness_bound(&mut self, bound: u64) {
        self.settings.staleness_bound = bound;
    }

    pub(crate) fn staleness_limit(&self) -> StalenessLimit {
        StalenessLimit {
            version: self.head.version,
            bound: self.settings.staleness_bound,
        }
    }

    pub(crate) fn is_acknowledged(&self, step: id::Step) -> bool {
        self.head.acknowledged.is_some_and(|last| step <= last.step)
    }

    /// Returns the delivery of a step that is delivered but not yet acknowledged.
    pub(crate) fn current_delivery(&self, step: id::Step) -> Option<DeliveredStep> {
        self.head.delivered.filter(|current| current.step == step)
    }

    /// Returns the ids of samples of a step, which are given by group and index.
    pub(crate) fn sample_ids(
        &self,
        step: id::Step,
        group_indexes: &[(u32, u32)],
    ) -> Vec<id::Sample> {
        let trainer = &self.settings.trainer;
        let sample = |&(group, index)| id::Sample::new(trainer.clone(), step, group, index);
        group_indexes.iter().map(sample).collect()
    }

    /// Returns a transaction with the checks that all transactions share: the fence row and the
    /// head row are unchanged.
    pub(crate) fn fenced_txn(&self) -> Txn {
        Txn::new()
            .check(self.fence.key.clone(), self.fence.version)
            .check(self.keys.head(), self.head_version)
    }

    pub(crate) fn check_owner(&self) -> OperationResult<()> {
        if self.ownership_lost {
            let message = "another VM has taken over the trainer";
            return Err(Refusal::not_run(Code::WrongNode, message));
        }
        Ok(())
    }

    pub(crate) fn check_session(&self, session: id::Session) -> OperationResult<()> {
        self.check_owner()?;
        if session != self.head.session || session == id::Session(0) {
            let message = format!("session {session} is not the current session");
            return Err(Refusal::not_run(Code::StaleSession, message));
        }
        Ok(())
    }
}

pub(crate) fn conflict(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::Conflict, message)
}
