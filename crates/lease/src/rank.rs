use crate::LeaseName;
use dogwoodlb_types::id;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the rank of a VM among the candidates of a lease; 0 is the first.
///
/// Rendezvous hashing orders the candidates differently for each lease, which spreads the
/// leases over the VMs. Removing a VM does not change the relative order of the others.
///
/// # Examples
///
/// ```
/// use dogwoodlb_lease::{rank, LeaseName};
/// use dogwoodlb_types::id;
///
/// let members: Vec<id::Vm> = vec!["entry-1".parse()?, "entry-2".parse()?];
/// let name = LeaseName::Trainer("weld".parse()?);
/// assert_eq!(rank(&name, &members[0], &members) + rank(&name, &members[1], &members), 1);
/// # Ok::<(), dogwoodlb_types::Error>(())
/// ```
pub fn rank(lease: &LeaseName, vm: &id::Vm, members: &[id::Vm]) -> usize {
    let name = lease.to_string();
    let own = (score(&name, vm), vm);
    members
        .iter()
        .filter(|member| (score(&name, member), *member) > own)
        .count()
}

fn score(lease: &str, vm: &id::Vm) -> u64 {
    // `#` occurs in neither part, so different pairs are never hashed from the same bytes.
    xxh3_64(format!("{lease}#{vm}").as_bytes())
}
