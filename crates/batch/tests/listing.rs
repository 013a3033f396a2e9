//! Guards against a position whose result changes. A writer that lost the response to its own
//! write mistook the write of another for it and published its own results (seen in one of five
//! runs of the kauri-ridge scenario trouble-2 with seed 1008508539014, reported as TWICE).

use dogwoodlb_batch::{BatchHeader, WriteOutcome};
use rstest::rstest;

fn header(owner: &str, writer_id: u64, result_count: u32) -> BatchHeader {
    BatchHeader {
        owner: owner.to_owned(),
        writer_id,
        item_count: 100,
        result_count,
        ..BatchHeader::default()
    }
}

#[rstest]
#[case::answer_lost(header("a", 7, 26), WriteOutcome::Applied)]
#[case::nothing_written(header("a", 3, 22), WriteOutcome::NotApplied)]
#[case::other_owner(header("b", 3, 22), WriteOutcome::Superseded)]
#[case::other_owner_listed(header("b", 5, 26), WriteOutcome::Superseded)]
// After another node had owned the batch briefly, two writers of one node each wrote four results.
#[case::earlier_lister_of_the_node(header("a", 3, 26), WriteOutcome::Superseded)]
#[case::later_lister_of_the_node(header("a", 9, 26), WriteOutcome::Superseded)]
#[case::as_many_by_another(header("a", 9, 22), WriteOutcome::Superseded)]
fn after_a_write(#[case] found: BatchHeader, #[case] outcome: WriteOutcome) {
    let before = header("a", 3, 22);
    let written = header("a", 7, 26);
    assert_eq!(found.resolve_write(&before, &written), outcome);
}

#[test]
fn ended_meanwhile() {
    let before = header("a", 7, 22);
    let written = header("a", 7, 26);
    let ended = BatchHeader {
        ended: true,
        ..before.clone()
    };
    assert_eq!(ended.resolve_write(&before, &written), WriteOutcome::Ended);
    let both = BatchHeader {
        ended: true,
        ..written.clone()
    };
    assert_eq!(both.resolve_write(&before, &written), WriteOutcome::Applied);
}
