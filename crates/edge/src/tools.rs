use crate::archive::Archive;
use crate::known::Known;
use crate::lister::Context;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::protocol::Protocol;
use crate::score::ScoreCaller;
use crate::settings::Settings;
use crate::storage::Storage;
use dogwoodlb_client::Client;
use std::rc::Rc;

/// The parts that a node's duties share.
pub(crate) struct Tools {
    pub(crate) archive: Rc<Archive>,
    pub(crate) client: Client,
    pub(crate) context: Context,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) known: Rc<Known>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) scores: ScoreCaller,
    pub(crate) settings: Rc<Settings>,
    pub(crate) storage: Rc<Storage>,
}
