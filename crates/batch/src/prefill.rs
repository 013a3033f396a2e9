//! Tracks which parts of prompts each replica has prefilled.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// The number of prompt tokens that an engine prefills between two tokens of its other requests. A
/// prompt of at most one chunk delays the others by about 5 ms, less than they vary by themselves.
const CHUNK_TOKENS: u64 = 1_024;
/// The assumed speed of prefill. Engines of the present deployments have 193 to 220.
const TOKENS_PER_MS: u64 = 200;
/// The number of prompt tokens that may be in progress on one replica. They delay its other runs
/// by about 40 ms, as long as they need for one event. Six prompts of one chunk each stay below it.
const BUDGET_TOKENS: u64 = 8 * CHUNK_TOKENS;
/// How long an item waits until the length of its prompt no longer affects its place. It is less
/// than half of the time in which a step is due (7.5 s). With 1 s, all items of an overloaded service had
/// aged, and the order no longer saved any prefill.
const AGEING_TIME: Duration = Duration::from_secs(3);
/// The maximum number of parts of a prompt that are considered.
const MAX_PROMPT_PARTS: usize = 16;
/// The maximum number of parts in the record of one replica. Parts can be arbitrarily short, so the
/// KV cache capacity alone does not bound the memory that the records use.
const MAX_RECORDED_PARTS: usize = 128;

/// A part of a prompt that requests share.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptPart {
    /// The id of the part. Equal ids denote equal contents.
    pub id: String,
    /// The number of tokens.
    pub tokens: u64,
}

/// Identifies a part together with the model and all parts before it, because an engine reuses a
/// part only after the same parts. A collision of two hashes costs at most an unsuitable placement.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct PrefixKey {
    model: u64,
    parts: u64,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Prefix {
    key: PrefixKey,
    /// The number of tokens of the last part.
    part_tokens: u64,
    /// The number of tokens of all parts.
    tokens: u64,
}

/// The prompt of an item.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Prompt {
    /// The number of tokens.
    pub(crate) tokens: u64,
    /// The prefixes that end with a shared part, shortest first.
    prefixes: Vec<Prefix>,
}

impl Prompt {
    /// Returns whether requests share a part of the prompt.
    pub(crate) fn is_shared(&self) -> bool {
        !self.prefixes.is_empty()
    }

