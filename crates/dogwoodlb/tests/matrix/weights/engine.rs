//! An engine: which orders it takes, and the faults while it loads.

use super::*;
use dogwoodlb_external::engine::Action as Kind;
use std::collections::BTreeSet;

#[derive(Default)]
pub(super) struct Engine {
    pub(super) checks_fencing: bool,
    pub(super) version: Option<u64>,
    /// The version and when it is loaded.
    pub(super) loading: Option<(u64, u64)>,
    pub(super) fails: bool,
    pub(super) crashes: bool,
    pub(super) restart_at: Option<u64>,
    pub(super) fence: id::Fence,
    pub(super) seen: BTreeSet<id::Operation>,
}

impl World {
    pub(super) fn receive(&mut self, engine: usize, order: &Order, faults: &mut Faults) -> Outcome {
        let now = self.now;
        let Kind::LoadVersion { version, .. } = &order.action else {
            panic!("unexpected order");
        };
        let state = &mut self.engines[engine];
        let is_expired = order.not_after_ms.as_millis() < EPOCH_MS + now as i64;
        if state.restart_at.is_some() {
            return Outcome::NotSent;
        }
        if state.checks_fencing && order.fence < state.fence {
            return Outcome::Fenced;
        }
        if state.checks_fencing && is_expired {
            return Outcome::Refused;
        }
        state.fence = state.fence.max(order.fence);
        if !state.seen.insert(order.order) {
            return Outcome::Accepted;
        }
        let load_ms = 2_000;
        state.loading = Some((version.0, now + load_ms));
        state.fails = false;
        self.load(engine, faults)
    }

    /// The faults of the engine itself.
    fn load(&mut self, engine: usize, faults: &mut Faults) -> Outcome {
        let now = self.now;
        let fault = faults.at("load");
        let state = &mut self.engines[engine];
        let due = state.loading.as_mut().map(|(_, due)| due);
        match (fault, due) {
            (Some(Fault::CrashBefore), _) => {
                state.loading = None;
                state.version = None;
                state.restart_at = Some(now + RESTART_MS);
                return Outcome::Unknown;
            }
            (Some(Fault::CrashAfter), _) => state.crashes = true,
            (Some(Fault::Freeze), Some(due)) => *due += FREEZE_MS,
            // The weights arrive too late, or the weight store's reply is lost.
            (Some(Fault::Delay), Some(due)) => *due += 60_000,
            (Some(Fault::ReplyLost), _) => state.fails = true,
            (Some(Fault::Repeated), Some(due)) => *due += 2_000,
            (Some(Fault::StoreDown), _) => self.store_down_until = now + OUTAGE_MS,
            (Some(Fault::TwoOperators), _) => self.quiet_until = now + QUIET_MS,
            // The engine can't be reached by any node while it loads.
            (Some(Fault::PeerCut), _) => self.cut_engines(PEER_CUT_MS),
            (Some(Fault::RegionCut), _) => self.cut_engines(REGION_CUT_MS),
            _ => {}
        }
        Outcome::Accepted
    }

    fn cut_engines(&mut self, duration_ms: u64) {
        let until = self.now + duration_ms;
        self.nodes
            .iter_mut()
            .for_each(|own| own.engines_cut_until = until);
    }

    pub(super) fn run_engine(&mut self, engine: usize) {
        let now = self.now;
        let state = &mut self.engines[engine];
        state.restart_at = state.restart_at.filter(|at| now < *at);
        let Some((version, _)) = state.loading.take_if(|(_, due)| *due <= now) else {
            return;
        };
        if !std::mem::take(&mut state.fails) {
            state.version = Some(version);
        }
        if std::mem::take(&mut state.crashes) {
            state.version = None;
            state.restart_at = Some(now + RESTART_MS);
        }
    }
}
