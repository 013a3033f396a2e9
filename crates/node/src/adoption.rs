//! The thread that keeps the manifest up to date.

use crate::lock;
use crate::shared::Shared;
use dogwoodlb_manifest::adopt::{Action, Event};
use dogwoodlb_manifest::record::{self, CURRENT};
use dogwoodlb_member::Peer;
use dogwoodlb_types::id;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// A read that takes longer counts as failed; a later answer would prove little.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Runs the adoption core until the node stops.
pub(crate) fn run(shared: &Arc<Shared>, rng: &mut SmallRng) {
    let mut refused = 0;
    while !shared.is_stopped() {
        drive(shared, Event::Tick, rng);
        let older = lock(&shared.adoption).counters().older_reads;
        if older > refused {
            shared.metrics.count("manifest.refused");
            refused = older;
        }
        std::thread::sleep(TICK);
    }
}

/// Hands an event to the core and carries out what follows from it.
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
            let began = shared.now();
            let row = table.read(CURRENT, CALL_TIMEOUT);
            shared.count_store_failure(&row);
            Some(match row {
                Ok(row) => Event::Read { began, row },
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
            adopted(shared, revision, rng);
            None
        }
    }
}

/// Brings the node in line with a manifest that it has just adopted.
fn adopted(shared: &Arc<Shared>, revision: id::Revision, rng: &mut SmallRng) {
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
        tracing::error!(%error, "peers_refused");
    }
    crate::trainer_calls::start_owners(shared, &manifest);
    crate::swapper::start(shared, &manifest);
}
