//! An engine that prefills prompts in chunks between the tokens of its other requests.

use dogwoodlb_batch::WorkId;
use std::collections::VecDeque;

const CHUNK_TOKENS: u64 = 1_024;
const PREFILL_TOKENS_PER_MS: f64 = 200.0;
const TOKEN_MS: f64 = 0.65;
const SLOWDOWN_PER_RUN: f64 = 0.035;
pub(crate) const EVENT_TOKENS: u64 = 59;
pub(crate) const OWN_TOKENS: u64 = 16;
/// The number of shared prompts of 12,000 tokens that a KV cache of 77,617 tokens holds.
const CACHED_PROMPTS: usize = 6;

pub(crate) struct Request {
    pub(crate) work: WorkId,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: u64,
    pub(crate) events_left: u64,
    pub(crate) tokens: u64,
}

#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) requests: Vec<Request>,
    pub(crate) prefilled_tokens: u64,
    cache: VecDeque<String>,
    unused_ms: f64,
}

impl Engine {
    /// Runs for a time and returns the requests that generated an event.
    pub(crate) fn advance(&mut self, ms: f64) -> Vec<WorkId> {
        self.unused_ms += ms;
        let mut events = Vec::new();
        while self.unused_ms > 0.0 && !self.requests.is_empty() {
            let decoding = self.requests.iter().filter(|one| one.prompt_tokens == 0);
            let decoding = decoding.count() as f64;
            if decoding > 0.0 {
                self.unused_ms -= TOKEN_MS * (1.0 + SLOWDOWN_PER_RUN * decoding);
            }
            for request in &mut self.requests {
                if request.prompt_tokens == 0 && request.events_left > 0 {
                    request.tokens += 1;
                    if request.tokens.is_multiple_of(EVENT_TOKENS) {
                        request.events_left -= 1;
                        events.push(request.work);
                    }
                }
            }
            self.prefill_chunk();
        }
        self.unused_ms = self.unused_ms.min(0.0);
        events
    }

    fn prefill_chunk(&mut self) {
        let mut requests = self.requests.iter_mut();
        let Some(request) = requests.find(|one| one.prompt_tokens > 0) else {
            return;
        };
        if self.cache.contains(&request.prompt) {
            request.prompt_tokens = request.prompt_tokens.min(OWN_TOKENS);
        }
        let chunk = request.prompt_tokens.min(CHUNK_TOKENS);
        request.prompt_tokens -= chunk;
        self.prefilled_tokens += chunk;
        self.unused_ms -= chunk as f64 / PREFILL_TOKENS_PER_MS;
        if request.prompt_tokens == 0 {
            self.cache.retain(|prompt| *prompt != request.prompt);
            self.cache.push_back(request.prompt.clone());
            if self.cache.len() > CACHED_PROMPTS {
                self.cache.pop_front();
            }
        }
    }
}
