use crate::lease_manager::LeaseManager;
use crate::metrics::Metrics;
use crate::pool::ThreadPool;
use crate::recorder::Recorder;
use crate::swapper::RunningSwappers;
use crate::trainer_calls::Call;
use crate::upstreams::Upstreams;
use crate::{lock, Platform};
use dogwoodlb_limit::{LinkLimiter, RetryBudget};
use dogwoodlb_manifest::adopt::{Adoption, Authority, Report};
use dogwoodlb_manifest::settings::Settings;
use dogwoodlb_manifest::Manifest;
use dogwoodlb_member::{Drain, DrainAction, Membership};
use dogwoodlb_types::{id, Class, Code, Instant, Refusal, Timestamp};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time for which callers may cache node addresses.
pub(crate) const ADDRESS_CACHE_TTL: Duration = Duration::from_secs(5);

/// State shared by all threads of a node.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) platform: Platform,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) metrics: Metrics,
    pub(crate) recorder: Recorder,
    pub(crate) adoption: Mutex<Adoption>,
    pub(crate) members: Mutex<Membership>,
    /// The manifest revisions that other nodes last reported.
    pub(crate) revisions: Mutex<HashMap<id::Vm, id::Revision>>,
    pub(crate) drain: Mutex<Drain>,
    /// The initial shutdown actions, until `Node::join` executes them.
    pub(crate) drain_actions: Mutex<Vec<DrainAction>>,
    pub(crate) swappers: RunningSwappers,
    pub(crate) upstreams: Upstreams,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    /// The node count used for the link share, and the limiter of the inter-region link.
    pub(crate) link: Mutex<(u64, LinkLimiter)>,
    pub(crate) rng: Mutex<SmallRng>,
    pub(crate) samplers: ThreadPool,
    pub(crate) workers: ThreadPool,
    pub(crate) trainers: Mutex<HashMap<id::Trainer, Mailbox>>,
    pub(crate) leases: Mutex<Vec<Arc<LeaseManager>>>,
    pub(crate) releasing: AtomicBool,
    pub(crate) stopped: AtomicBool,
    /// The number of HTTP requests in progress.
    pub(crate) in_flight: AtomicUsize,
    snapshot: Mutex<Option<Snapshot>>,
}

/// The channel to a trainer's owner thread, and the trainer's lease.
#[derive(Clone)]
pub(crate) struct Mailbox {
    pub(crate) calls: SyncSender<Call>,
    pub(crate) lease: Arc<LeaseManager>,
}

/// A cached copy of the manifest in force, shared by requests.
struct Snapshot {
    /// Whether the manifest is a joint one, see [`Authority::Joint`].
    joint: bool,
    report: Report,
    manifest: Arc<Manifest>,
}

/// The arguments of [`Shared::new`].
pub(crate) struct SharedParts {
    pub(crate) settings: Settings,
    pub(crate) platform: Platform,
    pub(crate) metrics: Metrics,
    pub(crate) rng: SmallRng,
    pub(crate) samplers: ThreadPool,
    pub(crate) workers: ThreadPool,
}

