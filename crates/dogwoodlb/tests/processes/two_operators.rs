//! Two operators commit at the same moment.

use crate::cluster::Cluster;
use crate::process::{binary, Process};

/// Guards against two winners, none, or a loser that isn't told who won.
#[test]
fn one_winner() {
    let cluster = Cluster::start("two-operators", 3);
    let file = cluster.write_manifest("both").display().to_string();
    let commits = [("ana", 0), ("bor", 1)].map(|(operator, node)| {
        let address: std::net::SocketAddr = cluster.nodes[node].address;
        let args = [
            "--node",
            &address.to_string(),
            "--json",
            "commit",
            &file,
            "--base",
            "1",
            "--operator",
            operator,
        ];
        Process::start(binary("dogwoodctl"), &args.map(str::to_owned))
    });
    let mut codes = commits.map(|commit| commit.wait().status.code());
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(1)]);
    cluster.wait_in_force(2);
}
