//! The faults of a run.

use super::{Event, Sim};

const FROM_MS: u64 = 600_000;
const TO_MS: u64 = 660_000;
/// A holder stops this long after its last renewal.
const LEASE_MS: u64 = 6_000;
/// A silent connection counts as broken after this time, as in the daemon.
const IDLE_TIMEOUT_MS: u64 = 30_000;
const OVERLOAD: f64 = 1.5;
/// The orders of a swap that fail, and the first wait before the next; it doubles.
const FAILED_ORDERS: u32 = 3;
const ORDER_BACKOFF_MS: u64 = 1_000;

/// Which fault a run has, for a minute.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scenario {
    None,
    Crash,
    Swap,
    Store,
    Cut,
    Overload,
}

impl Scenario {
    pub(crate) const ALL: [Self; 6] = [
        Self::None,
        Self::Crash,
        Self::Swap,
        Self::Store,
        Self::Cut,
        Self::Overload,
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Crash => "crash",
            Self::Swap => "swap",
            Self::Store => "store",
            Self::Cut => "cut",
            Self::Overload => "overload",
        }
    }
}

/// Returns when the fault begins and ends.
pub(crate) const fn window() -> (u64, u64) {
    (FROM_MS, TO_MS)
}

impl Sim {
    fn is_during(&self, scenario: Scenario) -> bool {
        self.setup.scenario == scenario && (FROM_MS..TO_MS).contains(&self.now)
    }

    pub(super) fn is_store_down(&self) -> bool {
        self.is_during(Scenario::Store)
    }

    pub(super) fn is_lease_lost(&self) -> bool {
        self.is_store_down() && self.now >= FROM_MS + LEASE_MS
    }

    pub(super) fn is_cut(&self) -> bool {
        self.is_during(Scenario::Cut)
    }

    /// Returns the rate of customers as a share of the capacity.
    pub(super) fn customers(&self) -> f64 {
        if self.is_during(Scenario::Overload) {
            OVERLOAD
        } else {
            self.setup.deployment.customers
        }
    }

    /// Begins and ends crashes and the cut of the region link.
    pub(super) fn fault(&mut self) {
        match (self.setup.scenario, self.now) {
            (Scenario::Crash, FROM_MS) => {
                for request in self.engines[0].crash() {
                    let Some(own) = self.requests.get(&request) else {
                        continue;
                    };
                    let event = Event::Failed(request, own.tries);
                    self.at(self.now + 1, event);
                }
            }
            (Scenario::Crash, TO_MS) => {
                self.engines[0].down = false;
                for trainer in 0..self.trainers.len() {
                    let version = self.trainers[trainer].version;
                    self.on_swap(0, trainer, version, FAILED_ORDERS);
                }
            }
            (Scenario::Cut, FROM_MS) => self.break_link(),
            _ => {}
        }
    }

    fn break_link(&mut self) {
        let broken = self.requests.iter().filter_map(|(name, own)| {
            let (_, engine) = own.pick.as_ref()?;
            self.is_remote(own.node, *engine)
                .then_some((*name, own.tries, *engine))
        });
        let mut broken: Vec<_> = broken.collect();
        broken.sort_unstable();
        for (name, tries, engine) in broken {
            self.wasted += self.engines[engine].cancel(name);
            self.at(self.now + IDLE_TIMEOUT_MS, Event::Failed(name, tries));
        }
    }

    /// Carries out a swap, or fails it on half of the replicas after half of its time.
    pub(super) fn on_swap(&mut self, engine: usize, model: usize, version: u64, tries: u32) {
        if self.engines[engine].down {
            return;
        }
        let longest = self.setup.swap_ms;
        if self.is_during(Scenario::Swap) && engine % 2 == 1 && tries < FAILED_ORDERS {
            let old = self.engines[engine].versions[model];
            self.engines[engine].swap(model, old, self.now, longest / 2);
            let next = self.now + longest / 2 + (ORDER_BACKOFF_MS << tries);
            return self.at(next, Event::Swap(engine, model, version, tries + 1));
        }
        self.engines[engine].swap(model, version, self.now, longest);
    }
}
