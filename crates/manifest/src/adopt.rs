//! Which manifest a node may act on.
//!
//! [`Adoption`] polls the table, answers proposals, keeps what other nodes report and tells on
//! demand whether the node may act. docs/design.md, section 4.5, gives the rules.

use crate::evidence::{Evidence, Held, Pending};
pub use crate::proposal::{Answer, Proposal, Report};
use crate::record::{Pointer, Record, CURRENT};
use crate::Manifest;
use dogwoodlb_external::table::{Row, Txn};
use dogwoodlb_types::{id, Instant};
use rand::{Rng, RngExt};
use std::time::Duration;

/// A table read or a report of another node is evidence for this long.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(3);

/// How often the row `manifest/current` is read.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A read without a reply for this long no longer delays the next one.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// A proposal without an outcome is closed after this time; a committing node gives up waiting
/// for promises after half of it.
pub const CLOSE_AFTER: Duration = Duration::from_secs(4);

/// Writes after an outage, and closing writes, are spread over this time.
const JITTER: Duration = Duration::from_secs(2);

/// More commits than this at the same moment are refused.
const MAX_PENDING: usize = 4;

/// The row `manifest/current` holds three short fields.
const MAX_POINTER_BYTES: usize = 1_024;

/// What happened, as the shell reports it.
#[derive(Clone, Debug)]
pub enum Event {
    /// The row [`CURRENT`] was read.
    Read {
        /// When the read was sent.
        began: Instant,
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
        /// When this node sent the ping; the answer proves nothing about a later time.
        began: Instant,
        /// What it reported.
        report: Report,
    },
    /// A commit on this node was accepted, so that a read will show something new.
    Refresh,
    /// Time has passed.
    Tick,
}

/// What the shell must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the row [`CURRENT`] and report [`Event::Read`] or [`Event::ReadFailed`].
    Read,
    /// Read the row of a revision and report [`Event::Revision`] or [`Event::ReadFailed`].
    ReadRevision(id::Revision),
    /// Commit a transaction that closes abandoned proposals; its result need not be reported,
    /// because the next read shows it.
    Close(Txn),
    /// The node now holds this revision.
    Adopted(id::Revision),
}

/// What a node may act on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Authority<'a> {
    /// This manifest is in force.
    Sole(&'a Manifest),
    /// One of several manifests is in force; this one allows only what all of them allow.
    Joint(&'a Manifest),
    /// The node can't know what is in force and must stop accepting new work.
    Unknown,
}

/// How often something was refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Reads that showed an older state than one seen before.
    pub older_reads: u64,
    /// Rows that are malformed or hold a text with faults.
    pub invalid_rows: u64,
    /// Proposals that got another answer than [`Answer::Promised`].
    pub refused_proposals: u64,
}

/// A revision that the table names and whose text has still to be read.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    revision: id::Revision,
    began: Instant,
}

/// The manifest of one node.
#[derive(Debug)]
pub struct Adoption {
    evidence: Evidence,
    row: Option<Row>,
    has_read: bool,
    read_began: Option<Instant>,
    wanted: Option<Wanted>,
    reading: Option<Instant>,
    next_read: Instant,
    close_at: Option<Instant>,
    store_failed: bool,
    counters: Counters,
}

impl Adoption {
    /// Creates the state of a node that knows nothing yet.
    pub fn new(vm: id::Vm, now: Instant) -> Self {
        Self {
            evidence: Evidence::new(vm),
            row: None,
            has_read: false,
            read_began: None,
            wanted: None,
            reading: None,
            next_read: now,
            close_at: None,
            store_failed: false,
            counters: Counters::default(),
        }
    }

