//! The manifest that a node may act on.
//!
//! [`Adoption`] polls the table, answers proposals and records the reports of other nodes, and
//! determines from these whether the node may act. docs/design.md, section 4.5, specifies the
//! rules.

use crate::evidence::{Committed, Evidence, Pending};
pub use crate::proposal::{Answer, Proposal, Report};
use crate::record::{Pointer, Record, CURRENT};
use crate::Manifest;
use dogwoodlb_external::table::{Row, Txn};
use dogwoodlb_types::{id, Instant};
use rand::{Rng, RngExt};
use std::time::Duration;

/// The time after its request for which a table read or a report of another node is valid.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(3);

/// The interval at which the row `manifest/current` is read.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The time after which an unanswered read no longer delays the next one. A read that is older than
/// this is not recent enough to close proposals.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which a proposal without an outcome is closed. A committing node stops waiting
/// for promises after half of it.
pub const CLOSE_AFTER: Duration = Duration::from_secs(4);

/// The maximum random delay of writes that close proposals, so that the nodes do not all write at
/// once, in particular after an outage.
const MAX_JITTER: Duration = Duration::from_secs(2);

/// The maximum number of concurrent proposals without an outcome; further ones are refused.
const MAX_PENDING: usize = 4;

/// The maximum size of the row `manifest/current`, which contains three short fields.
const MAX_POINTER_BYTES: usize = 1_024;

/// An input of [`Adoption`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The row [`CURRENT`] was read.
    Read {
        /// The time at which the read was sent.
        sent_at: Instant,
        /// The row, if it exists.
        row: Option<Row>,
    },
    /// The row of a revision was read.
    Revision {
        /// The row, if it exists.
        row: Option<Row>,
    },
    /// A read failed or was not answered in time.
    ReadFailed,
    /// Another node answered a ping.
    PeerReport {
        /// The node that answered.
        vm: id::Vm,
        /// The time at which this node sent the ping. The answer is no evidence for later times.
        sent_at: Instant,
        /// The report of the node.
        report: Report,
    },
    /// A commit on this node was accepted, so the table should be read at once.
    Refresh,
    /// Time has advanced.
    Tick,
}

/// An output of [`Adoption`], to be executed by the node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the row [`CURRENT`] and report [`Event::Read`] or [`Event::ReadFailed`].
    Read,
    /// Read the row of a revision and report [`Event::Revision`] or [`Event::ReadFailed`].
    ReadRevision(id::Revision),
    /// Commit a transaction that closes abandoned proposals. Its result need not be reported,
    /// because the next read shows it.
    Close(Txn),
    /// The node now holds this revision.
    Adopted(id::Revision),
}

/// The manifest on which a node may act.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Authority<'a> {
    /// This manifest is in force.
    Sole(&'a Manifest),
    /// One of several manifests is in force; this one permits only what all of them permit.
    Joint(&'a Manifest),
    /// The node cannot determine the manifest in force and must stop accepting new work.
    Unknown,
}

/// Counters of ignored reads and refused proposals.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// The number of reads that showed an older state than an earlier one.
    pub older_reads: u64,
    /// The number of rows that were malformed or contained an invalid document.
    pub invalid_rows: u64,
    /// The number of proposals with an answer other than [`Answer::Promised`].
    pub refused_proposals: u64,
}

/// A revision in force whose document has not been read yet.
#[derive(Clone, Copy, Debug)]
struct RevisionToRead {
    revision: id::Revision,
    sent_at: Instant,
}

/// The state machine that determines the manifest of one node.
#[derive(Debug)]
pub struct Adoption {
    evidence: Evidence,
    /// The row [`CURRENT`] as of the last accepted read.
    row: Option<Row>,
    has_read: bool,
    last_read_sent: Option<Instant>,
    to_read: Option<RevisionToRead>,
    /// The time at which the unanswered read was sent.
    read_in_flight: Option<Instant>,
    next_read: Instant,
    /// The time at which proposals without an outcome are closed.
    close_at: Option<Instant>,
    /// Whether a read has failed since the last successful one.
    store_failed: bool,
    counters: Counters,
}

