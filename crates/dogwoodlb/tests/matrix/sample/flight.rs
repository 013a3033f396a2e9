//! The transactions of an owner, and the faults of the steps that write.

use super::node::{Flight, Owner, Request};
use super::*;
use crate::store::failure;
use dogwoodlb_external::table::Outcome;
use dogwoodlb_external::{Category, Result};
use dogwoodlb_ledger::{Commit, Next};

impl Owner {
    /// Returns the step of the transaction in flight; opening a session is none.
    fn step(&self, commit: &Commit) -> Option<Step> {
        match self.asked {
            Some(Request::Session) => None,
            Some(Request::Submit(..)) => Some("submit"),
            Some(Request::Fetch(..)) => Some("deliver"),
            Some(Request::Acknowledge(..)) => Some("acknowledge"),
            Some(Request::Publish(..)) => Some("publish"),
            None => commit.txn.deletes.is_empty().then_some("flush transaction"),
        }
    }
}

impl World {
    /// Moves the transaction in flight on; returns nothing if the owner is gone.
    pub(super) fn run_flight(
        &mut self,
        index: usize,
        mut owner: Owner,
        faults: &mut Faults,
    ) -> Option<Owner> {
        let next = match owner.flight.take() {
            None => return Some(owner),
            Some(Flight::Objects(commit)) => {
                return self.store_objects(index, owner, commit, faults);
            }
            Some(Flight::Commit(commit)) => {
                let fault = owner.step(&commit).and_then(|step| faults.at(step));
                if !self.begin(index, fault) {
                    owner.flight = Some(Flight::Commit(commit));
                    return self.survivor(index, owner);
                }
                let reply = self.send(index, &owner, &commit, fault);
                if fault == Some(Fault::CrashAfter) {
                    self.nodes[index].crash(self.now);
                    return None;
                }
                owner.ledger.on_commit(commit.operation, reply)
            }
            Some(Flight::ReadBack(operation, key)) => {
                let row = match self.is_cut(index) {
                    true => Err(failure(Category::NotSent)),
                    false => self.store.read(self.now, &key),
                };
                owner.ledger.on_read_back(operation, row)
            }
        };
        self.follow(index, owner, next)
    }

    fn survivor(&self, index: usize, owner: Owner) -> Option<Owner> {
        self.nodes[index].restart_at.is_none().then_some(owner)
    }

    fn follow(&mut self, index: usize, mut owner: Owner, next: Next) -> Option<Owner> {
        match next {
            Next::Done(done) => {
                self.complete(&mut owner, &done);
                if let Some(request) = owner.asked.take() {
                    self.reply(index, &request, Some(done));
                }
            }
            Next::ReadBack { operation, key } => {
                owner.flight = Some(Flight::ReadBack(operation, key));
            }
            Next::Resend(commit) => owner.flight = Some(Flight::Commit(commit)),
            Next::OwnershipLost(_) => {
                if let Some(request) = owner.asked.take() {
                    self.reply(index, &request, None);
                }
                return None;
            }
            Next::Ignored => panic!("reply ignored"),
        }
        self.survivor(index, owner)
    }

    /// Stores the objects of a flush; a failed put is repeated.
    fn store_objects(
        &mut self,
        index: usize,
        mut owner: Owner,
        commit: Commit,
        faults: &mut Faults,
    ) -> Option<Owner> {
        let fault = faults.at("flush object");
        if !self.begin(index, fault) {
            owner.flight = Some(Flight::Objects(commit));
            return self.survivor(index, owner);
        }
        if fault == Some(Fault::PeerCut) {
            self.nodes[index].store_cut_until = self.now + PEER_CUT_MS;
        }
        let mut is_stored = fault != Some(Fault::Delay) && self.put(index, &commit);
        match fault {
            Some(Fault::CrashAfter) => {
                self.nodes[index].crash(self.now);
                return None;
            }
            Some(Fault::Repeated) => is_stored = self.put(index, &commit),
            Some(Fault::ReplyLost) => is_stored = false,
            Some(Fault::Delay) => {
                let due = self.now + DELAY_MS;
                self.late_objects.push((due, commit.objects.clone()));
            }
            _ => {}
        }
        owner.flight = Some(match is_stored {
            true => Flight::Commit(commit),
            false => Flight::Objects(commit),
        });
        Some(owner)
    }

    fn put(&mut self, index: usize, commit: &Commit) -> bool {
        let now = self.now;
        !self.is_cut(index)
            && commit
                .objects
                .iter()
                .all(|object| self.store.put(now, &object.name, &object.body).is_ok())
    }

    fn send(
        &mut self,
        index: usize,
        owner: &Owner,
        commit: &Commit,
        fault: Option<Fault>,
    ) -> Result<Outcome> {
        if fault == Some(Fault::PeerCut) {
            self.nodes[index].store_cut_until = self.now + PEER_CUT_MS;
        }
        if self.is_cut(index) || !self.put(index, commit) {
            return Err(failure(Category::NotSent));
        }
        if fault == Some(Fault::Delay) {
            self.store.delay(self.now + DELAY_MS, &commit.txn);
            return Err(failure(Category::Ambiguous));
        }
        let outcome = self.store.commit(self.now, &commit.txn);
        if matches!(outcome, Ok(Outcome::Applied { .. })) {
            let current = node::fence(&self.store).version;
            assert_eq!(owner.row_version, current, "a stale write took effect");
        }
        // The trainer repeats its request, and a second copy reaches the table later.
        if fault == Some(Fault::Repeated) && outcome.is_ok() {
            self.nodes[index].requests.extend(owner.asked.clone());
            self.store.delay(self.now + 1_000, &commit.txn);
        }
        match fault {
            Some(Fault::ReplyLost) => Err(failure(Category::Ambiguous)),
            _ => outcome,
        }
    }
}
