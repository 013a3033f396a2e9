//! The platform's list of live and leaving VMs, which lags behind reality.

use crate::Result;
use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The state of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The VM runs, as far as the platform knows.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: id::Vm,
    /// Its state.
    pub state: State,
}

/// The list of VMs.
pub trait VmList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be reached or doesn't answer in time.
    fn list(&self, timeout: Duration) -> Result<Vec<Vm>>;
}
