use crate::adopt::{Authority, EVIDENCE_TTL};
use crate::joint::joint;
use crate::proposal::Report;
use crate::Manifest;
use dogwoodlb_types::{id, Instant};
use std::collections::BTreeMap;

/// A committed manifest.
#[derive(Debug)]
pub(crate) struct Committed {
    pub(crate) revision: id::Revision,
    pub(crate) operation: id::Operation,
    pub(crate) manifest: Manifest,
}

/// A proposed manifest whose outcome is not known yet.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) operation: id::Operation,
    pub(crate) base: id::Revision,
    pub(crate) row_version: u64,
    pub(crate) manifest: Manifest,
}

/// What a node knows about the manifest in force, from the table and from other nodes.
#[derive(Debug)]
pub(crate) struct Evidence {
    vm: id::Vm,
    pub(crate) committed: Option<Committed>,
    /// The time at which the latest read that confirmed the committed revision was sent.
    pub(crate) verified_at: Option<Instant>,
    /// The newest committed revision that the node knows of.
    pub(crate) newest: id::Revision,
    /// A lower bound of the version of the row `manifest/current`.
    pub(crate) row_version: u64,
    /// While the row has this version, a promise that the node gave before a restart may still be
    /// open.
    pub(crate) barrier: Option<u64>,
    pub(crate) pending: Vec<Pending>,
    /// The joint manifest of the committed and all pending ones, if all pending ones are based on
    /// the committed revision.
    joint: Option<Manifest>,
    /// The latest report of each VM, with the time at which it was requested.
    reports: BTreeMap<id::Vm, (Instant, Report)>,
}

impl Evidence {
    pub(crate) fn new(vm: id::Vm) -> Self {
        Self {
            vm,
            committed: None,
            verified_at: None,
            newest: id::Revision(0),
            row_version: 0,
            barrier: None,
            pending: Vec::new(),
            joint: None,
            reports: BTreeMap::new(),
        }
    }

    pub(crate) fn revision(&self) -> id::Revision {
        self.committed
            .as_ref()
            .map_or(id::Revision(0), |committed| committed.revision)
    }

    pub(crate) fn report(&self) -> Report {
        Report {
            revision: self.revision(),
            operation: self.committed.as_ref().map(|committed| committed.operation),
            pending: self.pending_operations(),
            settled: self.barrier.is_none(),
        }
    }

    fn pending_operations(&self) -> Vec<id::Operation> {
        self.pending.iter().map(|one| one.operation).collect()
    }

