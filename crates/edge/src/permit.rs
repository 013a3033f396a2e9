//! The right of a task to send requests on behalf of a batch's items.

use crate::cluster::ClusterState;
use crate::metrics::Metrics;
use dogwoodlb_batch::Ownership;
use std::rc::Rc;

/// What a request to a replica does for an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    /// It generates the text.
    Run,
    /// It scores the complete text.
    Score,
}

impl RequestKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Score => "score",
        }
    }
}

/// The right of this node to send requests on behalf of the items of one batch.
pub(crate) struct Permit {
    batch: String,
    node: String,
    cluster: Rc<ClusterState>,
    metrics: Rc<Metrics>,
}

impl Permit {
    /// Creates the permit of a node for a batch.
    pub(crate) fn new(
        batch: &str,
        node: &str,
        cluster: &Rc<ClusterState>,
        metrics: &Rc<Metrics>,
    ) -> Self {
        Self {
            batch: batch.to_owned(),
            node: node.to_owned(),
            cluster: cluster.clone(),
            metrics: metrics.clone(),
        }
    }

    /// Counts a request that is about to be sent, and logs it if this node doesn't run the batch
    /// any more.
    pub(crate) fn observe(&self, kind: RequestKind, request: &str) {
        let header = self.cluster.batch_header(&self.batch);
        let ownership = header.map_or(Ownership::Ended, |header| {
            header.value.ownership(&self.node)
        });
        let (kind, ownership) = (kind.as_str(), ownership.as_str());
        self.metrics.count_item_request(kind, ownership);
        if ownership != Ownership::Held.as_str() {
            tracing::warn!(
                request,
                kind,
                batch = self.batch,
                ownership,
                "request_without_batch"
            );
        }
    }
}
