//! The settings of a node.

use crate::reader::{self, Item, Reader};
use crate::Result;
use dogwoodlb_types::id;
use std::net::SocketAddr;

/// The log level of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Normal operation.
    Info,
    /// Details for debugging.
    Debug,
    /// All events.
    Trace,
}

impl Level {
    const ALL: [Self; 5] = [
        Self::Error,
        Self::Warn,
        Self::Info,
        Self::Debug,
        Self::Trace,
    ];

    /// Returns the name used in the settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// The settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The name of the VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its data centre.
    pub centre: id::Centre,
    /// The HTTP address for callers.
    pub address: SocketAddr,
    /// The UDP and TCP address for other nodes.
    pub peer: SocketAddr,
    /// The address of the table service.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the service that lists the VMs.
    pub vms: SocketAddr,
    /// The StatsD address for metrics, if any.
    pub statsd: Option<SocketAddr>,
    /// The log level, if set.
    pub log: Option<Level>,
}

/// Parses and validates the settings of a node.
///
/// # Errors
///
/// Returns all faults, like [`from_str`](crate::from_str).
///
/// # Examples
///
/// ```
/// use dogwoodlb_manifest::settings;
///
/// let error = settings::from_str(r#"{"vm": "entry-1", "port": 80}"#).unwrap_err();
/// assert_eq!(error.faults().len(), 8); // seven fields are missing, one is unknown
/// ```
pub fn from_str(text: &str) -> Result<Settings> {
    reader::read(text, settings)
}

fn settings(reader: &mut Reader, root: Item<'_>) -> Option<Settings> {
    let known = [
        "vm", "region", "centre", "address", "peer", "table", "objects", "vms", "statsd", "log",
    ];
    let fields = reader.object(&root, &known)?;
    let vm = reader.required_field(&fields, "vm", Reader::name);
    let region = reader.required_field(&fields, "region", Reader::name);
    let centre = reader.required_field(&fields, "centre", Reader::name);
    let address = reader.required_field(&fields, "address", Reader::unique_address);
    let peer = reader.required_field(&fields, "peer", Reader::unique_address);
    let mut remote = |name| reader.required_field(&fields, name, Reader::address);
    let (table, objects, vms) = (remote("table"), remote("objects"), remote("vms"));
    let statsd = fields
        .optional("statsd")
        .and_then(|item| reader.address(&item));
    let log = fields.optional("log").and_then(|item| {
        let expected = "a level: `error`, `warn`, `info`, `debug` or `trace`";
        reader.parse(&item, expected, |text| {
            Level::ALL.into_iter().find(|level| level.as_str() == text)
        })
    });
    Some(Settings {
        vm: vm?,
        region: region?,
        centre: centre?,
        address: address?,
        peer: peer?,
        table: table?,
        objects: objects?,
        vms: vms?,
        statsd,
        log,
    })
}
