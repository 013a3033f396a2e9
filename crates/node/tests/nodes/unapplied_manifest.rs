//! Guards against calls that are refused for good because a new manifest isn't applied yet.

use crate::nodes::cluster::{call, call_until, Cluster};
use dogwoodlb_node::SystemClock;
use dogwoodlb_types::{Clock, Instant, Timestamp};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The name of the thread that applies a manifest.
const ADOPTER: &str = "adopt";
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A clock that halts the thread that applies a manifest, which reads the wall clock after the
/// manifest is in force and before its trainers have owners.
struct HaltingClock {
    inner: SystemClock,
    is_halted: AtomicBool,
}

impl Clock for HaltingClock {
    fn now(&self) -> Instant {
        self.inner.now()
    }

    fn timestamp(&self) -> Timestamp {
        let is_adopter = thread::current().name() == Some(ADOPTER);
        while is_adopter && self.is_halted.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
        }
        self.inner.timestamp()
    }
}

/// A trainer of the manifest in force was refused as unknown, which ends a trainer, while its node
/// had not started the trainer's owner yet.
#[test]
fn trainer_without_owner() {
    const SESSIONS: &str = "/v1/trainers/weld/sessions";
    let clock = Arc::new(HaltingClock {
        inner: SystemClock::new(),
        is_halted: AtomicBool::new(true),
    });
    let cluster = Cluster::start_with(false, clock.clone());
    let refused = loop {
        let reply = call(cluster.address, "POST", SESSIONS, &json!({}));
        // 503: the manifest isn't in force yet.
        if reply.status != 503 {
            break reply;
        }
        thread::sleep(POLL_INTERVAL);
    };
    let body: Value = serde_json::from_slice(&refused.body).unwrap();
    assert_eq!(refused.status, 421, "{body}");
    assert_eq!(body["error"]["ran"], "not_run");
    clock.is_halted.store(false, Ordering::SeqCst);
    call_until(cluster.address, "POST", SESSIONS, &json!({}), 200);
    cluster.node.kill();
}