impl Shared {
    pub(crate) fn new(mut parts: SharedParts) -> Self {
        let Settings {
            vm, region, centre, ..
        } = parts.settings.clone();
        let clock = parts.platform.clock.clone();
        let now = clock.now();
        let millis = u64::try_from(clock.timestamp().as_millis()).unwrap_or_default();
        let incarnation = id::Incarnation(millis);
        let router_settings = dogwoodlb_route::Settings {
            vm: vm.clone(),
            region,
            centre,
        };
        Self {
            incarnation,
            metrics: parts.metrics,
            recorder: Recorder::new(vm.clone()),
            adoption: Mutex::new(Adoption::new(vm.clone(), now)),
            members: Mutex::new(Membership::new(vm, incarnation, &mut parts.rng)),
            revisions: Mutex::default(),
            drain: Mutex::new(Drain::new(ADDRESS_CACHE_TTL)),
            drain_actions: Mutex::default(),
            swappers: RunningSwappers::default(),
            upstreams: Upstreams::new(router_settings, clock, parts.rng.next_u64()),
            retry_budget: Mutex::new(RetryBudget::full(now)),
            // Replaced by `set_link_share` when a manifest is adopted.
            link: Mutex::new((0, LinkLimiter::new(1, now))),
            rng: Mutex::new(parts.rng),
            samplers: parts.samplers,
            workers: parts.workers,
            trainers: Mutex::default(),
            leases: Mutex::default(),
            releasing: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            snapshot: Mutex::default(),
            settings: parts.settings,
            platform: parts.platform,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.platform.clock.now()
    }

    pub(crate) fn timestamp(&self) -> Timestamp {
        self.platform.clock.timestamp()
    }

    /// Returns whether a shutdown has reached the point where leases are released.
    pub(crate) fn is_releasing(&self) -> bool {
        self.releasing.load(Ordering::SeqCst)
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Generates a random operation id.
    pub(crate) fn new_operation(&self) -> id::Operation {
        let mut rng = lock(&self.rng);
        id::Operation(u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()))
    }

    /// Returns the manifest that the node is allowed to act on now.
    pub(crate) fn manifest(&self) -> Result<Arc<Manifest>, Refusal> {
        let adoption = lock(&self.adoption);
        let (joint, manifest) = match adoption.authority(self.now()) {
            Authority::Sole(manifest) => (false, manifest),
            Authority::Joint(manifest) => (true, manifest),
            Authority::Unknown => {
                let message = "manifest in force is unknown on this node: use another node";
                let refusal = Refusal::not_run(Code::ManifestUnknown, message);
                return Err(refusal.retry_after(Duration::from_secs(1)));
            }
        };
        let report = adoption.report();
        let mut snapshot = lock(&self.snapshot);
        match &*snapshot {
            Some(known) if known.joint == joint && known.report == report => {
                Ok(known.manifest.clone())
            }
            _ => {
                let manifest = Arc::new(manifest.clone());
                // Build the upstreams first, so that no call sees a manifest without them.
                if !joint {
                    self.upstreams.update(&manifest);
                }
                *snapshot = Some(Snapshot {
                    joint,
                    report,
                    manifest: manifest.clone(),
                });
                Ok(manifest)
            }
        }
    }

    /// Builds the upstreams of the adopted manifest and returns it.
    ///
    /// Holds the adoption and snapshot locks throughout, so that the upstreams of a later
    /// manifest can't be overwritten.
    pub(crate) fn build_upstreams(&self) -> Option<Manifest> {
        let adoption = lock(&self.adoption);
        let manifest = adoption.manifest()?.clone();
        let _snapshot = lock(&self.snapshot);
        self.upstreams.update(&manifest);
        Some(manifest)
    }

    /// Returns the node's authority over the manifest, as shown by `GET /v1/status`.
    pub(crate) fn authority(&self) -> &'static str {
        match lock(&self.adoption).authority(self.now()) {
            Authority::Sole(_) => "sole",
            Authority::Joint(_) => "joint",
            Authority::Unknown => "unknown",
        }
    }

    /// Consumes one retry from the retry budget, or returns `false` if it is exhausted.
    pub(crate) fn try_retry(&self) -> bool {
        let granted = lock(&self.retry_budget).try_retry(self.now());
        if granted {
            self.metrics.count("retry");
        }
        granted
    }

    /// Records the result code and the duration of a request.
    pub(crate) fn count_request(
        &self,
        class: Class,
        started_at: Instant,
        refusal: Option<&Refusal>,
    ) {
        let code = refusal.map_or_else(|| "ok".to_owned(), |refusal| code_name(refusal.code));
        let tags = [("class", class.as_str()), ("code", &code)];
        self.metrics.count_tags("request", &tags);
        self.metrics.time(
            "request.ms",
            class.as_str(),
            self.now().saturating_since(started_at),
        );
    }

    /// Reports a violated invariant and returns the refusal of the action.
    #[cold]
    pub(crate) fn invariant_violated(
        &self,
        kind: &'static str,
        message: impl std::fmt::Display,
    ) -> Refusal {
        self.metrics.count_tags("invariant", &[("kind", kind)]);
        tracing::error!(kind, %message, "invariant");
        self.recorder
            .record(self.timestamp(), "invariant", |event| {
                event.with("kind", kind).with("message", &message)
            });
        Refusal::not_run(Code::Invariant, message.to_string())
    }
}

/// Returns the name of a code as used in the API.
pub(crate) fn code_name(code: Code) -> String {
    match serde_json::to_value(code) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}