    pub(crate) fn authority(&self, now: Instant) -> Authority<'_> {
        let Some(committed) = &self.committed else {
            return Authority::Unknown;
        };
        if self
            .verified_at
            .is_some_and(|sent_at| now <= sent_at + EVIDENCE_TTL)
        {
            return Authority::Sole(&committed.manifest);
        }
        if self.newest > committed.revision {
            return Authority::Unknown;
        }
        let own_pending = self.pending_operations();
        let mut manifests = self.pending.iter().map(|pending| &pending.manifest);
        if !self.is_confirmed(&committed.manifest, &own_pending, now)
            || !manifests.all(|manifest| self.is_confirmed(manifest, &own_pending, now))
        {
            return Authority::Unknown;
        }
        match (&self.joint, self.pending.is_empty()) {
            (_, true) => Authority::Sole(&committed.manifest),
            (Some(joint), false) => Authority::Joint(joint),
            (None, false) => Authority::Unknown,
        }
    }

    /// Returns whether a majority of the VMs in `manifest` hold the same revision as this node and
    /// know of no proposal that is unknown to this node.
    ///
    /// A commit needs promises from a majority before its write. Therefore at least one of the
    /// reports counted here would contain the proposal, or was requested before the write.
    fn is_confirmed(
        &self,
        manifest: &Manifest,
        own_pending: &[id::Operation],
        now: Instant,
    ) -> bool {
        let confirms = |vm: &id::Vm| {
            if *vm == self.vm {
                return self.barrier.is_none();
            }
            self.reports.get(vm).is_some_and(|(sent_at, report)| {
                now <= *sent_at + EVIDENCE_TTL
                    && report.settled
                    && report.revision == self.revision()
                    && report.pending.iter().all(|one| own_pending.contains(one))
            })
        };
        let entries = manifest.entry_vms.iter();
        entries.filter(|entry| confirms(&entry.vm)).count() >= manifest.quorum()
    }

    /// Stores the report of a VM, unless neither the committed nor a pending manifest lists it.
    pub(crate) fn record_report(&mut self, vm: id::Vm, sent_at: Instant, report: Report) {
        if !self.lists_vm(&vm) {
            return;
        }
        match self.reports.get(&vm) {
            Some((known, _)) if *known > sent_at => {}
            _ => {
                self.reports.insert(vm, (sent_at, report));
            }
        }
    }

    fn lists_vm(&self, vm: &id::Vm) -> bool {
        self.committed
            .as_ref()
            .is_some_and(|committed| committed.manifest.contains_vm(vm))
            || self.pending.iter().any(|one| one.manifest.contains_vm(vm))
    }

    pub(crate) fn add_pending(&mut self, pending: Pending) {
        self.pending.push(pending);
        self.update_joint();
    }

    /// Adopts the pending proposal that was committed as `revision`. Returns the revision if there
    /// is one.
    pub(crate) fn adopt_pending(
        &mut self,
        revision: id::Revision,
        operation: id::Operation,
    ) -> Option<id::Revision> {
        let was_committed = |one: &Pending| {
            one.operation == operation && one.base.0.checked_add(1) == Some(revision.0)
        };
        if revision <= self.revision() {
            return None;
        }
        let index = self.pending.iter().position(was_committed)?;
        let pending = self.pending.swap_remove(index);
        self.settle(pending.row_version.saturating_add(1));
        self.adopt(Committed {
            revision,
            operation,
            manifest: pending.manifest,
        });
        Some(revision)
    }

    /// Replaces the committed manifest, unless the new one has the same or an older revision.
    pub(crate) fn adopt(&mut self, committed: Committed) {
        if committed.revision <= self.revision() {
            return;
        }
        self.newest = self.newest.max(committed.revision);
        self.committed = Some(committed);
        self.verified_at = None;
        self.update_joint();
    }

    /// Records that the row has at least this version, and drops the proposals that are conditional
    /// on an older one, because they can no longer be committed.
    pub(crate) fn settle(&mut self, row_version: u64) {
        self.row_version = self.row_version.max(row_version);
        let current = self.row_version;
        self.barrier = self.barrier.filter(|&version| version >= current);
        let before = self.pending.len();
        self.pending.retain(|one| one.row_version >= current);
        if self.pending.len() != before {
            self.update_joint();
        }
    }

    /// Returns whether there may be a promise without a known outcome.
    pub(crate) fn has_open_promises(&self) -> bool {
        self.barrier.is_some() || !self.pending.is_empty()
    }

    /// Returns whether there may be a promise without a known outcome for a write that is
    /// conditional on this version of the row.
    pub(crate) fn has_promise_at(&self, version: u64) -> bool {
        self.barrier == Some(version) || self.pending.iter().any(|one| one.row_version == version)
    }

    fn update_joint(&mut self) {
        self.joint = self.committed.as_ref().and_then(|committed| {
            let same_base = |one: &Pending| one.base == committed.revision;
            let have_same_base = self.pending.iter().all(same_base);
            (have_same_base && !self.pending.is_empty()).then(|| {
                let manifests = self.pending.iter().map(|one| &one.manifest);
                manifests.fold(committed.manifest.clone(), |a, b| joint(&a, b))
            })
        });
        let mut reports = std::mem::take(&mut self.reports);
        reports.retain(|vm, _| self.lists_vm(vm));
        self.reports = reports;
    }
}
