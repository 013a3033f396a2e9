use std::io;
use std::net::SocketAddr;

/// An error that prevents a node from starting, or ends it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener could not be bound.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// A name in the settings is invalid.
    #[error("invalid name in the settings: {0}")]
    Name(#[from] dogwoodlb_types::Error),
    /// The metrics could not be registered.
    #[error("cannot register the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// A background task panicked, so that the node can't go on.
    #[error("the task `{task}` panicked")]
    Panic {
        /// The name of the task.
        task: &'static str,
    },
}
