use crate::membership::{Action, Membership};
use crate::record::MAX_INCARNATION;
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{State, Update};
use std::time::Duration;

/// Long enough for a suspicion to reach its target and for the refutation to return at 20%
/// loss, both of which travel on pings that are 500 ms apart.
const SUSPICION: Duration = Duration::from_secs(4);

impl Membership {
    /// Takes in a statement about a member.
    pub(crate) fn merge(&mut self, update: &Update, now: Instant, actions: &mut Vec<Action>) {
        if update.incarnation > MAX_INCARNATION {
            return;
        }
        if update.vm == self.vm {
            return self.refute(update.state, update.incarnation);
        }
        let timeout = self.suspicion();
        let Some(record) = self.peers.get_mut(&update.vm) else {
            return;
        };
        if !record.yields_to(update.state, update.incarnation) {
            return;
        }
        let changed = record.state != update.state || record.incarnation != update.incarnation;
        record.state = update.state;
        record.incarnation = update.incarnation;
        record.expires = (update.state == State::Suspect).then(|| now + timeout);
        self.gossip.push(update.clone());
        if changed {
            actions.push(Action::Changed {
                vm: update.vm.clone(),
                state: update.state,
                incarnation: update.incarnation,
            });
        }
    }

    /// Answers a false statement about this node with a higher incarnation.
    fn refute(&mut self, state: State, incarnation: id::Incarnation) {
        let newer = incarnation > self.incarnation;
        let worse = incarnation == self.incarnation && state > self.state;
        // A leaving node is not served by contradicting that it is gone.
        if self.state != State::Alive && !newer {
            return;
        }
        if newer || worse {
            self.incarnation = incarnation.next();
            self.gossip.push(self.own_update());
            if worse && state == State::Suspect {
                self.degrade();
            }
        }
    }

    /// Marks a peer that did not answer a probe.
    pub(crate) fn suspect(&mut self, vm: &id::Vm, now: Instant, actions: &mut Vec<Action>) {
        let Some(record) = self.peers.get(vm) else {
            return;
        };
        let state = match record.state {
            State::Alive => State::Suspect,
            // Nothing depends on a leaving peer, so it needs no time to refute.
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

    /// Declares dead the peers that did not refute a suspicion in time.
    pub(crate) fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let expired: Vec<Update> = self
            .peers
            .iter()
            .filter(|(_, record)| record.expires.is_some_and(|at| at <= now))
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

    /// Returns how long a suspicion lasts; news needs longer to travel in a larger cluster.
    fn suspicion(&self) -> Duration {
        let members = self.peers.len().max(10) as f64;
        SUSPICION.mul_f64(members.log10()) * (1 + self.health)
    }
}
