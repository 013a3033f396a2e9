use super::Config;
use crate::server::error_response;
use dogwoodlb_external::engine::{Action, Order, Weights};
use dogwoodlb_http::Response;
use dogwoodlb_types::id;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The number of recent orders kept to detect repetitions.
const MAX_RECENT_ORDERS: usize = 4096;

/// The weights of all models, and the state needed to validate orders.
pub(super) struct ModelWeights {
    models: BTreeMap<id::Model, ModelState>,
    fence: id::Fence,
    checks_fencing: bool,
    swap_duration: Duration,
    recent_orders: VecDeque<id::Operation>,
    executed_orders: u64,
}

#[derive(Default)]
struct ModelState {
    version: Option<id::Version>,
    loading: Option<Loading>,
}

struct Loading {
    version: id::Version,
    should_fail: bool,
    due: Instant,
}

impl ModelWeights {
    pub(super) fn new(config: &Config) -> Self {
        let models = config.models.iter().map(|(model, version)| {
            let state = ModelState {
                version: Some(*version),
                loading: None,
            };
            (model.clone(), state)
        });
        Self {
            models: models.collect(),
            fence: id::Fence::default(),
            checks_fencing: config.checks_fencing,
            swap_duration: config.swap_duration,
            recent_orders: VecDeque::new(),
            executed_orders: 0,
        }
    }

    /// Completes the swaps whose duration has elapsed.
    pub(super) fn complete_due_swaps(&mut self) {
        let now = Instant::now();
        for state in self.models.values_mut() {
            if let Some(loading) = state.loading.take_if(|loading| loading.due <= now) {
                state.version = (!loading.should_fail).then_some(loading.version);
            }
        }
    }

    pub(super) fn set_version(&mut self, model: &id::Model, version: Option<id::Version>) {
        let state = self.models.entry(model.clone()).or_default();
        state.version = version;
        state.loading = None;
    }

    pub(super) fn contains(&self, model: &id::Model) -> bool {
        self.models.contains_key(model)
    }

    pub(super) fn only_model(&self) -> Option<id::Model> {
        let mut models = self.models.keys();
        models.next().filter(|_| models.next().is_none()).cloned()
    }

    pub(super) fn version(&self, model: &id::Model) -> Option<id::Version> {
        self.models.get(model).and_then(|state| state.version)
    }

    pub(super) fn list(&self) -> Vec<Weights> {
        let models = self.models.iter().map(|(model, state)| Weights {
            model: model.clone(),
            version: state.version,
            loading: state.loading.as_ref().map(|loading| loading.version),
        });
        models.collect()
    }

    pub(super) fn executed_orders(&self) -> u64 {
        self.executed_orders
    }

    pub(super) fn handle_order(&mut self, order: &Order, should_fail: bool) -> Response {
        if self.recent_orders.contains(&order.order) {
            return Response::json(200, &json!({ "repeated": true }));
        }
        if self.checks_fencing && order.fence < self.fence {
            return error_response(
                409,
                "stale_fence",
                "an order with a higher fencing token was already accepted",
            );
        }
        if order.not_after_ms.as_millis() < epoch_millis() {
            return error_response(409, "expired", "the order has expired");
        }
        self.fence = self.fence.max(order.fence);
        if self.recent_orders.len() == MAX_RECENT_ORDERS {
            self.recent_orders.pop_front();
        }
        self.recent_orders.push_back(order.order);
        self.executed_orders += 1;
        self.execute(&order.action, should_fail);
        self.complete_due_swaps();
        Response::json(200, &json!({}))
    }

    fn execute(&mut self, action: &Action, should_fail: bool) {
        match action {
            Action::LoadVersion { model, version, .. } => {
                let loading = Loading {
                    version: *version,
                    should_fail,
                    due: Instant::now() + self.swap_duration,
                };
                self.models.entry(model.clone()).or_default().loading = Some(loading);
            }
            Action::LoadAdapter { model, .. } => {
                let state = self.models.entry(model.clone()).or_default();
                state.version.get_or_insert(id::Version(1));
            }
            Action::ChangeRole { .. } => {}
        }
    }
}

fn epoch_millis() -> i64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    i64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(i64::MAX)
}
