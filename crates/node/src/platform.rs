use dogwoodlb_external::{Engine, Objects, Service, Table, Vms};
use dogwoodlb_types::Clock;
use std::sync::Arc;

/// Everything outside the node that it talks to.
#[derive(Clone)]
pub struct Platform {
    /// The clocks.
    pub clock: Arc<dyn Clock>,
    /// The model engines.
    pub engine: Arc<dyn Engine>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
    /// The plain services.
    pub service: Arc<dyn Service>,
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The list of VMs.
    pub vms: Arc<dyn Vms>,
}
