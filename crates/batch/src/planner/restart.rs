//! Discards texts that no replica can continue, so that their items start again.

use super::Planner;
use crate::replica::Replica;
use crate::work::{Phase, Work, WorkId};
use crate::Progress;
use dogwoodlb_types::Instant;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// How long an item waits for a replica that has the version of its text or may still load it, while
/// another replica could generate the item from its beginning. A load takes about 0.9 s, and a run
/// without events is stopped after 2.2 s.
const MAX_CONTINUATION_WAIT: Duration = Duration::from_millis(2_500);

/// The text of an item that was discarded because it must come from a single weight version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Restart {
    /// The work on the item.
    pub work: WorkId,
    /// The version that generated the text.
    pub version: u64,
    /// The number of events that are generated again.
    pub events: u64,
    /// Whether no replica had the version or could load it; otherwise none continued the text in
    /// time.
    pub is_version_gone: bool,
}

impl Restart {
    /// Returns the reason, for logs and metrics.
    pub const fn reason(&self) -> &'static str {
        if self.is_version_gone {
            "version_gone"
        } else {
            "not_continued"
        }
    }
}

/// Which replicas can continue a text, and which can generate the item from its beginning.
#[derive(Clone, Copy, Debug, Default)]
struct Options {
    /// Whether a replica has the version of the text or may load it. Replicas only move to newer
    /// versions, and an order names the newest one.
    may_continue: bool,
    /// Whether a replica has another version that the batch accepts.
    may_restart: bool,
    /// Whether such a replica has a free slot now.
    may_restart_now: bool,
}

impl Options {
    fn new(
        replicas: &BTreeMap<Arc<str>, Replica>,
        work: &Work,
        version: u64,
        now: Instant,
    ) -> Self {
        let mut options = Self::default();
        let (mut has_older, mut has_newer) = (false, false);
        for replica in replicas.values() {
            let Some(loaded) = replica.version(&work.model) else {
                continue;
            };
            has_newer |= loaded > version;
            has_older |= loaded < version;
            options.may_continue |=
                loaded == version || (loaded < version && replica.is_reloading(&work.model));
            if loaded != version && loaded >= work.min_version {
                options.may_restart = true;
                options.may_restart_now |= replica.run_count < replica.state.slots
                    && replica.accepts_runs(&work.model, now);
            }
        }
        // Without a newer version on any replica, the version of the text may be the newest.
        options.may_continue |= has_older && !has_newer;
        options
    }
}

impl Planner {
    /// Discards the texts of waiting items that must come from a single version if no replica has
    /// that version any more and none will load it, or if no replica has continued the text for a
    /// while although others could generate the item from its beginning.
    ///
    /// The load: replicas move to new weights every few seconds, and the last one with the version
    /// of a text crashes. Without the restart, the item would wait until its time is up while
    /// replicas are idle. To be called after [`plan`](Self::plan), when free slots are those that
    /// no other item can use.
    pub fn restart_unreachable(&mut self, now: Instant) -> Vec<Restart> {
        let mut options_by_key: HashMap<(String, u64, u64), Options> = HashMap::new();
        let mut restarts = Vec::new();
        for (id, work) in &mut self.work_items {
            let is_bound = work.single_version && work.batch.is_some();
            if !is_bound || work.phase != Phase::Waiting {
                continue;
            }
            let Some(version) = work.progress.versions.first().copied() else {
                continue;
            };
            let since = *work.without_event_since.get_or_insert(now);
            let key = (work.model.clone(), version, work.min_version);
            let options = options_by_key
                .entry(key)
                .or_insert_with(|| Options::new(&self.replicas, work, version, now));
            let is_version_gone = !options.may_continue && options.may_restart;
            let waited = now.saturating_since(since);
            if is_version_gone || (options.may_restart_now && waited >= MAX_CONTINUATION_WAIT) {
                restarts.push(Restart {
                    work: *id,
                    version,
                    events: work.progress.last_event,
                    is_version_gone,
                });
                work.progress = Progress::default();
                work.end_report = None;
                work.without_event_since = None;
            }
        }
        restarts
    }
}
