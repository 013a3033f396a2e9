use dogwoodlb_types::id;
use dogwoodlb_wire::Update;

/// Retransmissions per update, as a multiple of the logarithm of the cluster size, following the
/// analysis in the SWIM paper.
const RETRANSMIT_FACTOR: u32 = 2;

/// The updates to disseminate: at most one per member, each sent a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    update: Update,
    /// The number of frames that carried the update.
    transmissions: u32,
}

impl Gossip {
    /// Queues an update, replacing any earlier one about the same member.
    pub(crate) fn push(&mut self, update: Update) {
        self.remove(&update.vm);
        self.entries.push(Entry {
            update,
            transmissions: 0,
        });
    }

    pub(crate) fn remove(&mut self, vm: &id::Vm) {
        self.entries.retain(|entry| entry.update.vm != *vm);
    }

    /// Returns up to `room` updates for one frame, most recent first.
    ///
    /// Oldest-first order would delay important updates: after a start of the whole cluster there
    /// is an update about every member, and with 320 nodes a later announcement would be queued
    /// behind them for many seconds.
    pub(crate) fn take(&mut self, room: usize, members: usize) -> Vec<Update> {
        let mut updates = Vec::new();
        for entry in self.entries.iter_mut().rev().take(room) {
            entry.transmissions += 1;
            updates.push(entry.update.clone());
        }
        let limit = RETRANSMIT_FACTOR * (members.max(1).ilog2() + 1);
        self.entries.retain(|entry| entry.transmissions < limit);
        updates
    }
}
