use crate::content::{digest, Content};
use crate::ledger::{conflict, Ledger};
use crate::pending::{Effect, Probe};
use crate::row::{to_json, DeliveredStep, HeadRow, StepRow};
use crate::step::staleness;
use crate::view::{Completion, Object, Start};
use crate::OperationResult;
use dogwoodlb_types::{id, Code, Refusal};

/// The maximum number of submitted steps that are not yet acknowledged.
pub const MAX_OPEN_STEPS: usize = 64;

/// The maximum number of rows that one transaction deletes.
const MAX_DELETES: usize = 128;

impl Ledger {
    /// Opens a session; operations of all earlier sessions are refused from then on.
    ///
    /// # Errors
    ///
    /// Refused if another process has taken over the trainer.
    pub fn open_session(&mut self, operation: id::Operation) -> OperationResult<Start> {
        self.check_owner()?;
        if self.is_busy() {
            return Ok(Start::Busy);
        }
        let mut head = self.head_written_by(operation);
        head.session = head.session.next();
        Ok(self.begin_head_commit(head, Effect::OpenSession))
    }

    /// Submits a step. Submitting the same content again has no effect.
    ///
    /// # Errors
    ///
    /// Refused if the session is not the current one, the content is too large or empty, the step
    /// was already submitted with other content, the step does not follow the last delivered or
    /// acknowledged step, or too many steps are open.
    pub fn submit(
        &mut self,
        session: id::Session,
        step: id::Step,
        content: &Content,
        operation: id::Operation,
    ) -> OperationResult<Start> {
        self.check_session(session)?;
        content.check()?;
        if self.is_busy() {
            return Ok(Start::Busy);
        }
        let body = content.to_object();
        let digest = digest(&body);
        match self.open_steps.get(&step) {
            Some(open) if open.row.digest == digest => {
                return Ok(Start::Done(Completion::Submitted(step)));
            }
            Some(_) => {
                return Err(conflict(format!(
                    "step {step} was already submitted with other content"
                )))
            }
            None => {}
        }
        self.check_submittable(step)?;
        let name = self.keys.prompts_object(step, operation);
        let row = StepRow {
            operation,
            digest,
            sizes: content.group_sizes(),
            max_tokens: content.max_tokens,
            object: name.clone(),
            assigned: Vec::new(),
        };
        let key = self.keys.step(step);
        let txn = self
            .fenced_txn()
            .absent(key.clone())
            .put(key.clone(), to_json(&row));
        let probe = Probe::Written {
            key,
            previous_version: 0,
        };
        let objects = vec![Object { name, body }];
        Ok(self.begin_commit(operation, txn, objects, probe, Effect::Submit(step, row)))
    }

    fn check_submittable(&self, step: id::Step) -> OperationResult<()> {
        let last = self.head.delivered.or(self.head.acknowledged);
        if let Some(last) = last.filter(|last| step <= last.step) {
            let message = format!("step {step} does not follow step {}", last.step);
            return Err(conflict(message));
        }
        if self.open_steps.len() >= MAX_OPEN_STEPS {
            let message = format!("{MAX_OPEN_STEPS} open steps are not yet acknowledged");
            return Err(Refusal::not_run(Code::Overloaded, message));
        }
        Ok(())
    }

    /// Delivers a step, or returns its existing delivery.
    ///
    /// One transaction delivers a complete step: it fixes the accepted attempts and checks that
    /// the session, the published version and the owner are unchanged. A step that is delivered
    /// but not acknowledged is returned from memory.
    ///
    /// # Errors
    ///
    /// Refused if the session is not the current one, the step is unknown or already
    /// acknowledged, or an earlier step is still open.
    pub fn deliver(
        &mut self,
        session: id::Session,
        step: id::Step,
        operation: id::Operation,
    ) -> OperationResult<Start> {
        self.check_session(session)?;
        if self.is_busy() {
            return Ok(Start::Busy);
        }
        if let Some(delivered) = self.current_delivery(step) {
            return self.redeliver(delivered);
        }
        self.check_deliverable(step)?;
        let stale = self.discard_stale_in_step(step);
        self.counts.stale += stale.len() as u64;
        let Some(open) = self.open_steps.get(&step) else {
            return Err(not_submitted(step));
        };
        match open.assignment() {
            Some(assigned) => {
                let row = StepRow {
                    operation,
                    assigned,
                    ..open.row.clone()
                };
                let row_version = open.row_version;
                Ok(self.begin_delivery(step, row, row_version))
            }
            None => {
                let progress = open.progress();
                Ok(Start::Done(Completion::Waiting { progress, stale }))
            }
        }
    }

    fn begin_delivery(&mut self, step: id::Step, row: StepRow, row_version: u64) -> Start {
        let operation = row.operation;
        let mut head = self.head_written_by(operation);
        head.delivery = head.delivery.next();
        head.delivered = Some(DeliveredStep {
            step,
            delivery: head.delivery,
            version: head.version,
        });
        let key = self.keys.step(step);
        let txn = self
            .fenced_txn()
            .check(key.clone(), row_version)
            .put(self.keys.head(), to_json(&head))
            .put(key, to_json(&row));
        let probe = self.head_probe();
        let assigned = row.assigned;
        let effect = Effect::Deliver { head, assigned };
        self.begin_commit(operation, txn, Vec::new(), probe, effect)
    }

