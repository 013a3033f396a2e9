//! A test waits for a state that has passed already.

use crate::cluster::Cluster;

/// Guards against a wait that needs to see a passing state: the trainer's rows change within
/// some 100 ms, so that a poll on a busy machine came too late and the test waited in vain.
#[test]
fn passed_steps() {
    let cluster = Cluster::start("late-wait", 1);
    let trainer = cluster.trainer(3, 0);
    Cluster::check_trainer(trainer);
    cluster.wait_accepted(2);
    cluster.wait_delivered();
}
