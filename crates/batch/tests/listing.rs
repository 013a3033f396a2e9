//! Guards against a position that shows another result than before: a lister took the write of
//! another one for its own whose answer was lost, and showed its results (kauri-ridge trouble-2,
//! seed 1008508539014: TWICE in one of five plays).

use dogwoodlb_batch::{Head, Standing};
use rstest::rstest;

fn head(owner: &str, claim: u64, listed: u32) -> Head {
    Head {
        owner: owner.to_owned(),
        claim,
        items: 100,
        listed,
        ..Head::default()
    }
}

#[rstest]
#[case::answer_lost(head("a", 7, 26), Standing::Written)]
#[case::nothing_written(head("a", 3, 22), Standing::Unchanged)]
#[case::other_owner(head("b", 3, 22), Standing::Lost)]
#[case::other_owner_listed(head("b", 5, 26), Standing::Lost)]
// After another node owned the batch for a moment, two listers of one node wrote four each.
#[case::earlier_lister_of_the_node(head("a", 3, 26), Standing::Lost)]
#[case::later_lister_of_the_node(head("a", 9, 26), Standing::Lost)]
#[case::as_many_by_another(head("a", 9, 22), Standing::Lost)]
fn after_a_write(#[case] found: Head, #[case] standing: Standing) {
    let before = head("a", 3, 22);
    let written = head("a", 7, 26);
    assert_eq!(found.standing(&before, &written), standing);
}

#[test]
fn ended_meanwhile() {
    let before = head("a", 7, 22);
    let written = head("a", 7, 26);
    let ended = Head {
        ended: true,
        ..before.clone()
    };
    assert_eq!(ended.standing(&before, &written), Standing::Ended);
    let both = Head {
        ended: true,
        ..written.clone()
    };
    assert_eq!(both.standing(&before, &written), Standing::Written);
}
