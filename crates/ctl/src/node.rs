//! What nodes answer, and how to ask many of them.

use crate::client::{Client, Request, SendError};
use crate::error::{Category, Error};
use crate::Result;
use dogwoodlb_manifest::Manifest;
use dogwoodlb_types::id;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

pub(crate) const TIMEOUT: Duration = Duration::from_secs(2);

/// Dead nodes are waited for in parallel, by at most this many threads.
const MAX_THREADS: usize = 16;

/// The response to `GET /v1/manifest`.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct CurrentManifest {
    pub(crate) revision: id::Revision,
    pub(crate) text: String,
}

/// The response to `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Status {
    pub(crate) vm: id::Vm,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) revision: id::Revision,
    pub(crate) authority: String,
    pub(crate) leaving: bool,
    pub(crate) in_flight: u64,
    pub(crate) leases: Vec<Lease>,
    pub(crate) members: Vec<Member>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Lease {
    pub(crate) lease: String,
    pub(crate) fence: id::Fence,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Member {
    pub(crate) vm: id::Vm,
    pub(crate) state: String,
    pub(crate) revision: id::Revision,
}

/// Why a node gave no usable response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("{0}")]
    Send(#[from] SendError),
    #[error("refused with `{}` ({}): {}", .0.code, .0.ran, .0.message)]
    Refused(ErrorDetail),
    #[error("answered status {0} with a body that this version doesn't understand")]
    Malformed(u16),
}

/// The error of a refusal; codes that this version doesn't know are kept as text.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorDetail {
    pub(crate) code: String,
    pub(crate) message: String,
    pub(crate) ran: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

pub(crate) fn call<T: DeserializeOwned>(
    client: &dyn Client,
    node: SocketAddr,
    request: &Request,
) -> Result<T, CallError> {
    let response = client.send(node, request)?;
    if response.status != 200 {
        let error_body: Option<ErrorBody> = serde_json::from_str(&response.body).ok();
        let malformed = CallError::Malformed(response.status);
        return Err(error_body.map_or(malformed, |body| CallError::Refused(body.error)));
    }
    serde_json::from_str(&response.body).map_err(|_| CallError::Malformed(response.status))
}

pub(crate) fn get<T: DeserializeOwned>(
    client: &dyn Client,
    node: SocketAddr,
    path: &'static str,
) -> Result<T, CallError> {
    let request = Request {
        path,
        body: None,
        timeout: TIMEOUT,
    };
    call(client, node, &request)
}

/// Reads the manifest in force from the first node that tells it.
pub(crate) fn current(client: &dyn Client, nodes: &[SocketAddr]) -> Result<CurrentManifest> {
    let mut reasons = Vec::new();
    let mut category = Category::NoResponse;
    for &node in require_nodes(nodes)? {
        match get(client, node, "/v1/manifest") {
            Ok(current) => return Ok(current),
            Err(error) => {
                if !matches!(error, CallError::Send(_)) {
                    category = Category::Refused;
                }
                reasons.push(format!("{node} {error}"));
            }
        }
    }
    Err(Error::new(
        category,
        "cannot read the manifest in force",
        join_addresses(nodes),
        reasons.join("; "),
        "Name a node that runs with --node, or try again later.",
    ))
}

/// Reads the manifest in force, parsed.
pub(crate) fn parse_current(current: &CurrentManifest) -> Result<Manifest> {
    dogwoodlb_manifest::from_str(&current.text).map_err(|error| {
        Error::new(
            Category::Refused,
            "cannot read the manifest in force",
            format!("revision {}", current.revision),
            error,
            "This program is older than the nodes; use the version that they run.",
        )
    })
}

pub(crate) fn require_nodes(nodes: &[SocketAddr]) -> Result<&[SocketAddr]> {
    if nodes.is_empty() {
        return Err(Error::new(
            Category::Usage,
            "cannot reach the system",
            "command line",
            "no node is named",
            "Name one or more nodes with --node ip:port.",
        ));
    }
    Ok(nodes)
}

/// A node to ask: its name if the manifest lists it, and its address.
pub(crate) type Target = (String, SocketAddr);

/// Returns the listed nodes and those named on the command line, in the order of their names.
///
/// While no node tells the manifest, only those named are asked.
pub(crate) fn targets(client: &dyn Client, nodes: &[SocketAddr]) -> Result<Vec<Target>> {
    require_nodes(nodes)?;
    let listed = current(client, nodes).and_then(|current| parse_current(&current));
    let mut names: BTreeMap<SocketAddr, String> = BTreeMap::new();
    if let Ok(manifest) = &listed {
        names.extend(entry_vms(manifest).into_iter().map(|(vm, at)| (at, vm)));
    }
    for node in nodes {
        names.entry(*node).or_insert_with(|| node.to_string());
    }
    let mut targets: Vec<_> = names.into_iter().map(|(at, name)| (name, at)).collect();
    targets.sort();
    Ok(targets)
}

pub(crate) fn entry_vms(manifest: &Manifest) -> Vec<Target> {
    let entries = manifest.entry_vms.iter();
    entries
        .map(|entry| (entry.vm.to_string(), entry.address))
        .collect()
}

/// Asks many nodes at once; the responses are in the order of the nodes.
pub(crate) fn get_all<T: DeserializeOwned + Send>(
    client: &dyn Client,
    targets: &[Target],
    path: &'static str,
) -> Vec<Result<T, CallError>> {
    let next = AtomicUsize::new(0);
    let responses = Mutex::new(BTreeMap::new());
    let worker = || loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some((_, node)) = targets.get(index) else {
            break;
        };
        let response = get(client, *node, path);
        let mut responses = responses.lock().unwrap_or_else(PoisonError::into_inner);
        responses.insert(index, response);
    };
    std::thread::scope(|scope| {
        for _ in 0..targets.len().min(MAX_THREADS) {
            scope.spawn(worker);
        }
    });
    let responses = responses.into_inner();
    let responses = responses.unwrap_or_else(PoisonError::into_inner);
    responses.into_values().collect()
}

pub(crate) fn join_addresses(nodes: &[SocketAddr]) -> String {
    let nodes: Vec<_> = nodes.iter().map(ToString::to_string).collect();
    nodes.join(", ")
}
