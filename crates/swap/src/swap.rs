use crate::error::Inner;
use crate::replica_state::{Phase, ReplicaState};
use crate::token_bucket::TokenBucket;
use crate::{LeaseGrant, Replica, Result, Settings, Target};
use dogwoodlb_external::engine::Order;
use dogwoodlb_types::{id, Instant};
use std::collections::BTreeMap;

/// Maximum number of replicas: twice the target in docs/design.md, section 1.4.
const MAX_REPLICAS: usize = 4_096;

/// An action for the I/O driver to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send an order to a replica.
    ///
    /// The driver must read its clock immediately before sending, and report
    /// [`Outcome::NotSent`](crate::Outcome::NotSent) if `start_by` has passed.
    Order {
        /// The replica.
        upstream: id::Upstream,
        /// The order.
        order: Order,
        /// The latest instant at which the order may be sent.
        start_by: Instant,
    },
    /// Read the weights that a replica serves.
    Read {
        /// The replica.
        upstream: id::Upstream,
    },
    /// Report that a replica failed all attempts. It receives no requests for the model until
    /// it serves the target or a newer target is set.
    Excluded {
        /// The replica.
        upstream: id::Upstream,
        /// The version that the replica failed to load.
        version: id::Version,
        /// The number of attempts made.
        attempts: u32,
    },
    /// Report that a replica serves a newer version than the target; it gets no order.
    Newer {
        /// The replica.
        upstream: id::Upstream,
        /// The version that the replica serves.
        version: id::Version,
    },
}

/// The number of replicas in each state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// All replicas of the model.
    pub replicas: usize,
    /// Replicas that serve the target or a newer version.
    pub settled: usize,
    /// Replicas whose serving capacity may be reduced by a swap.
    pub swapping: usize,
    /// Replicas that failed all attempts.
    pub excluded: usize,
}

/// The weight swap of one model.
///
/// It acts only while it has a [`LeaseGrant`]. It may be kept while another node holds the
/// lease: a new grant resets its state.
#[derive(Debug)]
pub struct Swap {
    pub(crate) model: id::Model,
    pub(crate) settings: Settings,
    pub(crate) target: Option<Target>,
    pub(crate) replicas: BTreeMap<id::Upstream, ReplicaState>,
    pub(crate) lease: Option<LeaseGrant>,
    /// When the lease with the current fencing token was granted.
    pub(crate) lease_since: Instant,
    /// The highest fencing token that an engine has refused as outdated.
    pub(crate) refused_fence: Option<id::Fence>,
    /// Replicas whose attempt failed since the last poll, with the operation id if the order may
    /// have been accepted.
    pub(crate) failed_attempts: BTreeMap<id::Upstream, Option<id::Operation>>,
    pub(crate) start_tokens: TokenBucket,
    /// The fencing token of the last grant.
    last_fence: Option<id::Fence>,
}

impl Swap {
    /// Creates the swap of a model, without replicas and without a target.
    pub fn new(model: id::Model, settings: Settings) -> Self {
        let start_tokens = TokenBucket::new(settings.starts_per_s, settings.burst);
        Self {
            model,
            settings,
            target: None,
            replicas: BTreeMap::new(),
            lease: None,
            lease_since: Instant::default(),
            refused_fence: None,
            failed_attempts: BTreeMap::new(),
            start_tokens,
            last_fence: None,
        }
    }

    /// Replaces the list of replicas with that of the manifest; the state of replicas that remain
    /// is kept.
    ///
    /// # Errors
    ///
    /// [`Category::TooManyReplicas`](crate::Category::TooManyReplicas) for more than 4,096
    /// replicas; the list is unchanged.
    pub fn set_replicas(&mut self, replicas: &[Replica]) -> Result<()> {
        if replicas.len() > MAX_REPLICAS {
            return Err(Inner::TooManyReplicas {
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
                .unwrap_or_else(|| ReplicaState::new(replica.checks_fencing, self.lease_since));
            state.checks_fencing = replica.checks_fencing;
            kept.insert(replica.upstream.clone(), state);
        }
        self.replicas = kept;
        Ok(())
    }

    /// Sets the version that all replicas should serve; a newer one clears earlier failures.
    ///
    /// # Errors
    ///
    /// [`Category::OlderTarget`](crate::Category::OlderTarget) or
    /// [`Category::Conflict`](crate::Category::Conflict); the target is unchanged.
    pub fn set_target(&mut self, target: Target) -> Result<()> {
        let version = target.version;
        if let Some(current) = &self.target {
            if version < current.version {
                return Err(Inner::OlderTarget {
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

    /// Sets the lease: granted, renewed with a later end, or lost.
    ///
    /// If the fencing token differs from the last one, other nodes may have sent orders in
    /// between, so the state of all replicas is reset. A lease whose fencing token has been
    /// refused by an engine is ignored.
    pub fn set_lease(&mut self, lease: Option<LeaseGrant>, now: Instant) {
        self.lease = lease.filter(|lease| Some(lease.fence) > self.refused_fence);
        let Some(lease) = self.lease else { return };
        if self.last_fence == Some(lease.fence) {
            return;
        }
        self.last_fence = Some(lease.fence);
        self.lease_since = now;
        self.failed_attempts.clear();
        self.start_tokens.clear();
        for state in self.replicas.values_mut() {
            *state = ReplicaState::new(state.checks_fencing, now);
        }
    }

    /// Returns the number of replicas in each state.
    pub fn progress(&self) -> Progress {
        let target = self.target.as_ref().map(|target| target.version);
        let count =
            |is: &dyn Fn(&ReplicaState) -> bool| self.replicas.values().filter(|s| is(s)).count();
        Progress {
            replicas: self.replicas.len(),
            settled: count(&|s| target.is_some_and(|version| s.serves(version))),
            swapping: count(&|s| matches!(s.phase, Phase::Sent { .. } | Phase::Loading { .. })),
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
