use dogwoodlb_types::id;
use dogwoodlb_wire::Update;

/// Multiplies the logarithm of the cluster's size, as SWIM's analysis asks for.
const RETRANSMIT_FACTOR: u32 = 2;

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

    /// Takes the latest news for one frame.
    ///
    /// Older news waits: after a start of the whole cluster there is news about every member,
    /// and at 320 nodes a later announcement would be held up for many seconds behind it.
    pub(crate) fn take(&mut self, room: usize, members: usize) -> Vec<Update> {
        let mut updates = Vec::new();
        for entry in self.entries.iter_mut().rev().take(room) {
            entry.sent += 1;
            updates.push(entry.update.clone());
        }
        let limit = RETRANSMIT_FACTOR * (members.max(1).ilog2() + 1);
        self.entries.retain(|entry| entry.sent < limit);
        updates
    }
}
