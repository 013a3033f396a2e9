use crate::error::Inner;
use crate::{LeaseName, Result};
use dogwoodlb_external::table::Row;
use dogwoodlb_types::id;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// `lease/<name>/fence`: the holder and its fencing token.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct FenceRow {
    pub(crate) operation: id::Operation,
    pub(crate) fence: id::Fence,
    pub(crate) vm: id::Vm,
    pub(crate) incarnation: id::Incarnation,
}

/// `lease/<name>/beat`: the last renewal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HeartbeatRow {
    pub(crate) operation: id::Operation,
    pub(crate) released: bool,
}

/// A decoded row and the version at which it was read.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    pub(crate) version: u64,
    pub(crate) row: T,
}

/// Both rows of a lease; they exist together or not at all.
#[derive(Clone, Debug)]
pub(crate) struct Rows {
    pub(crate) fence: Versioned<FenceRow>,
    pub(crate) heartbeat: Versioned<HeartbeatRow>,
}

impl Rows {
    pub(crate) fn parse(name: &LeaseName, rows: &[Row]) -> Result<Option<Self>> {
        let fence_key = name.fence_key();
        let heartbeat_key = name.heartbeat_key();
        match (find(rows, &fence_key)?, find(rows, &heartbeat_key)?) {
            (Some(fence), Some(heartbeat)) => Ok(Some(Self { fence, heartbeat })),
            (None, None) => Ok(None),
            // Treating the lease as new would restart its fencing tokens at 1.
            (None, Some(_)) => Err(Inner::Missing { key: fence_key }.into()),
            (Some(_), None) => Err(Inner::Missing { key: heartbeat_key }.into()),
        }
    }
}

fn find<T: DeserializeOwned>(rows: &[Row], key: &str) -> Result<Option<Versioned<T>>> {
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        return Ok(None);
    };
    match serde_json::from_str(&row.value) {
        Ok(content) => Ok(Some(Versioned {
            version: row.version,
            row: content,
        })),
        Err(cause) => Err(Inner::Row {
            key: key.to_owned(),
            cause,
        }
        .into()),
    }
}

pub(crate) fn to_json<T: Serialize>(row: &T) -> String {
    // Serialising structs of numbers, booleans and strings cannot fail.
    serde_json::to_string(row).unwrap_or_default()
}
