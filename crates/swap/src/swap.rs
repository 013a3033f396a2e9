use crate::error::Inner;
use crate::rate::Rate;
use crate::replica::{Phase, State};
use crate::{LeaseGrant, Replica, Result, Settings, Target};
use dogwoodlb_external::engine::Order;
use dogwoodlb_types::{id, Instant};
use std::collections::BTreeMap;

/// Twice the replicas of docs/design.md, section 1.4.
const MAX_REPLICAS: usize = 4_096;

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Give an order to a replica.
    ///
    /// The shell reads its clock immediately before it sends the order, and reports
    /// [`Outcome::NotSent`](crate::Outcome::NotSent) if `start_by` has passed.
    Order {
        /// The replica.
        upstream: id::Upstream,
        /// The order.
        order: Order,
        /// The last instant at which the order may be sent.
        start_by: Instant,
    },
    /// Read which weights a replica serves.
    Read {
        /// The replica.
        upstream: id::Upstream,
    },
    /// Report that a replica failed all attempts; it gets no request for the model until it
    /// serves the target or a newer target comes.
    Excluded {
        /// The replica.
        upstream: id::Upstream,
        /// The version that it could not load.
        version: id::Version,
        /// The attempts that were made.
        attempts: u32,
    },
    /// Report that a replica serves a newer version than the target; it is left as it is.
    Newer {
        /// The replica.
        upstream: id::Upstream,
        /// The version that it serves.
        version: id::Version,
    },
}

/// How many replicas are in which condition.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// All replicas.
    pub replicas: usize,
    /// Those that serve the target or a newer version.
    pub settled: usize,
    /// Those that may be serving less because of a swap.
    pub busy: usize,
    /// Those that failed all attempts.
    pub excluded: usize,
}

/// The weight swap of one model.
///
/// The core acts only while it has a [`LeaseGrant`]. It is safe to keep it while another node
/// holds the lease: a new guard makes it forget what it knew.
#[derive(Debug)]
pub struct Swap {
    pub(crate) model: id::Model,
    pub(crate) settings: Settings,
    pub(crate) target: Option<Target>,
    pub(crate) replicas: BTreeMap<id::Upstream, State>,
    pub(crate) guard: Option<LeaseGrant>,
    /// When the guard with the present fencing number was obtained.
    pub(crate) guarded_since: Instant,
    /// The highest fencing number that an engine has refused as old.
    pub(crate) fenced: Option<id::Fence>,
    /// The replicas whose attempt failed, with the operation if it may have been accepted.
    pub(crate) failed: BTreeMap<id::Upstream, Option<id::Operation>>,
    pub(crate) rate: Rate,
    last_fence: Option<id::Fence>,
}

impl Swap {
    /// Creates the swap of a model that has no replicas and no target yet.
    pub fn new(model: id::Model, settings: Settings) -> Self {
        let rate = Rate::new(settings.starts_per_s, settings.burst);
        Self {
            model,
            settings,
            target: None,
            replicas: BTreeMap::new(),
            guard: None,
            guarded_since: Instant::default(),
            fenced: None,
            failed: BTreeMap::new(),
            rate,
            last_fence: None,
        }
    }

    /// Takes over the replicas of the manifest; what is known about those that stay is kept.
    ///
    /// # Errors
    ///
    /// [`Category::TooMany`](crate::Category::TooMany) for more than 4,096 replicas; the list
    /// is then unchanged.
    pub fn set_replicas(&mut self, replicas: &[Replica]) -> Result<()> {
        if replicas.len() > MAX_REPLICAS {
            return Err(Inner::TooMany {
                count: replicas.len(),
                limit: MAX_REPLICAS,
            }
            .into());
        }
        let mut kept = BTreeMap::new();
        for replica in replicas {
            let mut state = self
                .replicas
                .remove(&replica.upstream)
                .unwrap_or_else(|| State::new(replica.checks_fencing, self.guarded_since));
            state.checks_fencing = replica.checks_fencing;
            kept.insert(replica.upstream.clone(), state);
        }
        self.replicas = kept;
        Ok(())
    }

    /// Sets the version that all replicas are to serve; a newer one forgets earlier failures.
    ///
    /// # Errors
    ///
    /// [`Category::Older`](crate::Category::Older) or
    /// [`Category::Conflict`](crate::Category::Conflict); the target is then unchanged.
    pub fn set_target(&mut self, target: Target) -> Result<()> {
        let version = target.version;
        if let Some(current) = &self.target {
            if version < current.version {
                return Err(Inner::Older {
                    version,
                    current: current.version,
                }
                .into());
            }
            if version == current.version {
                if target.object == current.object {
                    return Ok(());
                }
                return Err(Inner::Conflict { version }.into());
            }
        }
        self.target = Some(target);
        for state in self.replicas.values_mut() {
            state.attempts = 0;
            state.newer = None;
            if matches!(state.phase, Phase::Backoff { .. } | Phase::Excluded) {
                state.phase = Phase::Idle;
            }
        }
        Ok(())
    }

    /// Sets the right to give orders: granted, renewed with a later end, or lost.
    ///
    /// A guard with another fencing number than the last one means that other nodes may have
    /// given orders in between, so all that was known is forgotten. A guard whose fencing
    /// number an engine has refused is ignored.
    pub fn set_lease(&mut self, guard: Option<LeaseGrant>, now: Instant) {
        self.guard = guard.filter(|guard| Some(guard.fence) > self.fenced);
        let Some(guard) = self.guard else { return };
        if self.last_fence == Some(guard.fence) {
            return;
        }
        self.last_fence = Some(guard.fence);
        self.guarded_since = now;
        self.failed.clear();
        self.rate.empty();
        for state in self.replicas.values_mut() {
            *state = State::new(state.checks_fencing, now);
        }
    }

    /// Returns how many replicas are in which condition.
    pub fn progress(&self) -> Progress {
        let target = self.target.as_ref().map(|target| target.version);
        let count = |is: &dyn Fn(&State) -> bool| self.replicas.values().filter(|s| is(s)).count();
        Progress {
            replicas: self.replicas.len(),
            settled: count(&|s| target.is_some_and(|version| s.serves(version))),
            busy: count(&|s| matches!(s.phase, Phase::Sent { .. } | Phase::Loading { .. })),
            excluded: count(&|s| matches!(s.phase, Phase::Excluded)),
        }
    }

    /// Returns the replicas that failed all attempts.
    pub fn excluded(&self) -> impl Iterator<Item = &id::Upstream> {
        self.replicas
            .iter()
            .filter(|(_, state)| matches!(state.phase, Phase::Excluded))
            .map(|(upstream, _)| upstream)
    }
}
