//! Guards against a position whose result changes. A writer whose write got no response took the
//! write of another writer for its own and published its own results. This violated the rule TWICE
//! of docs/proof.md in one of five runs of the kauri-ridge scenario trouble-2 with seed
//! 1008508539014.

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
#[case::response_lost(header("a", 7, 26), WriteOutcome::Applied)]
#[case::nothing_written(header("a", 3, 22), WriteOutcome::NotApplied)]
#[case::other_owner(header("b", 3, 22), WriteOutcome::Superseded)]
#[case::other_owner_wrote(header("b", 5, 26), WriteOutcome::Superseded)]
// After another node had owned the batch briefly, two writers of one node each wrote four results.
#[case::earlier_writer_of_same_node(header("a", 3, 26), WriteOutcome::Superseded)]
#[case::later_writer_of_same_node(header("a", 9, 26), WriteOutcome::Superseded)]
#[case::new_writer_without_results(header("a", 9, 22), WriteOutcome::Superseded)]
fn resolves_write(#[case] stored: BatchHeader, #[case] outcome: WriteOutcome) {
    let before = header("a", 3, 22);
    let written = header("a", 7, 26);
    assert_eq!(stored.resolve_write(&before, &written), outcome);
}

#[test]
fn batch_ended_during_write() {
    let before = header("a", 7, 22);
    let written = header("a", 7, 26);
    let ended = BatchHeader {
        ended: true,
        ..before.clone()
    };
    assert_eq!(ended.resolve_write(&before, &written), WriteOutcome::Ended);
    let ended_after_write = BatchHeader {
        ended: true,
        ..written.clone()
    };
    assert_eq!(
        ended_after_write.resolve_write(&before, &written),
        WriteOutcome::Applied
    );
}
