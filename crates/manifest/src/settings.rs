//! The settings of a node.

use crate::reader::{self, Item, Reader};
use crate::Result;
use dogwoodlb_types::id;
use std::net::SocketAddr;

/// How much a node logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// The normal level.
    Info,
    /// Everything that helps to find a fault.
    Debug,
    /// Everything.
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
    /// Where it serves callers over HTTP.
    pub address: SocketAddr,
    /// Where it serves other nodes over UDP and TCP.
    pub peer: SocketAddr,
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
    /// Where metrics are sent, if anywhere.
    pub statsd: Option<SocketAddr>,
    /// How much is logged.
    pub log: Option<Level>,
}

/// Reads the settings of a node.
///
/// # Errors
///
/// As [`from_str`](crate::from_str): all faults, each with path, line and column.
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
