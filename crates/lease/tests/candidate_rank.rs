//! Ranking of the candidates of a lease.

use dogwoodlb_lease::{rank, LeaseName};
use dogwoodlb_types::id;
use std::collections::BTreeSet;

fn members(count: usize) -> Vec<id::Vm> {
    (0..count)
        .map(|number| format!("entry-{number}").parse().unwrap())
        .collect()
}

fn first_ranked(lease: &LeaseName, members: &[id::Vm]) -> id::Vm {
    let mut members = members.iter().map(|vm| (rank(lease, vm, members), vm));
    members.find(|(rank, _)| *rank == 0).unwrap().1.clone()
}

/// Guards against two candidates with the same rank, which would compete for the lease.
#[test]
fn ranks_are_distinct() {
    let members = members(11);
    let lease = LeaseName::Model("scorer".parse().unwrap());
    let ranks: BTreeSet<usize> = members
        .iter()
        .map(|vm| rank(&lease, vm, &members))
        .collect();
    assert_eq!(ranks, (0..11).collect());
}

/// Guards against a VM that is ranked first for all leases, and against moving leases of the
/// remaining VMs when one VM is removed.
#[test]
fn leases_are_spread_over_members() {
    let all = members(11);
    let mut first_ranked_vms = BTreeSet::new();
    for number in 0..100 {
        let lease = LeaseName::Trainer(format!("trainer-{number}").parse().unwrap());
        let candidate = first_ranked(&lease, &all);
        let remaining: Vec<id::Vm> = all[1..].to_vec();
        if candidate != all[0] {
            assert_eq!(first_ranked(&lease, &remaining), candidate);
        }
        first_ranked_vms.insert(candidate);
    }
    assert_eq!(first_ranked_vms.len(), 11);
}
