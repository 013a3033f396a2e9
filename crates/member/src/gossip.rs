use dogwoodlb_types::id;
use dogwoodlb_wire::Update;

/// Multiplies the logarithm of the cluster's size; SWIM's analysis needs a small constant,
/// and 3 still reaches every node at 20% loss.
const RETRANSMIT_FACTOR: u32 = 3;

/// The news to spread, one entry for each member, each sent a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    update: Update,
    sent: u32,
}

impl Gossip {
    /// Queues news about a member in place of older news about it.
    pub(crate) fn push(&mut self, update: Update) {
        self.remove(&update.vm);
        self.entries.push(Entry { update, sent: 0 });
    }

    pub(crate) fn remove(&mut self, vm: &id::Vm) {
        self.entries.retain(|entry| entry.update.vm != *vm);
    }

    /// Takes the news that was sent least often, for one frame.
    pub(crate) fn take(&mut self, room: usize, members: usize) -> Vec<Update> {
        self.entries.sort_by_key(|entry| entry.sent);
        let mut taken = Vec::new();
        for entry in self.entries.iter_mut().take(room) {
            entry.sent += 1;
            taken.push(entry.update.clone());
        }
        let limit = RETRANSMIT_FACTOR * (members.max(1).ilog2() + 1);
        self.entries.retain(|entry| entry.sent < limit);
        taken
    }
}
