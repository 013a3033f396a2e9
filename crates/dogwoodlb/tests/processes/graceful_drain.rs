//! A node shuts down while it serves.

use crate::cluster::{Answer, Cluster};
use rustix::process::Signal;
use std::thread;
use std::time::{Duration, Instant};

const CUSTOMERS: usize = 4;
/// How long a caller goes on after all others were refused; the node promises 1 s.
const LATE: Duration = Duration::from_millis(400);

fn check_refusal(answer: &Answer) {
    assert_eq!(answer.json()["error"]["code"], "leaving", "{}", answer.text);
}

/// Guards against requests that are cut by a shutdown, against callers with a cached address
/// that are refused too early, and against an exit before a caller was refused: customers call
/// the node from before the signal until it refuses them, and a trainer runs meanwhile.
#[test]
fn nothing_cut() {
    let mut cluster = Cluster::start("graceful-drain", 2);
    let trainer = cluster.trainer(5, 200);
    let node = cluster.nodes[0].process.take().unwrap();
    let address = cluster.nodes[0].address;
    node.signal(Signal::TERM);
    thread::scope(|scope| {
        for customer in 0..CUSTOMERS {
            let cluster = &cluster;
            scope.spawn(move || {
                for number in 0.. {
                    let answer = cluster.stream(address, &format!("c{customer}-{number}"));
                    // Without an answer the node has ended; it must have refused before.
                    let Some(answer) = answer else {
                        panic!("a request was cut before the node refused any");
                    };
                    if answer.status != 200 {
                        check_refusal(&answer);
                        assert!(number > 0);
                        break;
                    }
                    assert!(answer.text.ends_with("data: [DONE]\n\n"), "{}", answer.text);
                }
            });
        }
    });
    let refused = Instant::now();
    for number in 0.. {
        if refused.elapsed() > LATE {
            break;
        }
        let answer = cluster.stream(address, &format!("late-{number}"));
        check_refusal(&answer.expect("a caller between two requests met a closed port"));
    }
    let exit = node.wait();
    assert!(exit.status.success(), "{exit}");
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 80);
}
