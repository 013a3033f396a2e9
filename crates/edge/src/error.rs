use std::io;
use std::net::SocketAddr;

/// Why a node can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        cause: io::Error,
    },
    /// A name in the settings is not usable.
    #[error("the settings hold an unusable name: {0}")]
    Name(#[from] dogwoodlb_types::Error),
    /// The metrics can't be set up.
    #[error("the metrics can't be set up: {0}")]
    Metrics(#[from] prometheus::Error),
}
