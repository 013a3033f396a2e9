//! The faults, the cells and the loop over them.

use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};

/// How long a frozen process sleeps, longer than the term of a lease.
pub(crate) const FREEZE_MS: u64 = 20_000;
/// When a request that is delayed past its deadline takes effect.
pub(crate) const DELAY_MS: u64 = 15_000;
pub(crate) const OUTAGE_MS: u64 = 600_000;
pub(crate) const PEER_CUT_MS: u64 = 30_000;
pub(crate) const REGION_CUT_MS: u64 = 60_000;
/// How long a crashed process takes to start again.
pub(crate) const RESTART_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    CrashBefore,
    CrashAfter,
    /// The process is paused right before the step and goes on after its lease has ended.
    Freeze,
    ReplyLost,
    Repeated,
    /// The request times out and takes effect later.
    Delay,
    /// The store is down for 10 minutes.
    StoreDown,
    /// The link to the other side of this step is cut for this process only.
    PeerCut,
    /// The process can reach nothing outside its region.
    RegionCut,
    /// Two operators commit conflicting manifests at the same moment.
    TwoOperators,
}

pub(crate) const FAULTS: [Fault; 10] = [
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::Freeze,
    Fault::ReplyLost,
    Fault::Repeated,
    Fault::Delay,
    Fault::StoreDown,
    Fault::PeerCut,
    Fault::RegionCut,
    Fault::TwoOperators,
];

pub(crate) type Step = &'static str;
pub(crate) type Cell = (Step, Fault);

/// The faults of one run; each happens at the first visit of its step that is free.
pub(crate) struct Faults {
    armed: Vec<Cell>,
    pub(crate) met: usize,
}

impl Faults {
    pub(crate) fn at(&mut self, step: Step) -> Option<Fault> {
        let index = self.armed.iter().position(|(own, _)| *own == step)?;
        self.met += 1;
        Some(self.armed.remove(index).1)
    }
}

/// One path through the cores and the steps of it.
pub(crate) struct Path {
    pub(crate) name: &'static str,
    pub(crate) steps: &'static [Step],
    /// The steps that write outside the process, for pairs of faults.
    pub(crate) writes: &'static [Step],
    /// Runs the path; panics if an invariant doesn't hold.
    pub(crate) run: fn(&mut Faults, u64),
    /// The reason why a cell can't occur.
    pub(crate) excuse: fn(Step, Fault) -> Option<&'static str>,
}

impl Path {
    /// Runs the path under some faults and returns how many of them were met.
    fn cell(&self, cells: &[Cell], seed: u64) -> usize {
        let mut faults = Faults {
            armed: cells.to_vec(),
            met: 0,
        };
        let run = AssertUnwindSafe(|| (self.run)(&mut faults, seed));
        if let Err(panic) = catch_unwind(run) {
            eprintln!("failed cell: {} {cells:?} seed {seed}", self.name);
            resume_unwind(panic);
        }
        faults.met
    }

    fn cells(&self) -> impl Iterator<Item = Cell> + '_ {
        let of = |step: &'static str| FAULTS.iter().map(move |fault| (step, *fault));
        self.steps.iter().flat_map(move |step| of(step))
    }

    /// Runs each cell alone; returns the numbers of cells run and excused.
    pub(crate) fn singles(&self) -> (usize, usize) {
        let (mut run, mut excused) = (0, 0);
        for (seed, cell) in (1..).zip(self.cells()) {
            if let Some(reason) = (self.excuse)(cell.0, cell.1) {
                println!("excused: {} {cell:?}: {reason}", self.name);
                excused += 1;
                continue;
            }
            let met = self.cell(&[cell], seed);
            assert_eq!(met, 1, "{} {cell:?}: the fault was not met", self.name);
            run += 1;
        }
        assert_eq!(self.cell(&[], 0), 0);
        (run, excused)
    }

    /// Runs all pairs of faults of the steps that write; returns the numbers of pairs run and
    /// of those in which both faults were met.
    pub(crate) fn pairs(&self) -> (usize, usize) {
        let is_run = |(step, fault): &Cell| {
            self.writes.contains(step) && (self.excuse)(step, *fault).is_none()
        };
        let cells: Vec<Cell> = self.cells().filter(is_run).collect();
        let (mut run, mut both) = (0, 0);
        for (first, a) in cells.iter().enumerate() {
            for b in &cells[first..] {
                let met = self.cell(&[*a, *b], 1_000 + run as u64);
                assert!(met >= 1, "{} {a:?} {b:?}: no fault was met", self.name);
                run += 1;
                both += usize::from(met == 2);
            }
        }
        (run, both)
    }
}
