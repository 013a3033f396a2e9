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

    /// Returns whether a request may be sent. It may not if this node doesn't run the batch any
    /// more, as far as it knows; the task of the request is then about to be cancelled.
    pub(crate) fn allows(&self, kind: RequestKind, request: &str) -> bool {
        let header = self.cluster.batch_header(&self.batch);
        let ownership = header.map_or(Ownership::Ended, |header| {
            header.value.ownership(&self.node)
        });
        let is_held = ownership == Ownership::Held;
        let (kind, ownership) = (kind.as_str(), ownership.as_str());
        self.metrics.count_item_request(kind, ownership);
        if !is_held {
            tracing::info!(
                request,
                kind,
                batch = self.batch,
                ownership,
                "item_request_refused"
            );
        }
        is_held
    }
}
