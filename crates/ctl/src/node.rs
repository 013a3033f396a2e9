//! What nodes answer, and how to ask many of them.

use crate::error::{Category, Error};
use crate::remote::{Failure, Remote, Request};
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
const WORKERS: usize = 16;

/// The answer to `GET /v1/manifest`.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Current {
    pub(crate) revision: id::Revision,
    pub(crate) text: String,
}

/// The answer to `GET /v1/status`.
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

/// Why a node gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Problem {
    #[error("{0}")]
    Failed(#[from] Failure),
    #[error("refused with `{}` ({}): {}", .0.code, .0.ran, .0.message)]
    Refused(Refused),
    #[error("answered status {0} with a body that this version doesn't understand")]
    Malformed(u16),
}

/// The error of a refusal; codes that this version doesn't know are kept as text.
#[derive(Debug, Deserialize)]
pub(crate) struct Refused {
    pub(crate) code: String,
    pub(crate) message: String,
    pub(crate) ran: String,
}

#[derive(Deserialize)]
struct Envelope {
    error: Refused,
}

pub(crate) fn call<T: DeserializeOwned>(
    remote: &dyn Remote,
    node: SocketAddr,
    request: &Request,
) -> Result<T, Problem> {
    let reply = remote.send(node, request)?;
    if reply.status != 200 {
        let envelope: Option<Envelope> = serde_json::from_str(&reply.body).ok();
        let malformed = Problem::Malformed(reply.status);
        return Err(envelope.map_or(malformed, |one| Problem::Refused(one.error)));
    }
    serde_json::from_str(&reply.body).map_err(|_| Problem::Malformed(reply.status))
}

pub(crate) fn get<T: DeserializeOwned>(
    remote: &dyn Remote,
    node: SocketAddr,
    path: &'static str,
) -> Result<T, Problem> {
    let request = Request {
        path,
        body: None,
        timeout: TIMEOUT,
    };
    call(remote, node, &request)
}

/// Reads the manifest in force from the first node that tells it.
pub(crate) fn current(remote: &dyn Remote, nodes: &[SocketAddr]) -> Result<Current> {
    let mut reasons = Vec::new();
    let mut category = Category::NoAnswer;
    for &node in need_nodes(nodes)? {
        match get(remote, node, "/v1/manifest") {
            Ok(current) => return Ok(current),
            Err(problem) => {
                if !matches!(problem, Problem::Failed(_)) {
                    category = Category::Refused;
                }
                reasons.push(format!("{node} {problem}"));
            }
        }
    }
    Err(Error::new(
        category,
        "cannot read the manifest in force",
        list(nodes),
        reasons.join("; "),
        "Name a node that runs with --node, or try again later.",
    ))
}

/// Reads the manifest in force, parsed.
pub(crate) fn parsed(current: &Current) -> Result<Manifest> {
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

pub(crate) fn need_nodes(nodes: &[SocketAddr]) -> Result<&[SocketAddr]> {
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
pub(crate) fn targets(remote: &dyn Remote, nodes: &[SocketAddr]) -> Result<Vec<Target>> {
    need_nodes(nodes)?;
    let listed = current(remote, nodes).and_then(|current| parsed(&current));
    let mut names: BTreeMap<SocketAddr, String> = BTreeMap::new();
    if let Ok(manifest) = &listed {
        names.extend(entries(manifest).into_iter().map(|(vm, at)| (at, vm)));
    }
    for node in nodes {
        names.entry(*node).or_insert_with(|| node.to_string());
    }
    let mut targets: Vec<_> = names.into_iter().map(|(at, name)| (name, at)).collect();
    targets.sort();
    Ok(targets)
}

pub(crate) fn entries(manifest: &Manifest) -> Vec<Target> {
    let entries = manifest.entry_vms.iter();
    entries
        .map(|entry| (entry.vm.to_string(), entry.address))
        .collect()
}

/// Asks many nodes at once; the answers are in the order of the nodes.
pub(crate) fn ask<T: DeserializeOwned + Send>(
    remote: &dyn Remote,
    targets: &[Target],
    path: &'static str,
) -> Vec<Result<T, Problem>> {
    let next = AtomicUsize::new(0);
    let answers = Mutex::new(BTreeMap::new());
    let work = || loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some((_, node)) = targets.get(index) else {
            break;
        };
        let answer = get(remote, *node, path);
        let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.insert(index, answer);
    };
    std::thread::scope(|scope| {
        for _ in 0..targets.len().min(WORKERS) {
            scope.spawn(work);
        }
    });
    let answers = answers.into_inner();
    let answers = answers.unwrap_or_else(PoisonError::into_inner);
    answers.into_values().collect()
}

pub(crate) fn list(nodes: &[SocketAddr]) -> String {
    let nodes: Vec<_> = nodes.iter().map(ToString::to_string).collect();
    nodes.join(", ")
}
