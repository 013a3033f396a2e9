use crate::{Locality, Ticket};
use dogwoodlb_types::{id, Class};
use xxhash_rust::xxh3::xxh3_64;

/// Number of leading prompt bytes used for affinity; a longer prefix would separate requests
/// that share a system prompt.
const PREFIX_BYTES: usize = 1_024;

/// The routing attributes of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub(crate) class: Class,
    pub(crate) prefix: Option<u64>,
    pub(crate) exclude: &'a [id::Upstream],
}

impl<'a> Request<'a> {
    /// Creates a request without a prompt.
    pub const fn new(class: Class) -> Self {
        Self {
            class,
            prefix: None,
            exclude: &[],
        }
    }

    /// Sets the prompt; requests whose prompts have the same first 1,024 bytes prefer the same
    /// replica.
    #[must_use]
    pub fn prompt(mut self, prompt: &[u8]) -> Self {
        self.prefix = Some(xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)]));
        self
    }

    /// Sets the hash of the prompt's prefix, in the form used by cache events.
    #[must_use]
    pub const fn prefix_hash(mut self, hash: u64) -> Self {
        self.prefix = Some(hash);
        self
    }

    /// Excludes replicas on which an earlier attempt failed.
    #[must_use]
    pub const fn exclude(mut self, replicas: &'a [id::Upstream]) -> Self {
        self.exclude = replicas;
        self
    }
}

/// A selected replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The handle to pass to [`Router::on_end`](crate::Router::on_end).
    pub ticket: Ticket,
    /// The replica's name.
    pub upstream: id::Upstream,
    /// The replica's locality.
    pub locality: Locality,
}

/// The position of a sequence number relative to the last one received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The report or event directly follows the last one, or is the first.
    Fresh,
    /// The report or event is newer, but this many before it were lost.
    Gap(u64),
    /// The report or event is a duplicate or out of order, and was ignored.
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
