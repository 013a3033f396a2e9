//! The responses of the nodes' HTTP API, and requests to one or many nodes.

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

/// Limit of parallel requests, which keep several unreachable nodes from adding up their timeouts.
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

/// Why a call to a node returned no usable response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("{0}")]
    Send(#[from] SendError),
    #[error("rejected with `{}` ({}): {}", .0.code, .0.ran, .0.message)]
    Refused(ErrorDetail),
    #[error("status {0} with a body that this version cannot decode")]
    Malformed(u16),
}

/// The error in a response; codes are kept as text because newer nodes may send unknown ones.
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

/// Reads the manifest in force from the first node that returns it.
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
        "Pass the address of a running node with --node, or try again later.",
    ))
}

/// Parses the manifest in force.
pub(crate) fn parse_current(current: &CurrentManifest) -> Result<Manifest> {
    dogwoodlb_manifest::from_str(&current.text).map_err(|error| {
        Error::new(
            Category::Refused,
            "cannot read the manifest in force",
            format!("revision {}", current.revision),
            error,
            "dogwoodctl is older than the nodes; use the version that they run.",
        )
    })
}

pub(crate) fn require_nodes(nodes: &[SocketAddr]) -> Result<&[SocketAddr]> {
    if nodes.is_empty() {
        return Err(Error::new(
            Category::Usage,
            "cannot contact the cluster",
            "command line",
            "no node given",
            "Pass the address of one or more nodes with --node ip:port.",
        ));
    }
    Ok(nodes)
}

/// The name and address of a node; the name is the address if the manifest does not list it.
pub(crate) type Target = (String, SocketAddr);

/// Returns the nodes of the manifest in force and those given on the command line, by name.
///
/// If the manifest can't be read, returns only those given on the command line.
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

/// Sends a `GET` request to many nodes in parallel. The results are in the order of `targets`.
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
