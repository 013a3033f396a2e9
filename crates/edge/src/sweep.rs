//! Removes what the store holds of old batches.

use crate::archive::Error;
use crate::storage::{self, BODIES, OUTCOMES, SHARED, TEXTS};
use crate::tools::Tools;
use dogwoodlb_external::store::{Outcome, Txn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two looks for old batches.
pub(crate) const INTERVAL: Duration = Duration::from_secs(5);
/// Batches are removed after this many times the time for which results have to be kept.
const KEPT: u32 = 2;

/// Removes old batches of a service for ever.
pub(crate) async fn run(tools: Rc<Tools>, service: String) {
    loop {
        sleep(INTERVAL.min(tools.settings.results())).await;
        for (batch, row) in old(&tools, &service) {
            match remove(&tools, &batch, row).await {
                Ok(rows) => tracing::info!(batch, rows, "batch_removed"),
                Err(error) => tracing::info!(batch, %error, "batch_not_removed"),
            }
        }
    }
}

fn old(tools: &Tools, service: &str) -> Vec<(String, u64)> {
    let Some(now_ms) = tools.storage.earliest_ms() else {
        return Vec::new();
    };
    let kept = (tools.settings.results() * KEPT).as_millis();
    let heads = tools.known.heads.borrow();
    let old = heads.iter().filter(|(_, head)| {
        let age_ms = now_ms.saturating_sub(head.value.submitted_ms);
        head.value.service == service && !head.value.is_open() && u128::from(age_ms) > kept
    });
    old.map(|(batch, head)| (batch.clone(), head.row)).collect()
}

/// Removes the head first: without it nobody reads the rest, and whatever a crash leaves is
/// only wasted room.
async fn remove(tools: &Tools, batch: &str, row: u64) -> Result<usize, Error> {
    let key = storage::head_key(batch);
    let txn = Txn::default().check(SHARED, &key, row).remove(SHARED, &key);
    if let Outcome::Conflict { .. } = tools.storage.commit(&txn).await? {
        return Ok(0);
    }
    tools.known.heads.borrow_mut().remove(batch);
    let mut keys = Vec::new();
    for table in [BODIES, OUTCOMES, TEXTS] {
        let rows = tools.storage.list(table, &format!("{batch}/")).await?;
        keys.extend(rows.into_iter().map(|row| (table, row.key)));
    }
    for some in keys.chunks(storage::TXN_ROWS) {
        let mut txn = Txn::default();
        for (table, key) in some {
            txn = txn.remove(table, key);
        }
        tools.storage.commit(&txn).await?;
    }
    Ok(keys.len() + 1)
}
