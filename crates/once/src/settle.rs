use crate::call::{Call, Phase, SETTLE_TIMEOUT};
use crate::row::{Row, State};
use crate::{Action, Response};
use dogwoodlb_external::table;
use dogwoodlb_types::Instant;

/// Writing the final state of the row, after the response.
impl Call {
    /// Responds to the caller and replaces this call's intent by the final state.
    pub(crate) fn settle(
        &mut self,
        state: State,
        version: u64,
        response: Response,
        now: Instant,
    ) -> Vec<Action> {
        self.begin_settle(state.clone(), now);
        let commit = self.commit(state, version, now);
        vec![Action::Respond(response), commit]
    }

    /// Responds to the caller and prevents a late copy of this call's intent from being applied,
    /// which would block the key although nothing was dispatched.
    pub(crate) fn withdraw(&mut self, response: Response, now: Instant) -> Vec<Action> {
        self.begin_settle(State::Open, now);
        let mut actions = vec![Action::Respond(response)];
        actions.append(&mut self.read(now));
        actions
    }

    fn begin_settle(&mut self, state: State, now: Instant) {
        self.phase = Phase::Settle {
            state,
            until: now + SETTLE_TIMEOUT,
        };
    }

    pub(crate) fn on_settle_read(&mut self, row: Option<&table::Row>, now: Instant) -> Vec<Action> {
        let Phase::Settle { state, .. } = &self.phase else {
            return self.finish();
        };
        let state = state.clone();
        let is_withdrawal = state == State::Open;
        let version = match row.map(|row| (row.version, Row::from_str(&row.value))) {
            // A late intent checks that the row is absent, so writing an open row makes it
            // conflict.
            None if is_withdrawal => Some(0),
            Some((version, Ok(found))) => {
                let is_own = found.operation == self.request.operation;
                let may_replace = match found.state {
                    State::Started => is_own,
                    // A late intent checks the version that was read before, so writing a new
                    // version makes it conflict.
                    State::Open => is_withdrawal && !is_own && found.digest == self.request.digest,
                    State::Done { .. } | State::Unknown => false,
                };
                may_replace.then_some(version)
            }
            // The row was deleted or is malformed.
            _ => None,
        };
        match version {
            Some(version) => vec![self.commit(state, version, now)],
            None => self.finish(),
        }
    }
}
