//! The lease: read, take over, renew and release, with three candidates whose clocks differ.

use crate::fault::*;
use crate::store::{failure, Store};
use dogwoodlb_external::table::Txn;
use dogwoodlb_external::Category;
use dogwoodlb_lease::{Action, Guard, Lease, LeaseName};
use dogwoodlb_types::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;

const CANDIDATES: usize = 3;
const TICK_MS: u64 = 50;
const RELEASE_AT_MS: u64 = 20_000;
const FENCE_KEY: &str = "lease/trainer/weld/fence";
const DATA_KEY: &str = "data";

pub(crate) const PATH: Path = Path {
    name: "lease",
    steps: &["read", "take over", "renew", "release"],
    writes: &["take over", "renew", "release"],
    run,
    excuse: |_, _| None,
};

struct Candidate {
    lease: Lease,
    incarnation: u64,
    /// The rate of the clock in thousandths.
    rate: u64,
    flight: Option<Action>,
    paused_until: u64,
    restart_at: Option<u64>,
    store_cut_until: u64,
    is_releasing: bool,
}

struct World {
    now: u64,
    rng: SmallRng,
    store: Store,
    candidates: Vec<Candidate>,
    last_fence: id::Fence,
    is_released: bool,
}

fn lease(index: usize, incarnation: u64) -> Lease {
    let name = LeaseName::Trainer("weld".parse().unwrap());
    let vm = format!("entry-{index}").parse().unwrap();
    Lease::new(name, vm, id::Incarnation(incarnation), index)
}

impl Candidate {
    fn new(index: usize) -> Self {
        Self {
            lease: lease(index, 0),
            incarnation: 0,
            rate: 990 + 10 * index as u64,
            flight: None,
            paused_until: 0,
            restart_at: None,
            store_cut_until: 0,
            is_releasing: false,
        }
    }

    fn local(&self, now: u64) -> Instant {
        Instant::from_millis(now * self.rate / 1_000 + self.rate * 7_777)
    }

    fn held(&self, now: u64) -> Option<Guard> {
        self.lease.held(self.local(now))
    }

    fn crash(&mut self, now: u64) {
        self.restart_at = Some(now + RESTART_MS);
        self.flight = None;
    }

    fn is_up(&self, now: u64) -> bool {
        self.restart_at.is_none() && self.paused_until <= now
    }

    fn is_faulty(&self, now: u64) -> bool {
        !self.is_up(now) || now < self.store_cut_until
    }
}

fn run(faults: &mut Faults, seed: u64) {
    let mut world = World {
        now: 0,
        rng: SmallRng::seed_from_u64(seed),
        store: Store::default(),
        candidates: (0..CANDIDATES).map(Candidate::new).collect(),
        last_fence: id::Fence(0),
        is_released: false,
    };
    let mut calm_ms = 0;
    // 40 s without a fault are enough for late requests and a takeover.
    while calm_ms < 40_000 || !world.is_released {
        assert!(world.now < 3 * OUTAGE_MS, "stuck");
        world.tick(faults);
        let is_calm = world.now >= world.store.down_until
            && !world.candidates.iter().any(|own| own.is_faulty(world.now));
        calm_ms = if is_calm { calm_ms + TICK_MS } else { 0 };
    }
    let held = world
        .candidates
        .iter()
        .filter_map(|own| own.held(world.now));
    assert_eq!(held.count(), 1, "no holder after the faults");
    let stuck = world.candidates.iter().any(|own| own.is_releasing);
    assert!(!stuck, "a release does not end");
}

impl World {
    fn tick(&mut self, faults: &mut Faults) {
        let left = self.store.down_until.saturating_sub(self.now);
        self.now += if left > 60_000 { 1_000 } else { TICK_MS };
        self.store.advance(self.now);
        for index in 0..CANDIDATES {
            self.advance(index, faults);
            self.check();
        }
        self.release();
    }

    fn advance(&mut self, index: usize, faults: &mut Faults) {
        let now = self.now;
        let candidate = &mut self.candidates[index];
        if candidate.restart_at.is_some_and(|at| at <= now) {
            candidate.restart_at = None;
            candidate.incarnation += 1;
            candidate.is_releasing = false;
            candidate.lease = lease(index, candidate.incarnation);
        }
        if !candidate.is_up(now) {
            return;
        }
        let local = candidate.local(now);
        let is_new = candidate.flight.is_none();
        let action = candidate.flight.take();
        let action = action.or_else(|| candidate.lease.poll(local, &mut self.rng));
        if let Some(action) = action {
            let fault = match is_new {
                true => faults.at(step(&action)),
                false => None,
            };
            self.perform(index, action, fault);
        }
        self.write_data(index);
    }

