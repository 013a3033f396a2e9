//! Guards against two nodes that send one token, calls that arrive with a lower token than an
//! earlier one, nodes that take turns within the lease, and two reports of one window with
//! different counts.
//!
//! All interleavings are played of claims, late and lost commits, lost replies, late and lost calls,
//! crashes with restarts, takeovers at any time, and suspensions (time passes while a node takes no
//! step). A call that is not answered arrives within [`model::CALL_TIME`] or never.

mod interleavings {
    pub(crate) mod model;
}

use interleavings::model::{Budget, State};
use rstest::rstest;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

#[rstest]
#[case::lost_replies(2, Budget { ticks: 6, claims: 3, crashes: 0, losses: 1 })]
#[case::crashes(2, Budget { ticks: 6, claims: 3, crashes: 1, losses: 0 })]
#[case::turns(2, Budget { ticks: 10, claims: 3, crashes: 0, losses: 0 })]
#[case::three_nodes(3, Budget { ticks: 5, claims: 3, crashes: 0, losses: 0 })]
fn rules(#[case] nodes: usize, #[case] budget: Budget) {
    let mut pending = vec![State::new(nodes, budget)];
    let mut visited: HashSet<u64> = HashSet::new();
    let mut finished = 0;
    while let Some(state) = pending.pop() {
        let mut hasher = DefaultHasher::new();
        state.hash(&mut hasher);
        if visited.insert(hasher.finish()) {
            finished += usize::from(state.is_finished());
            pending.extend(state.successors());
        }
    }
    println!("{} states, {finished} with all reports", visited.len());
    assert!(finished > 0, "no interleaving reports all windows");
}
