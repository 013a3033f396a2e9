//! Calls of trainers and their dispatch to the owner thread.

use crate::lease_manager::LeaseManager;
use crate::lock;
use crate::owner::Owner;
use crate::shared::{Mailbox, Shared};
use dogwoodlb_lease::LeaseName;
use dogwoodlb_ledger::{Content, Delivery};
use dogwoodlb_manifest::Manifest;
use dogwoodlb_types::{id, Code, Instant, Refusal};
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Calls of a trainer that may queue for its owner; further calls are refused.
const MAILBOX_CAPACITY: usize = 64;

/// The command of a trainer's call.
#[derive(Debug)]
pub(crate) enum Command {
    Session,
    Submit {
        session: id::Session,
        step: id::Step,
        content: Content,
    },
    Fetch {
        session: id::Session,
        step: id::Step,
        deadline: Instant,
    },
    Acknowledge {
        session: id::Session,
        step: id::Step,
        delivery: id::Delivery,
    },
    Publish {
        session: id::Session,
        version: id::Version,
        object: String,
    },
}

/// The successful result of a trainer's call.
#[derive(Debug)]
pub(crate) enum Reply {
    Session {
        session: id::Session,
        version: id::Version,
        next: id::Step,
    },
    Done,
    Waiting(dogwoodlb_ledger::Progress),
    Delivered(Delivery),
}

/// A call of a trainer with its reply channel.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) command: Command,
    pub(crate) reply: SyncSender<Result<Reply, Refusal>>,
}

/// Starts an owner thread for each trainer of the manifest that doesn't have one.
pub(crate) fn start_owners(shared: &Arc<Shared>, manifest: &Manifest) {
    let mut trainers = lock(&shared.trainers);
    trainers.retain(|name, mailbox| {
        let is_listed = manifest.trainers.iter().any(|entry| entry.trainer == *name);
        if !is_listed {
            mailbox.lease.retire();
        }
        is_listed
    });
    for trainer in &manifest.trainers {
        if trainers.contains_key(&trainer.trainer) {
            continue;
        }
        let name = trainer.trainer.clone();
        let Ok(lease) = LeaseManager::new(shared, LeaseName::Trainer(name.clone())) else {
            continue;
        };
        let lease = Arc::new(lease);
        let (calls, inbox) = sync_channel(MAILBOX_CAPACITY);
        trainers.insert(
            name.clone(),
            Mailbox {
                calls,
                lease: lease.clone(),
            },
        );
        shared.start_lease(&lease);
        let shared = shared.clone();
        let spawned = thread::Builder::new()
            .name("owner".to_owned())
            .spawn(move || {
                Owner::new(shared, name, lease).run(&inbox);
            });
        if let Err(error) = spawned {
            tracing::error!(%error, "thread_spawn_failed");
        }
    }
}

impl Shared {
    /// Returns the refusal that redirects a call to the trainer's owner, if it is known.
    pub(crate) fn wrong_node(&self, lease: &LeaseManager) -> Refusal {
        let holder = lease.holder().filter(|vm| *vm != self.settings.vm);
        let owner = holder.and_then(|vm| {
            let adoption = lock(&self.adoption);
            let entries = &adoption.manifest()?.entry_vms;
            entries
                .iter()
                .find(|entry| entry.vm == vm)
                .map(|entry| entry.address)
        });
        not_owner(owner)
    }
}

/// Returns the refusal of a call to a node that doesn't own the trainer; `owner` is the address of
/// the node that does, if it is known.
pub(crate) fn not_owner(owner: Option<SocketAddr>) -> Refusal {
    let message = "this node does not own the trainer: call its owner, or retry if it has none yet";
    let refusal = Refusal::not_run(Code::WrongNode, message).owner(owner);
    refusal.retry_after(Duration::from_millis(500))
}
