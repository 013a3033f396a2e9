//! Deletes the rows of expired batches.

use crate::batch_store::Error;
use crate::context::NodeContext;
use crate::storage::{self, BODIES, OUTCOMES, SHARED, TEXTS};
use dogwoodlb_external::store::{Outcome, Txn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The interval between two runs.
const INTERVAL: Duration = Duration::from_secs(5);
/// A batch that is no longer open is deleted when the time since its submission exceeds the
/// retention time of results (`results_s`) times this factor.
const RETENTION_FACTOR: u32 = 2;

/// Periodically deletes the expired batches of a service.
pub(crate) async fn run(context: Rc<NodeContext>, service: String) {
    loop {
        sleep(INTERVAL.min(context.settings.results_ttl())).await;
        for (batch, row_version) in expired_batches(&context, &service) {
            match remove(&context, &batch, row_version).await {
                Ok(rows) => tracing::info!(batch, rows, "batch_removed"),
                Err(error) => tracing::info!(batch, %error, "batch_not_removed"),
            }
        }
    }
}

fn expired_batches(context: &NodeContext, service: &str) -> Vec<(String, u64)> {
    let Some(now_ms) = context.storage.earliest_time_ms() else {
        return Vec::new();
    };
    let retention_ms = (context.settings.results_ttl() * RETENTION_FACTOR).as_millis();
    let headers = context.cluster.batch_headers.borrow();
    let expired = headers.iter().filter(|(_, header)| {
        let age_ms = now_ms.saturating_sub(header.value.submitted_ms);
        header.value.service == service
            && !header.value.is_open()
            && u128::from(age_ms) > retention_ms
    });
    expired
        .map(|(batch, header)| (batch.clone(), header.row_version))
        .collect()
}

/// Deletes a batch, beginning with its header. The other rows can't be reached without the header,
/// so a crash in between only leaves unused rows behind.
async fn remove(context: &NodeContext, batch: &str, row_version: u64) -> Result<usize, Error> {
    let key = storage::header_key(batch);
    let txn = Txn::default()
        .check(SHARED, &key, row_version)
        .remove(SHARED, &key);
    match context.storage.commit(&txn).await? {
        Outcome::Done { version, .. } => context.cluster.remove_batch_header(batch, version),
        Outcome::Conflict { .. } => return Ok(0),
    }
    let mut keys = Vec::new();
    for table in [BODIES, OUTCOMES, TEXTS] {
        let rows = context.storage.list(table, &format!("{batch}/")).await?;
        keys.extend(rows.into_iter().map(|row| (table, row.key)));
    }
    for chunk in keys.chunks(storage::MAX_TXN_ROWS) {
        let mut txn = Txn::default();
        for (table, key) in chunk {
            txn = txn.remove(table, key);
        }
        context.storage.commit(&txn).await?;
    }
    Ok(keys.len() + 1)
}
