use std::fmt;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code for wrong arguments or settings.
pub(crate) const USAGE: u8 = 2;

/// Why a command failed.
pub(crate) struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("cannot read the settings at {}: {cause}", .path.display())]
    Read { path: PathBuf, cause: io::Error },
    #[error("the settings at {} have faults:\n{cause}", .path.display())]
    Settings {
        path: PathBuf,
        cause: dogwoodlb_manifest::Error,
    },
    #[error("no settings: use --settings or set DOGWOODLB_SETTINGS")]
    NoSettings,
    #[error("the settings at {} have faults: {cause}", .path.display())]
    EdgeSettings {
        path: PathBuf,
        cause: dogwoodlb_edge::settings::Error,
    },
    #[error("the node can't start: {0}")]
    Edge(#[from] dogwoodlb_edge::Error),
    #[error("the node ended: {0}")]
    EdgeEnded(dogwoodlb_edge::Error),
    #[error("the runtime can't start: {0}")]
    Runtime(io::Error),
    #[error("the node can't start: {0}")]
    Node(#[from] dogwoodlb_node::Error),
    #[error("signals can't be handled: {0}")]
    Signal(io::Error),
    #[error("a stand-in can't start: {0}")]
    Standin(#[from] dogwoodlb_standin::Error),
    #[error("the manifest of the demo was not accepted: {0}")]
    Manifest(String),
    #[error("cannot read {}: {cause}", .path.display())]
    File { path: PathBuf, cause: io::Error },
    #[error("cannot write {}: {cause}", .path.display())]
    Write { path: PathBuf, cause: io::Error },
    #[error("{}: {cause}", .path.display())]
    Experiment {
        path: PathBuf,
        cause: dogwoodlb_emulator::Error,
    },
    #[error("{0}")]
    Name(#[from] dogwoodlb_types::Error),
}

impl Error {
    /// Returns the exit code of the command.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match *self.0 {
            Inner::Read { .. }
            | Inner::Settings { .. }
            | Inner::Experiment { .. }
            | Inner::File { .. }
            | Inner::NoSettings
            | Inner::EdgeSettings { .. } => ExitCode::from(USAGE),
            _ => ExitCode::FAILURE,
        }
    }
}

impl<E: Into<Inner>> From<E> for Error {
    #[cold]
    fn from(inner: E) -> Self {
        Self(Box::new(inner.into()))
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