impl Adoption {
    /// Creates the initial state of a node, which has no manifest.
    pub fn new(vm: id::Vm, now: Instant) -> Self {
        Self {
            evidence: Evidence::new(vm),
            row: None,
            has_read: false,
            last_read_sent: None,
            to_read: None,
            read_in_flight: None,
            next_read: now,
            close_at: None,
            store_failed: false,
            counters: Counters::default(),
        }
    }

    /// Returns the manifest on which the node may act.
    ///
    /// Call this immediately before each action, with the current time: a process that was paused
    /// in the meantime may no longer be allowed to act.
    pub fn authority(&self, now: Instant) -> Authority<'_> {
        self.evidence.authority(now)
    }

    /// Returns the revision that the node holds, 0 for none.
    pub fn revision(&self) -> id::Revision {
        self.evidence.revision()
    }

    /// Returns the manifest that the node holds, in force or not.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.evidence
            .committed
            .as_ref()
            .map(|committed| &committed.manifest)
    }

    /// Returns the time at which the latest successful read of the row [`CURRENT`] was sent.
    pub fn last_read(&self) -> Option<Instant> {
        self.last_read_sent
    }

    /// Returns the report that the node sends in answers to pings.
    pub fn report(&self) -> Report {
        self.evidence.report()
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Processes an event and returns the actions to execute.
    pub fn on_event(&mut self, event: Event, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        match event {
            Event::Read { sent_at, row } => self.on_read(sent_at, row, now, rng),
            Event::Revision { row } => self.on_revision(row.as_ref()),
            Event::ReadFailed => {
                self.read_in_flight = None;
                self.store_failed = true;
                Vec::new()
            }
            Event::PeerReport {
                vm,
                sent_at,
                report,
            } => self.on_peer_report(vm, sent_at, report, now),
            Event::Refresh => {
                self.next_read = now;
                Vec::new()
            }
            Event::Tick => self.on_tick(now, rng),
        }
    }

    /// Returns the answer to a proposal of a committing node, which may be this node.
    pub fn on_proposal(&mut self, proposal: &Proposal, now: Instant, rng: &mut dyn Rng) -> Answer {
        let answer = self.answer(proposal);
        if answer != Answer::Promised {
            self.counters.refused_proposals += 1;
            return answer;
        }
        if proposal.row_version > self.row.as_ref().map_or(0, |row| row.version) {
            self.next_read = now;
        }
        self.schedule_close(now, rng);
        answer
    }

    fn answer(&mut self, proposal: &Proposal) -> Answer {
        if !self.has_read || self.evidence.committed.is_none() {
            return Answer::Unready;
        }
        let revision = self.evidence.newest;
        if proposal.row_version < self.evidence.row_version || proposal.base < revision {
            return Answer::Stale { revision };
        }
        // A later row version implies that the outcome of earlier proposals is decided.
        self.evidence.settle(proposal.row_version);
        let known = |pending: &Pending| pending.operation == proposal.operation;
        if self.evidence.pending.iter().any(known) {
            return Answer::Promised;
        }
        if self.evidence.pending.len() >= MAX_PENDING {
            return Answer::Busy;
        }
        let Ok(manifest) = proposal.text.parse() else {
            return Answer::Invalid;
        };
        self.evidence.add_pending(Pending {
            operation: proposal.operation,
            base: proposal.base,
            row_version: proposal.row_version,
            manifest,
        });
        Answer::Promised
    }

    fn on_read(
        &mut self,
        sent_at: Instant,
        row: Option<Row>,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Vec<Action> {
        self.read_in_flight = None;
        let version = row.as_ref().map_or(0, |row| row.version);
        let pointer = match &row {
            Some(row) if row.value.len() > MAX_POINTER_BYTES => None,
            Some(row) => Pointer::from_row(row),
            None => None,
        };
        if row.is_some() && pointer.is_none() {
            self.counters.invalid_rows += 1;
            return Vec::new();
        }
        let revision = pointer.as_ref().map_or(id::Revision(0), |one| one.revision);
        if version < self.evidence.row_version || revision < self.evidence.newest {
            self.counters.older_reads += 1;
            return Vec::new();
        }
        self.row = row;
        self.last_read_sent = self.last_read_sent.max(Some(sent_at));
        if std::mem::take(&mut self.store_failed) {
            let earliest = now + jitter(rng);
            self.close_at = self.close_at.map(|at| at.max(earliest));
        }
        let actions = pointer.map(|pointer| self.on_pointer(&pointer, version, sent_at));
        // A promise from before a restart may depend on the first version that is read.
        if !std::mem::replace(&mut self.has_read, true) && version > 0 {
            self.evidence.barrier = Some(version);
        }
        self.schedule_close(now, rng);
        actions.unwrap_or_default()
    }

    fn on_pointer(&mut self, pointer: &Pointer, version: u64, sent_at: Instant) -> Vec<Action> {
        let adopted = self
            .evidence
            .adopt_pending(pointer.revision, pointer.operation);
        self.evidence.newest = pointer.revision;
        self.evidence.settle(version);
        if self.evidence.revision() == pointer.revision {
            self.evidence.verified_at = self.evidence.verified_at.max(Some(sent_at));
            self.to_read = None;
            return adopted.map(Action::Adopted).into_iter().collect();
        }
        let revision = pointer.revision;
        let sent_at = match self.to_read {
            Some(to_read) if to_read.revision == revision => sent_at.max(to_read.sent_at),
            _ => sent_at,
        };
        self.to_read = Some(RevisionToRead { revision, sent_at });
        vec![Action::ReadRevision(revision)]
    }

    fn on_revision(&mut self, row: Option<&Row>) -> Vec<Action> {
        let (Some(to_read), Some(row)) = (self.to_read, row) else {
            return Vec::new();
        };
        let record = Record::from_row(row);
        let manifest = record.as_ref().and_then(|one| one.text.parse().ok());
        let (Some(record), Some(manifest)) = (record, manifest) else {
            self.counters.invalid_rows += 1;
            return Vec::new();
        };
        if record.revision != to_read.revision {
            return Vec::new();
        }
        self.to_read = None;
        self.evidence.adopt(Committed {
            revision: record.revision,
            operation: record.operation,
            manifest,
        });
        self.evidence.verified_at = Some(to_read.sent_at);
        vec![Action::Adopted(record.revision)]
    }

    fn on_peer_report(
        &mut self,
        vm: id::Vm,
        sent_at: Instant,
        report: Report,
        now: Instant,
    ) -> Vec<Action> {
        let (revision, operation) = (report.revision, report.operation);
        let adopted = operation.and_then(|one| self.evidence.adopt_pending(revision, one));
        if revision > self.evidence.newest {
            self.evidence.newest = revision;
            self.next_read = now;
        }
        self.evidence.record_report(vm, sent_at, report);
        adopted.map(Action::Adopted).into_iter().collect()
    }

    fn on_tick(&mut self, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_reading = self
            .read_in_flight
            .is_some_and(|sent_at| now < sent_at + READ_TIMEOUT);
        if now >= self.next_read && !is_reading {
            self.read_in_flight = Some(now);
            self.next_read = now + POLL_INTERVAL;
            actions.push(Action::Read);
        }
        if self.close_at.is_some_and(|at| now >= at) {
            self.close_at = None;
            actions.extend(self.close(now));
            self.schedule_close(now, rng);
        }
        actions
    }

    /// Rewrites the current row unchanged, so that a delayed write of a committing node conflicts.
    fn close(&self, now: Instant) -> Option<Action> {
        let row = self.row.as_ref()?;
        let is_recent = self.last_read_sent? + READ_TIMEOUT >= now;
        let has_open_promise = self.evidence.has_promise_at(row.version);
        (is_recent && has_open_promise).then(|| {
            let txn = Txn::new().check(CURRENT, row.version);
            Action::Close(txn.put(CURRENT, row.value.clone()))
        })
    }

    fn schedule_close(&mut self, now: Instant, rng: &mut dyn Rng) {
        if !self.evidence.has_open_promises() {
            self.close_at = None;
        } else if self.close_at.is_none() {
            self.close_at = Some(now + CLOSE_AFTER + jitter(rng));
        }
    }
}

fn jitter(rng: &mut dyn Rng) -> Duration {
    MAX_JITTER.mul_f64(rng.random::<f64>())
}