    pub(crate) fn new(model: &str, tokens: u64, parts: &[PromptPart]) -> Self {
        let mut prompt = Self {
            tokens,
            prefixes: Vec::new(),
        };
        let model = hash(&model);
        let mut key = PrefixKey { model, parts: 0 };
        let mut end: u64 = 0;
        for part in parts.iter().take(MAX_PROMPT_PARTS) {
            end = end.saturating_add(part.tokens);
            // Parts beyond the end of the prompt contradict its length, so they are not believed.
            if part.tokens == 0 || end > tokens {
                break;
            }
            key.parts = hash(&(key.parts, &part.id, part.tokens));
            prompt.prefixes.push(Prefix {
                key,
                part_tokens: part.tokens,
                tokens: end,
            });
        }
        prompt
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns whether a prompt with this many tokens to prefill takes more than one chunk, so that it
/// delays the other requests of the engine noticeably.
pub(crate) fn is_long(unprefilled_tokens: u64) -> bool {
    unprefilled_tokens > CHUNK_TOKENS
}

/// Returns the expected time to prefill tokens, in milliseconds.
pub(crate) fn prefill_ms(tokens: u64) -> f64 {
    tokens as f64 / TOKENS_PER_MS as f64
}

/// Returns whether a replica with `in_progress` tokens to prefill may get a prompt with `tokens` to
/// prefill. A prompt beyond the budget is only prefilled alone.
pub(crate) fn is_within_budget(in_progress: u64, tokens: u64) -> bool {
    in_progress == 0 || in_progress.saturating_add(tokens) <= BUDGET_TOKENS
}

/// Returns the place of a waiting item among those of equal rank; the lowest starts first.
///
/// Texts that are expected to be twice as long go first, since the last item determines the duration
/// of a step, and prefill takes little of it. Among texts of similar length the shortest part that
/// is not yet prefilled goes first, in classes that double in length. All prompts of up to one chunk
/// are in the lowest class, so that their order remains that of the texts. Waiting reduces the
/// class, so that long prompts don't starve.
pub(crate) fn order_class(remaining_events: u64, unprefilled_tokens: u64, waited: Duration) -> u32 {
    let text_class = remaining_events.max(1).leading_zeros() * u64::BITS;
    if !is_long(unprefilled_tokens) {
        return text_class;
    }
    let left = 1.0 - waited.as_secs_f64() / AGEING_TIME.as_secs_f64();
    let tokens = (unprefilled_tokens as f64 * left.max(0.0)) as u64;
    let prompt_class = match is_long(tokens) {
        true => (tokens / CHUNK_TOKENS).ilog2() + 1,
        false => 0,
    };
    text_class + prompt_class
}

#[derive(Clone, Copy, Debug)]
struct RecordedPart {
    tokens: u64,
    /// The value of [`PrefillIndex::uses`] at the last use, and the position in the prompt. A part
    /// is useless without those before it, so of one prompt the last part is evicted first.
    last_use: (u64, Reverse<usize>),
}

/// The parts that one replica holds, as far as the runs of this node show.
#[derive(Debug, Default)]
struct Record {
    parts: HashMap<PrefixKey, RecordedPart>,
    tokens: u64,
}

/// The parts of prompts that replicas have prefilled.
///
/// It addresses loads in which many items share a long prompt, or long and short prompts use the
/// same engines: what counts there is the part of a prompt that the engine has not prefilled yet.
/// An engine reuses a part only if it holds all parts before it, under the same weights. The record
/// of a replica is bounded by its KV cache capacity; the least recently used parts are evicted.
/// The index is an estimate: the engine may have evicted a part earlier.
#[derive(Debug, Default)]
pub(crate) struct PrefillIndex {
    records: HashMap<Arc<str>, Record>,
    /// The replicas that hold a prefix.
    holders: HashMap<PrefixKey, BTreeSet<Arc<str>>>,
    /// The number of recorded prompts.
    uses: u64,
}

impl PrefillIndex {
    /// Records that a replica has prefilled a prompt. `capacity_tokens` is its KV cache capacity, 0
    /// if unknown.
    pub(crate) fn record(&mut self, replica: &str, prompt: &Prompt, capacity_tokens: u64) {
        if prompt.prefixes.is_empty() {
            return;
        }
        self.uses += 1;
        let name = match self.records.get_key_value(replica) {
            Some((name, _)) => name.clone(),
            None => Arc::from(replica),
        };
        let record = self.records.entry(name.clone()).or_default();
        for (position, prefix) in prompt.prefixes.iter().enumerate() {
            let part = RecordedPart {
                tokens: prefix.part_tokens,
                last_use: (self.uses, Reverse(position)),
            };
            if record.parts.insert(prefix.key, part).is_none() {
                record.tokens = record.tokens.saturating_add(part.tokens);
                let holders = self.holders.entry(prefix.key).or_default();
                holders.insert(name.clone());
            }
        }
        self.evict(replica, capacity_tokens);
    }

    /// Evicts the least recently used parts of a replica that exceed its capacity.
    fn evict(&mut self, replica: &str, capacity_tokens: u64) {
        let Some(record) = self.records.get_mut(replica) else {
            return;
        };
        while record.parts.len() > MAX_RECORDED_PARTS
            || (capacity_tokens > 0 && record.tokens > capacity_tokens)
        {
            let parts = record.parts.iter();
            let oldest = parts.min_by_key(|(_, part)| part.last_use);
            let Some((key, tokens)) = oldest.map(|(key, part)| (*key, part.tokens)) else {
                return;
            };
            record.parts.remove(&key);
            record.tokens = record.tokens.saturating_sub(tokens);
            remove_holder(&mut self.holders, key, replica);
        }
    }

    /// Returns the number of tokens of a prompt that a replica has to prefill.
    pub(crate) fn unprefilled(&self, replica: &str, prompt: &Prompt) -> u64 {
        if !prompt.is_shared() {
            return prompt.tokens;
        }
        let Some(record) = self.records.get(replica) else {
            return prompt.tokens;
        };
        let prefixes = prompt.prefixes.iter();
        let held = prefixes.take_while(|prefix| record.parts.contains_key(&prefix.key));
        prompt.tokens - held.last().map_or(0, |prefix| prefix.tokens)
    }

    /// Returns the replicas that hold a prefix of a prompt, those with the longest first. A replica
    /// can be returned several times.
    pub(crate) fn holders<'a>(&'a self, prompt: &'a Prompt) -> impl Iterator<Item = &'a Arc<str>> {
        let prefixes = prompt.prefixes.iter().rev();
        let holders = prefixes.filter_map(|prefix| self.holders.get(&prefix.key));
        holders.flatten()
    }

    /// Forgets the parts of a replica for a model, whose weights have changed there.
    pub(crate) fn forget(&mut self, replica: &str, model: &str) {
        let Some(record) = self.records.get_mut(replica) else {
            return;
        };
        let model = hash(&model);
        let keys = record.parts.keys().copied();
        let keys: Vec<PrefixKey> = keys.filter(|key| key.model == model).collect();
        for key in keys {
            let part = record.parts.remove(&key);
            let tokens = part.map_or(0, |part| part.tokens);
            record.tokens = record.tokens.saturating_sub(tokens);
            remove_holder(&mut self.holders, key, replica);
        }
    }

    /// Forgets the replicas for which `keep` returns `false`.
    pub(crate) fn retain_replicas(&mut self, keep: impl Fn(&str) -> bool) {
        let holders = &mut self.holders;
        self.records.retain(|replica, record| {
            let is_kept = keep(replica);
            if !is_kept {
                for key in record.parts.keys() {
                    remove_holder(holders, *key, replica);
                }
            }
            is_kept
        });
    }
}

fn remove_holder(
    holders: &mut HashMap<PrefixKey, BTreeSet<Arc<str>>>,
    key: PrefixKey,
    replica: &str,
) {
    if let Some(names) = holders.get_mut(&key) {
        names.remove(replica);
        if names.is_empty() {
            holders.remove(&key);
        }
    }
}
