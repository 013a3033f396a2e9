//! How long crashed nodes stay in the lists of the others, in virtual time.

use crate::cluster::{Cluster, NodeStatus};
use crate::{Report, Result};

const LIMIT_MS: u64 = 60_000;

pub(crate) fn run(report: &mut Report) -> Result<()> {
    // One node, a data centre of 11 and a region of 4.
    for (size, crashed) in [(11, 1), (320, 1), (320, 29), (320, 80)] {
        let mut cluster = Cluster::new(size, 1);
        cluster.status[..crashed].fill(NodeStatus::Down);
        let waited = cluster.advance_until(LIMIT_MS, |cluster| {
            (0..crashed).all(|index| !cluster.is_listed(index))
        });
        let name = format!("members.removed_ms.{crashed}_of_{size}");
        report.add(name, waited as f64);
    }
    Ok(())
}