    /// Returns what the node may act on.
    ///
    /// Ask again right before each action, with the clock read then: a process that was paused
    /// in between may no longer act.
    pub fn authority(&self, now: Instant) -> Authority<'_> {
        self.evidence.authority(now)
    }

    /// Returns the revision that the node holds, 0 for none.
    pub fn revision(&self) -> id::Revision {
        self.evidence.revision()
    }

    /// Returns the manifest that the node holds, in force or not.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.evidence.held.as_ref().map(|held| &held.manifest)
    }

    /// Returns when the latest successful read of the row [`CURRENT`] was sent.
    pub fn last_read(&self) -> Option<Instant> {
        self.read_began
    }

    /// Returns what the node answers to pings.
    pub fn report(&self) -> Report {
        self.evidence.report()
    }

    /// Returns how often something was refused.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes in an event and returns what to do.
    pub fn on_event(&mut self, event: Event, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        match event {
            Event::Read { began, row } => self.on_read(began, row, now, rng),
            Event::Revision { row } => self.on_text(row.as_ref()),
            Event::ReadFailed => {
                self.reading = None;
                self.store_failed = true;
                Vec::new()
            }
            Event::PeerReport { vm, began, report } => self.on_peer(vm, began, report, now),
            Event::Refresh => {
                self.next_read = now;
                Vec::new()
            }
            Event::Tick => self.on_tick(now, rng),
        }
    }

    /// Answers a proposal of a committing node, which may be this one.
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
        if !self.has_read || self.evidence.held.is_none() {
            return Answer::Unready;
        }
        let revision = self.evidence.newest;
        if proposal.row_version < self.evidence.row_version || proposal.base < revision {
            return Answer::Stale { revision };
        }
        // A later row version means that the outcome of earlier proposals is decided.
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
        self.evidence.promise(Pending {
            operation: proposal.operation,
            base: proposal.base,
            row_version: proposal.row_version,
            manifest,
        });
        Answer::Promised
    }

    fn on_read(
        &mut self,
        began: Instant,
        row: Option<Row>,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Vec<Action> {
        self.reading = None;
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
        self.read_began = self.read_began.max(Some(began));
        if std::mem::take(&mut self.store_failed) {
            let earliest = now + jitter(rng);
            self.close_at = self.close_at.map(|at| at.max(earliest));
        }
        let actions = pointer.map(|pointer| self.on_pointer(&pointer, version, began));
        if !std::mem::replace(&mut self.has_read, true) && version > 0 {
            self.evidence.barrier = Some(version);
        }
        self.schedule_close(now, rng);
        actions.unwrap_or_default()
    }

    fn on_pointer(&mut self, pointer: &Pointer, version: u64, began: Instant) -> Vec<Action> {
        let adopted = self
            .evidence
            .adopt_pending(pointer.revision, pointer.operation);
        self.evidence.newest = pointer.revision;
        self.evidence.settle(version);
        if self.evidence.revision() == pointer.revision {
            self.evidence.shown = self.evidence.shown.max(Some(began));
            self.wanted = None;
            return adopted.map(Action::Adopted).into_iter().collect();
        }
        let revision = pointer.revision;
        let began = match self.wanted {
            Some(wanted) if wanted.revision == revision => began.max(wanted.began),
            _ => began,
        };
        self.wanted = Some(Wanted { revision, began });
        vec![Action::ReadRevision(revision)]
    }

    fn on_text(&mut self, row: Option<&Row>) -> Vec<Action> {
        let (Some(wanted), Some(row)) = (self.wanted, row) else {
            return Vec::new();
        };
        let record = Record::from_row(row);
        let manifest = record.as_ref().and_then(|one| one.text.parse().ok());
        let (Some(record), Some(manifest)) = (record, manifest) else {
            self.counters.invalid_rows += 1;
            return Vec::new();
        };
        if record.revision != wanted.revision {
            return Vec::new();
        }
        self.wanted = None;
        self.evidence.adopt(Held {
            revision: record.revision,
            operation: record.operation,
            manifest,
        });
        self.evidence.shown = Some(wanted.began);
        vec![Action::Adopted(record.revision)]
    }

    fn on_peer(&mut self, vm: id::Vm, began: Instant, report: Report, now: Instant) -> Vec<Action> {
        let (revision, operation) = (report.revision, report.operation);
        let adopted = operation.and_then(|one| self.evidence.adopt_pending(revision, one));
        if revision > self.evidence.newest {
            self.evidence.newest = revision;
            self.next_read = now;
        }
        self.evidence.record(vm, began, report);
        adopted.map(Action::Adopted).into_iter().collect()
    }

    fn on_tick(&mut self, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        let busy = self.reading.is_some_and(|began| now < began + READ_TIMEOUT);
        if now >= self.next_read && !busy {
            self.reading = Some(now);
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

    /// Rewrites the current row unchanged, so that a late write of a committer conflicts.
    fn close(&self, now: Instant) -> Option<Action> {
        let row = self.row.as_ref()?;
        let fresh = self.read_began? + READ_TIMEOUT >= now;
        let open = self.evidence.open_at(row.version);
        (fresh && open).then(|| {
            let txn = Txn::new().check(CURRENT, row.version);
            Action::Close(txn.put(CURRENT, row.value.clone()))
        })
    }

    fn schedule_close(&mut self, now: Instant, rng: &mut dyn Rng) {
        if !self.evidence.is_open() {
            self.close_at = None;
        } else if self.close_at.is_none() {
            self.close_at = Some(now + CLOSE_AFTER + jitter(rng));
        }
    }
}

fn jitter(rng: &mut dyn Rng) -> Duration {
    JITTER.mul_f64(rng.random::<f64>())
}
