use crate::{HedgedCall, LatencyProfile, RetryBudget};
use dogwoodlb_types::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// The minimum hedge delay. The response to a hedge that is sent after this time also proves that
/// the first copy ran on a slow or unresponsive replica (`MIN_EXCESS`), so that such a replica is
/// detected also on routes whose calls take a few milliseconds.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Routes without calls for this long are forgotten. Configurations change at any time, so that
/// the names of former routes would accumulate.
const ROUTE_TTL: Duration = Duration::from_secs(600);
/// The number of routes from which on those without calls are looked for.
const MAX_UNCHECKED_ROUTES: usize = 64;

/// What is known of the calls of one route.
#[derive(Clone, Debug)]
pub(crate) struct RouteCalls {
    pub(crate) profile: LatencyProfile,
    pub(crate) budget: RetryBudget,
    used_at: Instant,
}

/// Decides for each route when a call that has no response yet is hedged.
///
/// The load that it addresses: idempotent calls whose processing time depends on the call, and
/// varies by an order of magnitude, on replicas of which some are slow or never answer. A fixed
/// time-out cancels the long calls of healthy replicas again and again, and a long one leaves the
/// calls of unresponsive replicas waiting. A hedge is sent once a call has taken longer than most
/// calls of its route, while the first copy goes on; see [`HedgedCall`].
///
/// Each route has a [`RetryBudget`], so that a route whose replicas are all slow doesn't get
/// twice the load, and doesn't take the hedges of the others.
///
/// # Examples
///
/// ```
/// use dogwoodlb_limit::Hedging;
/// use dogwoodlb_types::Instant;
/// use std::time::Duration;
///
/// let at = Instant::from_millis;
/// let mut hedging = Hedging::default();
/// let mut call = hedging.begin("score", Duration::from_millis(800), at(0));
/// let first = call.on_sent(at(3_000), at(0));
/// assert_eq!(call.hedge_at(), Some(at(800)));
///
/// assert!(call.try_hedge(&mut hedging, at(800)));
/// let second = call.on_sent(at(3_000), at(800));
/// // The second replica needed 200 ms, so the first one is slow or unresponsive.
/// assert_eq!(call.on_response(second, &mut hedging, at(1_000)), [first]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Hedging {
    routes: HashMap<String, RouteCalls>,
}

impl Hedging {
    /// Begins a call of a route with a latency objective.
    pub fn begin(&mut self, route: &str, latency_target: Duration, now: Instant) -> HedgedCall {
        let calls = self.route(route, now);
        calls.budget.on_request();
        let usual = calls.profile.high_quantile(now);
        let delay = usual.unwrap_or(latency_target).max(MIN_HEDGE_DELAY);
        HedgedCall::new(route, latency_target, delay)
    }

    pub(crate) fn route(&mut self, route: &str, now: Instant) -> &mut RouteCalls {
        if self.routes.len() >= MAX_UNCHECKED_ROUTES && !self.routes.contains_key(route) {
            self.routes
                .retain(|_, calls| now.saturating_since(calls.used_at) < ROUTE_TTL);
        }
        let calls = self
            .routes
            .entry(route.to_owned())
            .or_insert_with(|| RouteCalls {
                profile: LatencyProfile::default(),
                // A node that has just started may meet replicas that don't answer.
                budget: RetryBudget::full(now),
                used_at: now,
            });
        calls.used_at = now;
        calls
    }
}
