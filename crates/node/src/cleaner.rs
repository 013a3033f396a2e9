//! The thread that deletes expired rows of calls with an idempotency key.

use crate::lease_manager::LeaseManager;
use crate::shared::Shared;
use dogwoodlb_external::table::{Row, Txn};
use dogwoodlb_lease::LeaseName;
use dogwoodlb_once::{is_expired, ROW_KEY_PREFIX};
use dogwoodlb_types::Instant;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Name of the lease that elects the node that deletes rows.
const LEASE: &str = "cleanup";

/// Interval between scans. Rows live for 24 h, so a late deletion costs little.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(600);

/// Pause between transactions, so that cleanup doesn't crowd out other table traffic.
const BATCH_PAUSE: Duration = Duration::from_millis(200);

/// Rows deleted per transaction.
const BATCH_ROWS: usize = 64;

/// Interval between checks for a due scan and for a shutdown.
const TICK: Duration = Duration::from_millis(250);
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Deletes expired rows while this node holds the cleanup lease, until the node stops.
pub(crate) fn run(shared: &Arc<Shared>) {
    let name = LEASE.parse().map(LeaseName::Other);
    let Ok(lease) = name.and_then(|name| LeaseManager::new(shared, name)) else {
        return;
    };
    let lease = Arc::new(lease);
    shared.start_lease(&lease);
    let mut next_scan_at = Instant::default();
    while !shared.is_stopped() {
        thread::sleep(TICK);
        let now = shared.now();
        if now >= next_scan_at && lease.guard(now).is_some() {
            next_scan_at = now + CLEANUP_INTERVAL;
            delete_expired(shared, &lease);
        }
    }
}

fn delete_expired(shared: &Shared, lease: &LeaseManager) {
    let rows = shared.platform.table.scan(ROW_KEY_PREFIX, CALL_TIMEOUT);
    shared.count_store_failure(&rows);
    let wall = shared.timestamp();
    // Rows that can't be decoded are kept for operators to inspect.
    let expired = |row: &Row| is_expired(&row.value, wall).unwrap_or(false);
    let rows: Vec<Row> = rows
        .unwrap_or_default()
        .into_iter()
        .filter(expired)
        .collect();
    for chunk in rows.chunks(BATCH_ROWS) {
        let Some(guard) = lease.guard(shared.now()) else {
            return;
        };
        let mut txn = Txn::new().check(lease.fence_key(), guard.fence_row_version);
        for row in chunk {
            txn = txn.check(&row.key, row.version).delete(&row.key);
        }
        let outcome = shared.platform.table.commit(&txn, CALL_TIMEOUT);
        shared.count_store_failure(&outcome);
        thread::sleep(BATCH_PAUSE);
    }
    shared
        .recorder
        .record(shared.timestamp(), "calls_cleaned", |event| {
            event.with("rows", rows.len())
        });
}
