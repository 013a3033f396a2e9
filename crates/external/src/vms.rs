//! The platform's list of live and leaving VMs, which may be out of date.

use crate::Result;
use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The state of a VM as listed by the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The platform considers the VM to be running.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// An entry of the VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: id::Vm,
    /// The state of the VM.
    pub state: State,
}

/// The list of VMs.
pub trait VmList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if the platform is unreachable or doesn't respond within `timeout`.
    fn list(&self, timeout: Duration) -> Result<Vec<Vm>>;
}
