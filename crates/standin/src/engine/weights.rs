use super::Config;
use crate::host::failure;
use dogwoodlb_external::engine::{Action, Order, Weights};
use dogwoodlb_http::Response;
use dogwoodlb_types::id;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How many orders are remembered to recognise a repetition.
const MAX_ORDERS: usize = 4096;

/// The weights of all models, and the orders about them.
pub(super) struct State {
    models: BTreeMap<id::Model, Served>,
    fence: id::Fence,
    checks_fencing: bool,
    swap: Duration,
    seen: VecDeque<id::Operation>,
    carried_out: u64,
}

#[derive(Default)]
struct Served {
    version: Option<id::Version>,
    loading: Option<Loading>,
}

struct Loading {
    version: id::Version,
    fails: bool,
    due: Instant,
}

impl State {
    pub(super) fn new(config: &Config) -> Self {
        let models = config.models.iter().map(|(model, version)| {
            let served = Served {
                version: Some(*version),
                loading: None,
            };
            (model.clone(), served)
        });
        Self {
            models: models.collect(),
            fence: id::Fence::default(),
            checks_fencing: config.checks_fencing,
            swap: config.swap_duration,
            seen: VecDeque::new(),
            carried_out: 0,
        }
    }

    /// Completes the swaps that are due.
    pub(super) fn settle(&mut self) {
        let now = Instant::now();
        for served in self.models.values_mut() {
            if let Some(loading) = served.loading.take_if(|loading| loading.due <= now) {
                served.version = (!loading.fails).then_some(loading.version);
            }
        }
    }

    pub(super) fn set(&mut self, model: &id::Model, version: Option<id::Version>) {
        let served = self.models.entry(model.clone()).or_default();
        served.version = version;
        served.loading = None;
    }

    pub(super) fn knows(&self, model: &id::Model) -> bool {
        self.models.contains_key(model)
    }

    pub(super) fn only_model(&self) -> Option<id::Model> {
        let mut models = self.models.keys();
        models.next().filter(|_| models.next().is_none()).cloned()
    }

    pub(super) fn version(&self, model: &id::Model) -> Option<id::Version> {
        self.models.get(model).and_then(|served| served.version)
    }

    pub(super) fn list(&self) -> Vec<Weights> {
        let models = self.models.iter().map(|(model, served)| Weights {
            model: model.clone(),
            version: served.version,
            loading: served.loading.as_ref().map(|loading| loading.version),
        });
        models.collect()
    }

    pub(super) fn carried_out(&self) -> u64 {
        self.carried_out
    }

    pub(super) fn order(&mut self, order: &Order, fails: bool) -> Response {
        if self.seen.contains(&order.order) {
            return Response::json(200, &json!({ "repeated": true }));
        }
        if self.checks_fencing && order.fence < self.fence {
            return failure(409, "stale_fence", "a later holder has ordered already");
        }
        if order.not_after_ms.as_millis() < epoch_millis() {
            return failure(409, "expired", "the order has expired");
        }
        self.fence = self.fence.max(order.fence);
        if self.seen.len() == MAX_ORDERS {
            self.seen.pop_front();
        }
        self.seen.push_back(order.order);
        self.carried_out += 1;
        self.carry_out(&order.action, fails);
        self.settle();
        Response::json(200, &json!({}))
    }

    fn carry_out(&mut self, action: &Action, fails: bool) {
        match action {
            Action::LoadVersion { model, version, .. } => {
                let loading = Loading {
                    version: *version,
                    fails,
                    due: Instant::now() + self.swap,
                };
                self.models.entry(model.clone()).or_default().loading = Some(loading);
            }
            Action::LoadAdapter { model, .. } => {
                let served = self.models.entry(model.clone()).or_default();
                served.version.get_or_insert(id::Version(1));
            }
            Action::ChangeRole { .. } => {}
        }
    }
}

fn epoch_millis() -> i64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    i64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(i64::MAX)
}
