use crate::batch_store::BatchStore;
use crate::cluster::ClusterState;
use crate::metrics::Metrics;
use crate::outcome_writer::WriterContext;
use crate::peers::Peers;
use crate::protocol::Protocol;
use crate::score::ScoreClient;
use crate::settings::Settings;
use crate::storage::Storage;
use crate::table_watcher::TableWatcher;
use crate::task::Supervisor;
use crate::usage::UsageMeter;
use dogwoodlb_client::Client;
use std::rc::Rc;

/// The components shared by the tasks of a node.
pub(crate) struct NodeContext {
    pub(crate) batch_store: Rc<BatchStore>,
    pub(crate) client: Client,
    pub(crate) writer_context: WriterContext,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) score_client: ScoreClient,
    pub(crate) settings: Rc<Settings>,
    pub(crate) storage: Rc<Storage>,
    pub(crate) supervisor: Supervisor,
    pub(crate) usage: Rc<UsageMeter>,
    pub(crate) watcher: Rc<TableWatcher>,
}
