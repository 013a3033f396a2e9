//! The owner of a trainer is stopped for longer than its lease, and wakes up.

use crate::cluster::Cluster;
use crate::process::wait_for;
use rustix::process::Signal;

/// Guards against a holder that wakes up after its lease has ended and still acts: its writes
/// would double or lose samples, its orders would bring back old weights.
#[test]
fn wake_after_lease() {
    let cluster = Cluster::start("frozen-owner", 3);
    let trainer = cluster.trainer(6, 300);
    let owner = wait_for("an owner", || cluster.holder("trainer.weld"));
    cluster.wait_delivered();
    let fence = |cluster: &Cluster| {
        let rows = cluster.get(cluster.table, "/rows?key=lease%2Ftrainer%2Fweld%2Ffence")?;
        let value: serde_json::Value =
            serde_json::from_str(rows["rows"][0]["value"].as_str()?).ok()?;
        value["fence"].as_u64()
    };
    let before = fence(&cluster).unwrap();
    let process = cluster.nodes[owner].process.as_ref().unwrap();
    process.signal(Signal::STOP);
    wait_for("another holder", || {
        fence(&cluster).filter(|now| *now > before)
    });
    process.signal(Signal::CONT);
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 96);
}
