use crate::membership::{Action, Membership};
use crate::peer_record::MAX_INCARNATION;
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{State, Update};
use std::time::Duration;

/// Suspicion timeout of a small, healthy cluster. It allows a suspicion to reach its target and
/// the refutation to return at 20% packet loss; both travel on pings sent every 500 ms.
const BASE_SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

impl Membership {
    /// Merges an update about a member.
    pub(crate) fn merge(&mut self, update: &Update, now: Instant, actions: &mut Vec<Action>) {
        if update.incarnation > MAX_INCARNATION {
            return;
        }
        if update.vm == self.vm {
            return self.refute(update.state, update.incarnation);
        }
        let timeout = self.suspicion_timeout();
        let Some(record) = self.peers.get_mut(&update.vm) else {
            return;
        };
        if !record.is_superseded_by(update.state, update.incarnation) {
            return;
        }
        let changed = record.state != update.state || record.incarnation != update.incarnation;
        record.state = update.state;
        record.incarnation = update.incarnation;
        record.suspected_until = (update.state == State::Suspect).then(|| now + timeout);
        self.gossip.push(update.clone());
        if changed {
            actions.push(Action::Changed {
                vm: update.vm.clone(),
                state: update.state,
                incarnation: update.incarnation,
            });
        }
    }

    /// Refutes a false update about this node with a higher incarnation.
    fn refute(&mut self, state: State, incarnation: id::Incarnation) {
        let is_newer = incarnation > self.incarnation;
        let is_worse = incarnation == self.incarnation && state > self.state;
        // A leaving node has no reason to refute that it is suspected or dead.
        if self.state != State::Alive && !is_newer {
            return;
        }
        if is_newer || is_worse {
            self.incarnation = incarnation.next();
            self.gossip.push(self.own_update());
            // A suspicion of the current incarnation means that this node responds too slowly.
            if is_worse && state == State::Suspect {
                self.degrade_local_health();
            }
        }
    }

    /// Suspects a peer that did not acknowledge a probe, or declares it dead if it is leaving.
    pub(crate) fn suspect(&mut self, vm: &id::Vm, now: Instant, actions: &mut Vec<Action>) {
        let Some(record) = self.peers.get(vm) else {
            return;
        };
        let state = match record.state {
            State::Alive => State::Suspect,
            // Nothing depends on a leaving peer, so it gets no time to refute.
            State::Leaving => State::Dead,
            State::Suspect | State::Dead => return,
        };
        let update = Update {
            vm: vm.clone(),
            state,
            incarnation: record.incarnation,
        };
        self.merge(&update, now, actions);
    }

    /// Declares peers dead that did not refute a suspicion in time.
    pub(crate) fn expire_suspicions(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let expired: Vec<Update> = self
            .peers
            .iter()
            .filter(|(_, record)| record.suspected_until.is_some_and(|at| at <= now))
            .map(|(vm, record)| Update {
                vm: vm.clone(),
                state: State::Dead,
                incarnation: record.incarnation,
            })
            .collect();
        for update in expired {
            self.merge(&update, now, actions);
        }
    }

    /// Returns the suspicion timeout; it grows with the cluster size, because updates take longer
    /// to spread, and with poor local health.
    fn suspicion_timeout(&self) -> Duration {
        // The lower bound keeps the logarithm from being less than 1.
        let members = self.peers.len().max(10) as f64;
        BASE_SUSPICION_TIMEOUT.mul_f64(members.log10()) * (1 + self.local_health)
    }
}
