use crate::{Locality, Ticket};
use dogwoodlb_types::{id, Class};
use xxhash_rust::xxh3::xxh3_64;

/// The bytes of a prompt that decide its affinity; longer prefixes would tell requests with
/// the same system prompt apart.
const PREFIX_BYTES: usize = 1_024;

/// What the router needs to know about a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub(crate) class: Class,
    pub(crate) prefix: Option<u64>,
    pub(crate) exclude: &'a [id::Upstream],
}

impl<'a> Request<'a> {
    /// Describes a request without a prompt.
    pub const fn new(class: Class) -> Self {
        Self {
            class,
            prefix: None,
            exclude: &[],
        }
    }

    /// Sets the prompt, so that requests with the same beginning prefer the same replica.
    #[must_use]
    pub fn prefix(mut self, prompt: &[u8]) -> Self {
        self.prefix = Some(xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)]));
        self
    }

    /// Sets the hash of the prompt's prefix, as cache events carry it.
    #[must_use]
    pub const fn prefix_hash(mut self, hash: u64) -> Self {
        self.prefix = Some(hash);
        self
    }

    /// Sets the replicas that must not be picked, because an earlier attempt failed there.
    #[must_use]
    pub const fn exclude(mut self, replicas: &'a [id::Upstream]) -> Self {
        self.exclude = replicas;
        self
    }
}

/// A picked replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// Ends the pick; see [`Router::on_end`](crate::Router::on_end).
    pub ticket: Ticket,
    /// The replica.
    pub upstream: id::Upstream,
    /// How far it is.
    pub locality: Locality,
}

/// What a numbered event was, compared with those known before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The event follows the last known one, or is the first.
    Fresh,
    /// The event is newer, and this many before it are missing.
    Gap(u64),
    /// The event is not newer than what is known, and was ignored.
    Stale,
}

impl Freshness {
    pub(crate) fn of(last: Option<u64>, sequence: u64) -> Self {
        match last {
            Some(last) if sequence <= last => Self::Stale,
            Some(last) if sequence - last > 1 => Self::Gap(sequence - last - 1),
            _ => Self::Fresh,
        }
    }
}
