use crate::adopt::{Authority, EVIDENCE_TTL};
use crate::joint::joint;
use crate::proposal::Report;
use crate::Manifest;
use dogwoodlb_types::{id, Instant};
use std::collections::BTreeMap;

/// A committed manifest.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) revision: id::Revision,
    pub(crate) operation: id::Operation,
    pub(crate) manifest: Manifest,
}

/// A proposed manifest without a known outcome.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) operation: id::Operation,
    pub(crate) base: id::Revision,
    pub(crate) row_version: u64,
    pub(crate) manifest: Manifest,
}

/// What a node knows about the manifest in force.
#[derive(Debug)]
pub(crate) struct Evidence {
    vm: id::Vm,
    pub(crate) held: Option<Held>,
    /// When the latest read that showed the held revision was sent.
    pub(crate) shown: Option<Instant>,
    /// The newest committed revision that the node knows of.
    pub(crate) newest: id::Revision,
    /// The row `manifest/current` has at least this version.
    pub(crate) row_version: u64,
    /// A promise that the node gave before its restart can be open while the row has this
    /// version.
    pub(crate) barrier: Option<u64>,
    pub(crate) pending: Vec<Pending>,
    joint: Option<Manifest>,
    reports: BTreeMap<id::Vm, (Instant, Report)>,
}

impl Evidence {
    pub(crate) fn new(vm: id::Vm) -> Self {
        Self {
            vm,
            held: None,
            shown: None,
            newest: id::Revision(0),
            row_version: 0,
            barrier: None,
            pending: Vec::new(),
            joint: None,
            reports: BTreeMap::new(),
        }
    }

    pub(crate) fn revision(&self) -> id::Revision {
        self.held
            .as_ref()
            .map_or(id::Revision(0), |held| held.revision)
    }

    pub(crate) fn report(&self) -> Report {
        Report {
            revision: self.revision(),
            operation: self.held.as_ref().map(|held| held.operation),
            pending: self.operations(),
            settled: self.barrier.is_none(),
        }
    }

    fn operations(&self) -> Vec<id::Operation> {
        self.pending.iter().map(|one| one.operation).collect()
    }

    pub(crate) fn authority(&self, now: Instant) -> Authority<'_> {
        let Some(held) = &self.held else {
            return Authority::Unknown;
        };
        if self.shown.is_some_and(|began| now <= began + EVIDENCE_TTL) {
            return Authority::Sole(&held.manifest);
        }
        if self.newest > held.revision {
            return Authority::Unknown;
        }
        let mine = self.operations();
        let mut lists = self.pending.iter().map(|pending| &pending.manifest);
        if !self.confirmed(&held.manifest, &mine, now)
            || !lists.all(|list| self.confirmed(list, &mine, now))
        {
            return Authority::Unknown;
        }
        match (&self.joint, self.pending.is_empty()) {
            (_, true) => Authority::Sole(&held.manifest),
            (Some(joint), false) => Authority::Joint(joint),
            (None, false) => Authority::Unknown,
        }
    }

    /// Returns whether a majority of the VMs that `list` names hold the same revision and know
    /// of no proposal that this node doesn't know.
    ///
    /// A commit needs promises from a majority before its write. So at least one of the
    /// reports counted here would tell of it, or was asked for before the write.
    fn confirmed(&self, list: &Manifest, mine: &[id::Operation], now: Instant) -> bool {
        let confirms = |vm: &id::Vm| {
            if *vm == self.vm {
                return self.barrier.is_none();
            }
            self.reports.get(vm).is_some_and(|(began, report)| {
                now <= *began + EVIDENCE_TTL
                    && report.settled
                    && report.revision == self.revision()
                    && report.pending.iter().all(|one| mine.contains(one))
            })
        };
        let entries = list.entry_vms.iter();
        entries.filter(|entry| confirms(&entry.vm)).count() >= list.quorum()
    }

    /// Keeps the report of a listed VM; those of other VMs count for nothing.
    pub(crate) fn record(&mut self, vm: id::Vm, began: Instant, report: Report) {
        if !self.lists(&vm) {
            return;
        }
        match self.reports.get(&vm) {
            Some((known, _)) if *known > began => {}
            _ => {
                self.reports.insert(vm, (began, report));
            }
        }
    }

    fn lists(&self, vm: &id::Vm) -> bool {
        self.held
            .as_ref()
            .is_some_and(|held| held.manifest.contains_vm(vm))
            || self.pending.iter().any(|one| one.manifest.contains_vm(vm))
    }

    pub(crate) fn promise(&mut self, pending: Pending) {
        self.pending.push(pending);
        self.refresh();
    }

    /// Adopts the pending proposal that became a revision; tells which revision that is.
    pub(crate) fn adopt_pending(
        &mut self,
        revision: id::Revision,
        operation: id::Operation,
    ) -> Option<id::Revision> {
        let wins = |one: &Pending| {
            one.operation == operation && one.base.0.checked_add(1) == Some(revision.0)
        };
        if revision <= self.revision() {
            return None;
        }
        let index = self.pending.iter().position(wins)?;
        let pending = self.pending.swap_remove(index);
        self.settle(pending.row_version.saturating_add(1));
        self.adopt(Held {
            revision,
            operation,
            manifest: pending.manifest,
        });
        Some(revision)
    }

    /// Replaces the held manifest by a later one.
    pub(crate) fn adopt(&mut self, held: Held) {
        if held.revision <= self.revision() {
            return;
        }
        self.newest = self.newest.max(held.revision);
        self.held = Some(held);
        self.shown = None;
        self.refresh();
    }

    /// Drops all proposals that depend on a version of the row before this one.
    pub(crate) fn settle(&mut self, row_version: u64) {
        self.row_version = self.row_version.max(row_version);
        let current = self.row_version;
        self.barrier = self.barrier.filter(|&version| version >= current);
        let before = self.pending.len();
        self.pending.retain(|one| one.row_version >= current);
        if self.pending.len() != before {
            self.refresh();
        }
    }

    /// Returns whether there may be a promise without an outcome.
    pub(crate) fn is_open(&self) -> bool {
        self.barrier.is_some() || !self.pending.is_empty()
    }

    /// Returns whether a promise depends on this version of the row.
    pub(crate) fn open_at(&self, version: u64) -> bool {
        self.barrier == Some(version) || self.pending.iter().any(|one| one.row_version == version)
    }

    fn refresh(&mut self) {
        self.joint = self.held.as_ref().and_then(|held| {
            let same_base = |one: &Pending| one.base == held.revision;
            let all = self.pending.iter().all(same_base);
            (all && !self.pending.is_empty()).then(|| {
                let manifests = self.pending.iter().map(|one| &one.manifest);
                manifests.fold(held.manifest.clone(), |a, b| joint(&a, b))
            })
        });
        let mut reports = std::mem::take(&mut self.reports);
        reports.retain(|vm, _| self.lists(vm));
        self.reports = reports;
    }
}