    fn redeliver(&self, delivered: DeliveredStep) -> OperationResult<Start> {
        let open = self.open_steps.get(&delivered.step);
        match open.and_then(|open| open.delivery(&self.settings.trainer, delivered)) {
            Some(delivery) => Ok(Start::Done(Completion::Delivered(delivery))),
            None => {
                let message = format!("delivered step {} is incomplete", delivered.step);
                Err(Refusal::not_run(Code::Invariant, message))
            }
        }
    }

    fn check_deliverable(&self, step: id::Step) -> OperationResult<()> {
        if self.is_acknowledged(step) {
            return Err(conflict(format!("step {step} is already acknowledged")));
        }
        if !self.open_steps.contains_key(&step) {
            return Err(not_submitted(step));
        }
        let first = self.open_steps.keys().next();
        if let Some(first) = first.filter(|first| **first < step) {
            let message =
                format!("step {first} must be acknowledged before step {step} is delivered");
            return Err(conflict(message));
        }
        Ok(())
    }

    /// Acknowledges the delivered step. Acknowledging it again has no effect.
    ///
    /// # Errors
    ///
    /// Refused if the session is not the current one or the delivery number does not match the
    /// step's current delivery.
    pub fn acknowledge(
        &mut self,
        session: id::Session,
        step: id::Step,
        delivery: id::Delivery,
        operation: id::Operation,
    ) -> OperationResult<Start> {
        self.check_session(session)?;
        if self.is_busy() {
            return Ok(Start::Busy);
        }
        let is_requested =
            |current: &DeliveredStep| current.step == step && current.delivery == delivery;
        if self.head.acknowledged.as_ref().is_some_and(is_requested) {
            return Ok(Start::Done(Completion::Acknowledged(step)));
        }
        let Some(delivered) = self.head.delivered.filter(is_requested) else {
            let message = format!("delivery {delivery} of step {step} is not the current delivery");
            return Err(conflict(message));
        };
        let mut head = self.head_written_by(operation);
        head.delivered = None;
        head.acknowledged = Some(delivered);
        Ok(self.begin_head_commit(head, Effect::Acknowledge))
    }

    /// Publishes a version of the weights. Publishing the same version and object again has no
    /// effect.
    ///
    /// # Errors
    ///
    /// Refused if the session is not the current one, the version is not higher than the last
    /// published one, or a delivered step that is not yet acknowledged would exceed the staleness
    /// bound.
    pub fn publish(
        &mut self,
        session: id::Session,
        version: id::Version,
        object: &str,
        operation: id::Operation,
    ) -> OperationResult<Start> {
        self.check_session(session)?;
        if self.is_busy() {
            return Ok(Start::Busy);
        }
        if version == self.head.version && self.head.object.as_deref() == Some(object) {
            let stale = Vec::new();
            return Ok(Start::Done(Completion::Published { version, stale }));
        }
        if version <= self.head.version {
            let current = self.head.version;
            let message = format!("version {version} does not follow version {current}");
            return Err(conflict(message));
        }
        self.check_delivered_staleness(version)?;
        let mut head = self.head_written_by(operation);
        head.version = version;
        head.object = Some(object.to_owned());
        Ok(self.begin_head_commit(head, Effect::Publish))
    }

    fn check_delivered_staleness(&self, version: id::Version) -> OperationResult<()> {
        let Some(delivered) = self.head.delivered else {
            return Ok(());
        };
        let oldest = self
            .open_steps
            .get(&delivered.step)
            .and_then(|open| open.oldest_version());
        let bound = self.settings.staleness_bound;
        if oldest.is_some_and(|oldest| staleness(version, oldest) > bound) {
            let message = format!(
                "step {} is not yet acknowledged and would exceed the staleness bound {bound}",
                delivered.step
            );
            return Err(conflict(message));
        }
        Ok(())
    }

    /// Returns a transaction that deletes rows of acknowledged steps, if there are any.
    ///
    /// Call this when idle. Returns `None` while a transaction is in flight.
    pub fn delete_acknowledged(&mut self, operation: id::Operation) -> Option<Start> {
        if self.ownership_lost || self.is_busy() {
            return None;
        }
        let deletes: Vec<String> = self
            .obsolete_keys
            .iter()
            .take(MAX_DELETES)
            .cloned()
            .collect();
        let key = deletes.first()?.clone();
        let effect = Effect::DeleteRows(deletes.len());
        let mut txn = self.fenced_txn();
        txn.deletes = deletes;
        Some(self.begin_commit(operation, txn, Vec::new(), Probe::Deleted { key }, effect))
    }

    /// Returns a copy of the head row for an operation to change and write.
    fn head_written_by(&self, operation: id::Operation) -> HeadRow {
        HeadRow {
            operation,
            ..self.head.clone()
        }
    }

    /// Begins an operation that writes only the head row.
    fn begin_head_commit(&mut self, head: HeadRow, effect: fn(HeadRow) -> Effect) -> Start {
        let txn = self.fenced_txn().put(self.keys.head(), to_json(&head));
        let probe = self.head_probe();
        self.begin_commit(head.operation, txn, Vec::new(), probe, effect(head))
    }
}

fn not_submitted(step: id::Step) -> Refusal {
    Refusal::not_run(Code::NotFound, format!("step {step} was not submitted"))
}
