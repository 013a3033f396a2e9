//! A node shuts down while it serves.

use crate::cluster::Cluster;
use rustix::process::Signal;
use std::thread;

/// Guards against requests that are cut by a shutdown, and against callers with a cached
/// address that are refused too early: customers call the node without a pause from before
/// the signal until it refuses them, and a trainer runs meanwhile.
#[test]
fn nothing_cut() {
    let mut cluster = Cluster::start("graceful-drain", 2);
    let trainer = cluster.trainer(5, 200);
    let node = cluster.nodes[0].process.take().unwrap();
    let address = cluster.nodes[0].address;
    node.signal(Signal::TERM);
    thread::scope(|scope| {
        for customer in 0..4 {
            let cluster = &cluster;
            scope.spawn(move || {
                for number in 0.. {
                    let answer = cluster.stream(address, &format!("c{customer}-{number}"));
                    // Without an answer the node has ended; it must have refused before.
                    let Some(answer) = answer else {
                        panic!("a request was cut before the node refused any");
                    };
                    if answer.status != 200 {
                        assert_eq!(answer.json()["error"]["code"], "leaving", "{}", answer.text);
                        assert!(number > 0);
                        break;
                    }
                    assert!(answer.text.ends_with("data: [DONE]\n\n"), "{}", answer.text);
                }
            });
        }
    });
    let (status, _) = node.wait();
    assert!(status.success());
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 80);
}
