//! The owner of a trainer is killed in the middle of a step.

use crate::cluster::Cluster;
use crate::process::wait_for;
use rustix::process::Signal;

/// Guards against samples that are lost or delivered twice when the node that owns the
/// trainer dies, and against a trainer that no other node takes up.
#[test]
fn kill_mid_step() {
    let mut cluster = Cluster::start("killed-owner", 3);
    let trainer = cluster.trainer(5, 300);
    let owner = wait_for("an owner", || cluster.holder("trainer.weld"));
    cluster.wait_accepted(2);
    let process = cluster.nodes[owner].process.take().unwrap();
    process.signal(Signal::KILL);
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 80);
    assert_ne!(cluster.holder("trainer.weld"), None);
}

/// Guards against state that is kept on a node: all nodes are killed and started again.
#[test]
fn restart_all() {
    let mut cluster = Cluster::start("restart-all", 2);
    let trainer = cluster.trainer(4, 300);
    cluster.wait_delivered();
    for number in 0..2 {
        drop(cluster.nodes[number].process.take());
    }
    for number in 0..2 {
        cluster.start_node(number);
    }
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 64);
}

/// Guards against faults that show only with as many nodes as today's deployments have: of 11
/// nodes in two regions, the owner and two others are killed in the middle of a step.
#[test]
fn eleven_nodes() {
    let mut cluster = Cluster::start("eleven-nodes", 11);
    let trainer = cluster.trainer(5, 200);
    let owner = wait_for("an owner", || cluster.holder("trainer.weld"));
    cluster.wait_accepted(2);
    for number in [owner, (owner + 1) % 11, (owner + 2) % 11] {
        let process = cluster.nodes[number].process.take().unwrap();
        process.signal(Signal::KILL);
    }
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 80);

    let address = cluster.nodes[(owner + 3) % 11].address;
    assert_eq!(cluster.stream(address, "after").unwrap().status, 200);
    let killed = [owner, (owner + 1) % 11, (owner + 2) % 11].map(|at| cluster.nodes[at].address);
    wait_for("a list without the killed nodes", || {
        let listed = cluster.get(address, "/v1/addresses")?;
        let listed: Vec<std::net::SocketAddr> =
            serde_json::from_value(listed["addresses"].clone()).ok()?;
        let all_gone = killed.iter().all(|one| !listed.contains(one));
        (all_gone && listed.len() == 8).then_some(())
    });
}