    fn perform(&mut self, index: usize, action: Action, fault: Option<Fault>) {
        let now = self.now;
        let candidate = &mut self.candidates[index];
        match fault {
            Some(Fault::CrashBefore) => return candidate.crash(now),
            Some(Fault::Freeze) => {
                candidate.paused_until = now + FREEZE_MS;
                candidate.flight = Some(action);
                return;
            }
            Some(Fault::StoreDown) => self.store.down_until = now + OUTAGE_MS,
            Some(Fault::PeerCut) => candidate.store_cut_until = now + PEER_CUT_MS,
            // Each region takes its own members for all that live.
            Some(Fault::RegionCut) => {
                candidate.store_cut_until = now + REGION_CUT_MS;
                self.candidates
                    .iter_mut()
                    .for_each(|own| own.lease.set_rank(0));
            }
            // The winner lists other VMs, which changes the ranks.
            Some(Fault::TwoOperators) => {
                let ranked = self.candidates.iter_mut().rev().enumerate();
                ranked.for_each(|(rank, own)| own.lease.set_rank(rank));
            }
            _ => {}
        }
        self.request(index, action, fault);
        if fault == Some(Fault::CrashAfter) {
            self.candidates[index].crash(now);
        }
    }

    fn request(&mut self, index: usize, action: Action, fault: Option<Fault>) {
        let now = self.now;
        let candidate = &mut self.candidates[index];
        let local = candidate.local(now);
        let is_cut = now < candidate.store_cut_until;
        let is_lost = matches!(fault, Some(Fault::Delay | Fault::ReplyLost));
        match action {
            Action::Read { request_id, prefix } => {
                let rows = match is_cut || is_lost {
                    true => Err(failure(Category::Ambiguous)),
                    false => self.store.scan(now, &prefix),
                };
                candidate.lease.on_read(local, request_id, rows).unwrap();
            }
            Action::Commit { request_id, txn } => {
                let outcome = if is_cut {
                    Err(failure(Category::NotSent))
                } else if fault == Some(Fault::Delay) {
                    self.store.delay(now + DELAY_MS, &txn);
                    Err(failure(Category::Ambiguous))
                } else {
                    self.store.commit(now, &txn)
                };
                if fault == Some(Fault::Repeated) && outcome.is_ok() {
                    self.store.delay(now + 1_000, &txn);
                }
                let outcome = match is_lost {
                    true => Err(failure(Category::Ambiguous)),
                    false => outcome,
                };
                candidate.lease.on_commit(local, request_id, outcome);
            }
        }
    }

    /// Writes a row as the holder, and sends a second copy that arrives late.
    fn write_data(&mut self, index: usize) {
        let candidate = &self.candidates[index];
        let Some(guard) = candidate
            .held(self.now)
            .filter(|_| self.now.is_multiple_of(1_000))
        else {
            return;
        };
        let txn = Txn::new()
            .check(FENCE_KEY, guard.fence_row_version)
            .put(DATA_KEY, guard.fence.to_string());
        self.store.delay(self.now + DELAY_MS, &txn);
        let _ = self.store.commit(self.now, &txn);
    }

    /// The holder after `RELEASE_AT_MS` gives the lease up, as a node that leaves does.
    fn release(&mut self) {
        let now = self.now;
        for candidate in &mut self.candidates {
            let is_holder = candidate.held(now).is_some() && candidate.is_up(now);
            if is_holder && !self.is_released && now >= RELEASE_AT_MS {
                self.is_released = true;
                candidate.is_releasing = true;
                candidate.lease.release();
            }
            if candidate.is_releasing && candidate.lease.is_released() {
                candidate.is_releasing = false;
                candidate.crash(now);
            }
        }
    }

    /// At most one candidate holds the lease, frozen or not, and no stale write took effect.
    fn check(&mut self) {
        let now = self.now;
        let crashed = |own: &&Candidate| own.restart_at.is_none();
        let guards = self.candidates.iter().filter(crashed);
        let guards: Vec<Guard> = guards.filter_map(|own| own.held(now)).collect();
        assert!(guards.len() <= 1, "two holders at {now} ms: {guards:?}");
        for guard in guards {
            assert!(guard.fence >= self.last_fence, "the fencing token fell");
            self.last_fence = guard.fence;
        }
        let table = &self.store.table;
        if table.version(DATA_KEY) > table.version(FENCE_KEY) {
            let data = &table.scan(DATA_KEY)[0].value;
            let fence = &table.scan(FENCE_KEY)[0].value;
            let is_current = fence.contains(&format!("\"fence\":{data},"));
            assert!(is_current, "stale write: {data} under {fence}");
        }
    }
}

fn step(action: &Action) -> Step {
    match action {
        Action::Read { .. } => "read",
        Action::Commit { txn, .. } if txn.puts[0].key == FENCE_KEY => "take over",
        Action::Commit { txn, .. } if txn.puts[0].value.contains("\"released\":true") => "release",
        Action::Commit { .. } => "renew",
    }
}
