//! A fake engine: continuous batching, prefix cache, priorities and weight swaps.

use std::collections::VecDeque;

/// The requests that decode at a time, as in the daemon.
pub(crate) const SLOTS: usize = 32;
/// The time of one token with an empty batch, and what each further request adds.
const TOKEN_MS: f64 = 12.0;
const TOKEN_PER_REQUEST_MS: f64 = 0.6;
/// Prompt tokens that are computed in a millisecond.
const PREFILL_PER_MS: f64 = 6.0;
/// Prefixes that fit into the cache.
const CACHED: usize = 24;
/// How far load reports lag behind.
const LAG_MS: u64 = 2_000;

/// One request inside an engine.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub(crate) request: u64,
    pub(crate) priority: u32,
    pub(crate) model: usize,
    pub(crate) prefix: u64,
    pub(crate) prefix_tokens: f64,
    pub(crate) own_tokens: f64,
    pub(crate) tokens: f64,
    produced: f64,
    prefill_ms: f64,
    version: Option<u64>,
}

impl Sequence {
    pub(crate) fn new(request: u64, priority: u32, model: usize) -> Self {
        Self {
            request,
            priority,
            model,
            prefix: 0,
            prefix_tokens: 0.0,
            own_tokens: 0.0,
            tokens: 1.0,
            produced: 0.0,
            prefill_ms: 0.0,
            version: None,
        }
    }
}

/// What an engine reports about a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Output {
    First,
    /// The whole answer, with the oldest version that produced a part of it.
    Done(u64),
}

/// A fake engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) down: bool,
    pub(crate) versions: Vec<u64>,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    cache: VecDeque<u64>,
    /// The swaps that were ordered: duration, model and version.
    orders: VecDeque<(u64, usize, u64)>,
    /// The end of the first of them.
    swapped: Option<u64>,
    reports: VecDeque<(u64, u32, u32)>,
    pub(crate) hits: u64,
    pub(crate) misses: u64,
    pub(crate) tokens: f64,
}

impl Engine {
    pub(crate) fn new(models: usize) -> Self {
        Self {
            versions: vec![1; models],
            ..Self::default()
        }
    }

    pub(crate) fn push(&mut self, sequence: Sequence) {
        let place = self
            .waiting
            .partition_point(|other| other.priority <= sequence.priority);
        self.waiting.insert(place, sequence);
    }

    /// Removes a request; returns the tokens that were produced for nothing, if it was there.
    pub(crate) fn cancel(&mut self, request: u64) -> f64 {
        self.waiting.retain(|own| own.request != request);
        let place = self.running.iter().position(|own| own.request == request);
        place.map_or(0.0, |place| self.running.remove(place).produced)
    }

    /// Loses everything, as a crash does, and returns the requests that were here.
    pub(crate) fn crash(&mut self) -> Vec<u64> {
        self.down = true;
        self.cache.clear();
        self.orders.clear();
        self.swapped = None;
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        lost.map(|own| own.request).collect()
    }

    /// Stops decoding until the new weights are in place.
    pub(crate) fn swap(&mut self, model: usize, version: u64, now: u64, longest_ms: u64) {
        self.orders.push_back((longest_ms, model, version));
        if self.orders.len() == 1 {
            self.swapped = Some(now + longest_ms);
        }
    }

    /// Returns the load of two seconds ago.
    pub(crate) fn load(&self) -> (u32, u32) {
        let report = self.reports.front();
        report.map_or((0, 0), |&(_, running, waiting)| (running, waiting))
    }

    /// Works for a while and returns what happened.
    pub(crate) fn advance(&mut self, now: u64, millis: u64) -> Vec<(u64, Output)> {
        let counts = (self.running.len() as u32, self.waiting.len() as u32);
        self.reports.push_back((now, counts.0, counts.1));
        while self
            .reports
            .get(1)
            .is_some_and(|next| next.0 + LAG_MS <= now)
        {
            self.reports.pop_front();
        }
        if self.down {
            return Vec::new();
        }
        if self.is_swapping(now) {
            return Vec::new();
        }
        self.admit();
        let left = self.prefill(millis as f64);
        self.decode(left)
    }

    /// Carries out the ordered swaps, one after the other.
    fn is_swapping(&mut self, now: u64) -> bool {
        while self.swapped.is_some_and(|end| now >= end) {
            if let Some((_, model, version)) = self.orders.pop_front() {
                self.versions[model] = self.versions[model].max(version);
            }
            let next = self.orders.front();
            self.swapped = next.map(|(longest_ms, ..)| now + longest_ms);
        }
        self.swapped.is_some()
    }

    fn admit(&mut self) {
        while self.running.len() < SLOTS && !self.waiting.is_empty() {
            let mut next = self.waiting.remove(0);
            let cached = self.cache.iter().position(|own| *own == next.prefix);
            let missing = match cached {
                Some(place) => {
                    self.cache.remove(place);
                    self.hits += 1;
                    0.0
                }
                None => {
                    self.misses += 1;
                    next.prefix_tokens
                }
            };
            self.cache.push_back(next.prefix);
            if self.cache.len() > CACHED {
                self.cache.pop_front();
            }
            next.prefill_ms = (missing + next.own_tokens) / PREFILL_PER_MS;
            self.running.push(next);
        }
    }

    /// Computes prompts in order, with at most half of the time while others decode.
    fn prefill(&mut self, millis: f64) -> f64 {
        let decoding = self.running.iter().any(|own| own.prefill_ms <= 0.0);
        let mut share = if decoding { millis / 2.0 } else { millis };
        let mut left = millis;
        for own in self.running.iter_mut().filter(|own| own.prefill_ms > 0.0) {
            let used = own.prefill_ms.min(share);
            own.prefill_ms -= used;
            share -= used;
            left -= used;
        }
        left
    }

    fn decode(&mut self, millis: f64) -> Vec<(u64, Output)> {
        let batch = self.running.iter().filter(|own| own.prefill_ms <= 0.0);
        let batch = batch.count() as f64;
        let tokens = millis / (TOKEN_MS + TOKEN_PER_REQUEST_MS * batch);
        let mut outputs = Vec::new();
        let versions = &self.versions;
        self.running.retain_mut(|own| {
            if own.prefill_ms > 0.0 {
                return true;
            }
            let version = versions[own.model];
            let oldest = *own.version.get_or_insert(version);
            if own.produced == 0.0 {
                outputs.push((own.request, Output::First));
            }
            own.produced += tokens;
            if own.produced < own.tokens {
                return true;
            }
            outputs.push((own.request, Output::Done(oldest)));
            false
        });
        self.tokens += tokens * batch;
        outputs
    }
}

/// Returns the requests with these tokens that one engine can serve in a second at best: all
/// slots full and every prefix cached.
pub(crate) fn capacity(own_tokens: f64, tokens: f64) -> f64 {
    let slots = SLOTS as f64;
    let decode = tokens * (TOKEN_MS + TOKEN_PER_REQUEST_MS * slots) / slots;
    1_000.0 / (own_tokens / PREFILL_PER_MS + decode)
}
