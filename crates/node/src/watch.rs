//! The thread that watches upstreams: their load, and which of them are leaving.

use crate::lock;
use crate::shared::Shared;
use dogwoodlb_external::vms::State;
use dogwoodlb_types::{id, Instant};
use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(250);
const VMS_INTERVAL: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Watches the upstreams until the node stops.
pub(crate) fn run(shared: &Arc<Shared>) {
    let mut next = Instant::default();
    while !shared.is_stopped() {
        let now = shared.now();
        if now >= next {
            next = now + VMS_INTERVAL;
            read_vms(shared);
        }
        read_loads(shared);
        let in_flight = shared.requests.load(Ordering::SeqCst);
        shared.metrics.gauge("in_flight", in_flight as u64);
        std::thread::sleep(TICK);
    }
}

/// Takes in the list of VMs; while it can't be read, what it said last stays in force.
fn read_vms(shared: &Shared) {
    let vms = match shared.platform.vms.list(CALL_TIMEOUT) {
        Ok(vms) => vms,
        Err(error) => {
            tracing::debug!(%error, "vms_not_read");
            return;
        }
    };
    lock(&shared.members).on_vm_list(&vms);
    let manifest = lock(&shared.adoption).manifest().cloned();
    let Some(manifest) = manifest else {
        return;
    };
    let leaving: HashSet<&id::Vm> = vms
        .iter()
        .filter(|vm| vm.state == State::Leaving)
        .map(|vm| &vm.name)
        .collect();
    let engines = manifest.engines.iter().map(|one| (&one.vm, &one.upstream));
    let replicas = manifest
        .services
        .iter()
        .flat_map(|service| &service.replicas);
    let upstreams = engines.chain(replicas.map(|one| (&one.vm, &one.upstream)));
    let upstreams: HashSet<id::Upstream> = upstreams
        .filter(|(vm, _)| leaving.contains(vm))
        .map(|(_, upstream)| upstream.clone())
        .collect();
    shared.upstreams.set_leaving(&manifest, &upstreams);
}

/// Reads the load of the engines that no reply has told about.
fn read_loads(shared: &Arc<Shared>) {
    for group in shared.upstreams.models() {
        for (upstream, address) in group.idle() {
            let (one, group) = (shared.clone(), group.clone());
            // A read that finds no thread free is repeated.
            shared.workers.run(move || {
                if let Ok(load) = one.platform.engine.load(address, CALL_TIMEOUT) {
                    group.on_load(&upstream, load.running, load.waiting);
                }
            });
        }
    }
}
