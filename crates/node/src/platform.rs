use dogwoodlb_external::{Engine, ObjectStore, Service, Table, VmList};
use dogwoodlb_types::Clock;
use std::sync::Arc;

/// The clients of the external systems that a node depends on.
#[derive(Clone)]
pub struct Platform {
    /// Monotonic and wall clocks.
    pub clock: Arc<dyn Clock>,
    /// Client of the model engines.
    pub engine: Arc<dyn Engine>,
    /// Client of the object store.
    pub objects: Arc<dyn ObjectStore>,
    /// Client of the plain services.
    pub service: Arc<dyn Service>,
    /// Client of the table service.
    pub table: Arc<dyn Table>,
    /// Client of the VM inventory.
    pub vms: Arc<dyn VmList>,
}
