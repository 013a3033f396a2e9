use dogwoodlb_http::Request;
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Bounds the list in case a test injects faults in a loop.
const MAX_FAULTS: usize = 256;

/// The effect of a fault on a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Effect {
    /// Delays the execution of the request.
    Delay {
        /// The delay.
        delay_ms: u64,
    },
    /// Closes the connection without executing the request.
    LoseRequest,
    /// Closes the connection after executing the request, without a response.
    LoseReply,
    /// Responds with status 503 without executing the request.
    Refuse,
    /// Closes the connection of a streamed response after some events.
    Break {
        /// The number of events sent before the connection closes.
        events: usize,
    },
    /// Reports an outdated load.
    Lag {
        /// The age of the reported load.
        lag_ms: u64,
    },
    /// Makes a weight swap fail partway, which leaves the model without weights.
    FailSwap,
}

/// A fault to inject.
///
/// # Examples
///
/// The body of `POST /faults` is one fault:
///
/// ```
/// use dogwoodlb_standin::{Effect, Fault};
///
/// let fault = Fault::once("/rows", Effect::Delay { delay_ms: 50 }).method("GET");
/// let text = r#"{"method":"GET","path":"/rows","times":1,"effect":{"kind":"delay","delay_ms":50}}"#;
/// assert_eq!(serde_json::from_str::<Fault>(text)?, fault);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The HTTP method that the fault applies to; `None` matches all methods.
    #[serde(default)]
    pub method: Option<String>,
    /// The prefix of the request paths that the fault applies to.
    #[serde(default)]
    pub path: String,
    /// The number of requests that the fault applies to; `None` applies it until it is cleared.
    #[serde(default)]
    pub times: Option<u32>,
    /// The effect of the fault.
    pub effect: Effect,
}

impl Fault {
    /// Creates a fault for the next request whose path starts with `path`.
    pub fn once(path: &str, effect: Effect) -> Self {
        Self {
            times: Some(1),
            ..Self::always(path, effect)
        }
    }

    /// Creates a fault for all requests whose paths start with `path`.
    pub fn always(path: &str, effect: Effect) -> Self {
        Self {
            method: None,
            path: path.to_owned(),
            times: None,
            effect,
        }
    }

    /// Restricts the fault to one HTTP method.
    #[must_use]
    pub fn method(mut self, method: &str) -> Self {
        self.method = Some(method.to_owned());
        self
    }

    fn matches(&self, request: &Request) -> bool {
        let method = self.method.as_ref();
        method.is_none_or(|method| *method == request.method)
            && request.path.starts_with(&self.path)
    }
}

/// The faults injected into one stand-in.
#[derive(Debug, Default)]
pub struct Faults(Mutex<Vec<Fault>>);

impl Faults {
    /// Injects a fault; returns `false` if the limit of pending faults is reached.
    pub fn inject(&self, fault: Fault) -> bool {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let has_room = faults.len() < MAX_FAULTS;
        if has_room {
            faults.push(fault);
        }
        has_room
    }

    /// Removes all faults.
    pub fn clear(&self) {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        faults.clear();
    }

    /// Returns the number of faults that can still apply to a request.
    pub fn pending(&self) -> usize {
        let faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        faults.len()
    }

    /// Combines the matching faults into a plan and consumes one application of each.
    pub(crate) fn take_plan(&self, request: &Request) -> FaultPlan {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut plan = FaultPlan::default();
        for fault in faults.iter_mut().filter(|fault| fault.matches(request)) {
            plan.add(fault.effect);
            fault.times = fault.times.map(|times| times.saturating_sub(1));
        }
        faults.retain(|fault| fault.times != Some(0));
        plan
    }
}

/// The combined effects of all faults that match one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultPlan {
    pub(crate) delay: Duration,
    pub(crate) lose_request: bool,
    pub(crate) lose_reply: bool,
    pub(crate) refuse: bool,
    pub(crate) break_after: Option<usize>,
    pub(crate) lag: Option<Duration>,
    pub(crate) fail_swap: bool,
}

impl FaultPlan {
    fn add(&mut self, effect: Effect) {
        match effect {
            Effect::Delay { delay_ms } => self.delay += Duration::from_millis(delay_ms),
            Effect::LoseRequest => self.lose_request = true,
            Effect::LoseReply => self.lose_reply = true,
            Effect::Refuse => self.refuse = true,
            Effect::Break { events } => self.break_after = Some(events),
            Effect::Lag { lag_ms } => self.lag = Some(Duration::from_millis(lag_ms)),
            Effect::FailSwap => self.fail_swap = true,
        }
    }
}
