//! The thread that polls the table for the current manifest and applies it.

use crate::lock;
use crate::shared::Shared;
use dogwoodlb_manifest::adopt::{Action, Event};
use dogwoodlb_manifest::record::{self, CURRENT};
use dogwoodlb_member::Peer;
use dogwoodlb_types::id;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

/// Interval between polls of the adoption core.
const TICK: Duration = Duration::from_millis(50);

/// Timeout of table calls. A read is valid for 3 s from the time at which it was sent, so a slower
/// one would be of little use and is treated as failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Polls the adoption core until the node stops.
pub(crate) fn run(shared: &Arc<Shared>, rng: &mut SmallRng) {
    let mut reported = 0;
    while !shared.is_stopped() {
        drive(shared, Event::Tick, rng);
        let older_reads = lock(&shared.adoption).counters().older_reads;
        if older_reads > reported {
            shared.metrics.count("manifest.refused");
            reported = older_reads;
        }
        std::thread::sleep(TICK);
    }
}

/// Passes an event to the adoption core and executes the resulting actions.
pub(crate) fn drive(shared: &Arc<Shared>, event: Event, rng: &mut SmallRng) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        let now = shared.now();
        let actions = lock(&shared.adoption).on_event(event, now, rng);
        for action in actions {
            events.extend(execute(shared, action, rng));
        }
    }
}

fn execute(shared: &Arc<Shared>, action: Action, rng: &mut SmallRng) -> Option<Event> {
    let table = &shared.platform.table;
    match action {
        Action::Read => {
            let sent_at = shared.now();
            let row = table.read(CURRENT, CALL_TIMEOUT);
            shared.count_store_failure(&row);
            Some(match row {
                Ok(row) => Event::Read { sent_at, row },
                Err(_) => Event::ReadFailed,
            })
        }
        Action::ReadRevision(revision) => {
            let row = table.read(&record::key(revision), CALL_TIMEOUT);
            shared.count_store_failure(&row);
            Some(match row {
                Ok(row) => Event::Revision { row },
                Err(_) => Event::ReadFailed,
            })
        }
        Action::Close(txn) => {
            let outcome = table.commit(&txn, CALL_TIMEOUT);
            shared.count_store_failure(&outcome);
            shared
                .recorder
                .record(shared.timestamp(), "proposal_closed", |event| event);
            None
        }
        Action::Adopted(revision) => {
            apply_adopted(shared, revision, rng);
            None
        }
    }
}

/// Applies a newly adopted manifest to upstreams, link share, peers, owners and swappers.
fn apply_adopted(shared: &Arc<Shared>, revision: id::Revision, rng: &mut SmallRng) {
    shared.metrics.gauge("manifest.revision", revision.0);
    shared
        .recorder
        .record(shared.timestamp(), "manifest_adopted", |event| {
            event.with("revision", revision)
        });
    let Some(manifest) = shared.build_upstreams() else {
        return;
    };
    shared.set_link_share(&manifest);
    let peers: Vec<Peer> = manifest
        .entry_vms
        .iter()
        .map(|entry| Peer {
            vm: entry.vm.clone(),
            address: entry.peer,
        })
        .collect();
    if let Err(error) = lock(&shared.members).set_peers(&peers, rng) {
        tracing::error!(%error, "peer_list_rejected");
    }
    crate::trainer_calls::start_owners(shared, &manifest);
    crate::swapper::start(shared, &manifest);
}
