//! Commits a manifest on behalf of an operator.

use crate::lock;
use crate::peers;
use crate::shared::Shared;
use dogwoodlb_manifest::adopt::Proposal;
use dogwoodlb_manifest::commit::{Action, Commit, Event};
use dogwoodlb_types::{id, Refusal};
use dogwoodlb_wire as wire;
use std::collections::VecDeque;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::Duration;

/// Maximum wait for an answer to a proposal before the commit core is polled.
const TICK: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// A request to commit a manifest.
#[derive(Debug)]
pub(crate) struct CommitRequest {
    pub(crate) base: id::Revision,
    pub(crate) operator: id::Operator,
    pub(crate) text: String,
}

/// Commits a manifest; returns once the outcome is known, or can't be determined in time.
pub(crate) fn run(shared: &Arc<Shared>, request: CommitRequest) -> Result<id::Revision, Refusal> {
    let operation = shared.new_operation();
    let (operator, base) = (request.operator.clone(), request.base);
    let started = Commit::new(
        operation,
        request.operator,
        request.base,
        request.text,
        shared.now(),
    );
    let result = started.and_then(|(commit, actions)| drive(shared, commit, actions));
    shared
        .recorder
        .record(shared.timestamp(), "commit_ended", |event| {
            let event = event.with("operator", &operator).with("base", base);
            match &result {
                Ok(revision) => event.with("revision", revision),
                Err(refusal) => event.with("refused", crate::shared::code_name(refusal.code)),
            }
        });
    result
}

fn drive(
    shared: &Arc<Shared>,
    mut commit: Commit,
    actions: Vec<Action>,
) -> Result<id::Revision, Refusal> {
    let (sender, answers) = channel();
    let mut actions = VecDeque::from(actions);
    loop {
        let event = match actions.pop_front() {
            Some(Action::Done(result)) => return result,
            Some(action) => execute(shared, action, &sender),
            None => next_answer(&answers),
        };
        if let Some(event) = event {
            actions.extend(commit.on_event(event, shared.now()));
        }
    }
}

fn next_answer(answers: &Receiver<Event>) -> Option<Event> {
    match answers.recv_timeout(TICK) {
        Ok(event) => Some(event),
        Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => Some(Event::Tick),
    }
}

fn execute(shared: &Arc<Shared>, action: Action, answers: &Sender<Event>) -> Option<Event> {
    let table = &shared.platform.table;
    match action {
        Action::Read(key) => {
            let result = table.read(&key, CALL_TIMEOUT);
            shared.count_store_failure(&result);
            let result = result.map_err(|error| error.classify());
            Some(Event::Row { key, result })
        }
        Action::Write(txn) => {
            let result = table.commit(&txn, CALL_TIMEOUT);
            shared.count_store_failure(&result);
            Some(Event::Written(result.map_err(|error| error.classify())))
        }
        Action::Propose { vms, proposal } => {
            for vm in vms {
                propose(shared, vm, &proposal, answers);
            }
            None
        }
        // Handled by the caller.
        Action::Done(_) => None,
    }
}

/// Sends the proposal to one VM from a worker thread. A VM that can't be reached produces no
/// answer.
fn propose(shared: &Arc<Shared>, vm: id::Vm, proposal: &Proposal, answers: &Sender<Event>) {
    let (state, answers) = (shared.clone(), answers.clone());
    let proposal = wire::Proposal {
        operation: proposal.operation,
        operator: proposal.operator.clone(),
        base: proposal.base,
        row_version: proposal.row_version,
        text: proposal.text.clone(),
    };
    let accepted = shared.workers.run(move || {
        let answer = if vm == state.settings.vm {
            Ok(peers::evaluate_proposal(&state, &proposal))
        } else {
            let address = lock(&state.adoption)
                .manifest()
                .and_then(|manifest| manifest.entry_vms.iter().find(|entry| entry.vm == vm))
                .map(|entry| entry.peer);
            match address {
                Some(address) => peers::propose(address, &proposal),
                None => return,
            }
        };
        match answer {
            Ok(answer) => {
                let row_version = proposal.row_version;
                // Fails if the commit has already completed without this answer.
                let _ = answers.send(Event::Answer {
                    vm,
                    row_version,
                    answer,
                });
            }
            Err(error) => tracing::debug!(%vm, %error, "proposal_not_answered"),
        }
    });
    if !accepted {
        tracing::warn!("proposal_not_sent");
    }
}
