//! Every step of each path under every fault, in virtual time, and pairs of faults for the
//! steps that write. docs/proof.md says what the cells prove and what they don't.

#[path = "matrix/fault.rs"]
mod fault;
#[path = "matrix/holder.rs"]
mod holder;
#[path = "matrix/keyed.rs"]
mod keyed;
#[path = "matrix/revision.rs"]
mod revision;
#[path = "matrix/sample.rs"]
mod sample;
#[path = "matrix/store.rs"]
mod store;
#[path = "../../lease/tests/fake/table.rs"]
mod table;
#[path = "matrix/weights.rs"]
mod weights;

use fault::{Path, FAULTS};
use rstest::rstest;

/// Guards against a step that breaks a promise under one fault, and against a cell that is
/// skipped: each cell runs and meets its fault, or is excused with a reason.
#[rstest]
#[case::keyed(&keyed::PATH)]
#[case::sample(&sample::PATH)]
#[case::commit(&revision::PATH)]
#[case::lease(&holder::PATH)]
#[case::swap(&weights::PATH)]
fn single_faults(#[case] path: &Path) {
    let (run, excused) = path.singles();
    println!("{}: {run} cells run, {excused} excused", path.name);
    assert_eq!(run + excused, path.steps.len() * FAULTS.len());
}

/// Guards against "not run" for a key that an earlier attempt executed.
#[test]
fn not_run_key() {
    keyed::STRICT.singles();
}

/// Guards against a recovery that is itself broken by a second fault.
#[rstest]
#[case::keyed(&keyed::PATH)]
#[case::sample(&sample::PATH)]
#[case::commit(&revision::PATH)]
#[case::lease(&holder::PATH)]
#[case::swap(&weights::PATH)]
fn fault_pairs(#[case] path: &Path) {
    let (run, both) = path.pairs();
    println!("{}: {run} pairs run, both faults met in {both}", path.name);
    assert!(both * 2 > run, "too few pairs meet both faults");
}
