//! The thread that polls the load of engines and the VM inventory for leaving upstreams.

use crate::lock;
use crate::shared::Shared;
use dogwoodlb_external::vms::State;
use dogwoodlb_types::{id, Instant};
use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Interval between polls of the load of engines.
const TICK: Duration = Duration::from_millis(250);
const VMS_INTERVAL: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Polls load and VM states until the node stops.
pub(crate) fn run(shared: &Arc<Shared>) {
    let mut next_vms_read_at = Instant::default();
    while !shared.is_stopped() {
        let now = shared.now();
        if now >= next_vms_read_at {
            next_vms_read_at = now + VMS_INTERVAL;
            read_vms(shared);
        }
        read_loads(shared);
        let in_flight = shared.in_flight.load(Ordering::SeqCst);
        shared.metrics.gauge("in_flight", in_flight as u64);
        std::thread::sleep(TICK);
    }
}

/// Reads the VM inventory; if it can't be read, the previous state is kept.
fn read_vms(shared: &Shared) {
    let vms = match shared.platform.vms.list(CALL_TIMEOUT) {
        Ok(vms) => vms,
        Err(error) => {
            tracing::debug!(%error, "vm_list_failed");
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
    let engines = manifest
        .engines
        .iter()
        .map(|entry| (&entry.vm, &entry.upstream));
    let replicas = manifest
        .services
        .iter()
        .flat_map(|service| &service.replicas);
    let upstreams = engines.chain(replicas.map(|entry| (&entry.vm, &entry.upstream)));
    let upstreams: HashSet<id::Upstream> = upstreams
        .filter(|(vm, _)| leaving.contains(vm))
        .map(|(_, upstream)| upstream.clone())
        .collect();
    shared.upstreams.set_leaving(&manifest, &upstreams);
}

/// Polls the load of engines without a recent load report.
fn read_loads(shared: &Arc<Shared>) {
    for replica_set in shared.upstreams.models() {
        for (upstream, address) in replica_set.replicas_to_poll() {
            let (state, replica_set) = (shared.clone(), replica_set.clone());
            // If the worker queue is full, the read is repeated in the next round.
            shared.workers.run(move || {
                if let Ok(load) = state.platform.engine.read_load(address, CALL_TIMEOUT) {
                    replica_set.on_load(&upstream, load.running, load.waiting);
                }
            });
        }
    }
}
