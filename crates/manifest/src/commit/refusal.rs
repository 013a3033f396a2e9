//! The ends of a commit.

use super::{Action, Commit, State};
use dogwoodlb_types::{id, Code, Refusal};
use std::time::Duration;

impl Commit {
    pub(super) fn refuse_store(&mut self) -> Vec<Action> {
        let message = "the table is unreachable, nothing was changed: retry later";
        let refusal = Refusal::not_run(Code::StoreUnavailable, message);
        self.done(Err(refusal.retry_after(Duration::from_secs(1))))
    }

    pub(super) fn refuse_quorum(&mut self) -> Vec<Action> {
        let message = format!(
            "{} of the {} entry VMs of revision {} agreed, but {} are required; nothing was \
             changed: retry when more of them are running",
            self.promised.len(),
            self.vms.len(),
            self.proposal.base,
            self.quorum(),
        );
        let refusal = Refusal::not_run(Code::ManifestUnknown, message);
        self.done(Err(refusal.retry_after(Duration::from_secs(1))))
    }

    pub(super) fn refuse_conflict(
        &mut self,
        revision: id::Revision,
        operator: &id::Operator,
    ) -> Vec<Action> {
        let message = format!(
            "base revision {} is not in force: operator {operator} committed revision {revision}; \
             nothing was changed: compare with `diff`, then commit on the revision in force",
            self.proposal.base,
        );
        self.refuse(Code::Conflict, message)
    }

    pub(super) fn refuse(&mut self, code: Code, message: String) -> Vec<Action> {
        self.done(Err(Refusal::not_run(code, message)))
    }

    pub(super) fn done(&mut self, result: Result<id::Revision, Refusal>) -> Vec<Action> {
        self.state = State::Done;
        vec![Action::Done(result)]
    }
}
