use crate::args;
use crate::client::{Client, Request, SendError};
use crate::error::{Category, Error};
use crate::file;
use crate::node::{self, CallError, CurrentManifest, Status, Target};
use crate::output::Output;
use crate::Result;
use dogwoodlb_types::{id, Instant};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// A node decides a commit within 10 s; the other two seconds cover the network round trip.
const TIMEOUT: Duration = Duration::from_secs(12);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct Accepted {
    revision: id::Revision,
}

struct Commit<'a> {
    client: &'a dyn Client,
    nodes: &'a [SocketAddr],
    base: id::Revision,
    text: String,
    max_wait: Duration,
}

pub(crate) fn run(
    args: &args::Commit,
    nodes: &[SocketAddr],
    client: &dyn Client,
    output: &mut Output<'_>,
) -> Result<()> {
    let operator = operator(args.operator.as_deref())?;
    let text = file::read(&args.file)?;
    let manifest = file::parse(&args.file, &text)?;
    let commit = Commit {
        client,
        nodes: node::require_nodes(nodes)?,
        base: id::Revision(args.base),
        text,
        max_wait: Duration::from_millis(args.wait_ms),
    };
    let revision = commit.post(&operator)?;
    commit.wait_until_in_force(revision, &node::entry_vms(&manifest))?;
    output.write(
        &serde_json::json!({"revision": revision, "in_force": true}),
        || {
            format!(
                "revision {revision} is in force on all {} nodes",
                manifest.entry_vms.len()
            )
        },
    );
    Ok(())
}

fn operator(given: Option<&str>) -> Result<id::Operator> {
    let user = || std::env::var("USER").unwrap_or_default();
    let name = given.map_or_else(user, str::to_owned);
    name.parse().map_err(|error| {
        let advice = "Pass your name with --operator.";
        Error::new(Category::Usage, "cannot commit", "operator", error, advice)
    })
}

impl Commit<'_> {
    /// Posts the commit to the nodes in turn, until one accepts it, rejects it or may have received
    /// it.
    fn post(&self, operator: &id::Operator) -> Result<id::Revision> {
        let body = serde_json::json!({"base": self.base, "operator": operator, "text": self.text});
        let request = Request {
            path: "/v1/manifest",
            body: Some(body.to_string()),
            timeout: TIMEOUT,
        };
        let mut reasons = Vec::new();
        for &node in self.nodes {
            let error = match node::call::<Accepted>(self.client, node, &request) {
                Ok(accepted) => return Ok(accepted.revision),
                Err(error) => error,
            };
            match &error {
                CallError::Send(SendError::NotSent(_)) => reasons.push(format!("{node} {error}")),
                CallError::Refused(refused) if refused.code == "leaving" => {
                    reasons.push(format!("{node} {error}"));
                }
                CallError::Refused(refused) if refused.ran == "not_run" => {
                    return Err(rejection(node, &error));
                }
                _ => return self.resolve_unknown_outcome(node, &error),
            }
        }
        Err(Error::new(
            Category::NoResponse,
            "cannot commit; nothing was changed",
            node::join_addresses(self.nodes),
            reasons.join("; "),
            "Pass the address of a running node with --node.",
        ))
    }

    /// Determines whether a commit with a lost response took effect, by polling the manifest in
    /// force.
    ///
    /// The commit is not posted again: if the first copy took effect, the second would be rejected
    /// as a conflict with it.
    fn resolve_unknown_outcome(&self, node: SocketAddr, error: &CallError) -> Result<id::Revision> {
        let deadline = self.client.now() + self.max_wait;
        loop {
            if let Ok(current) = node::current(self.client, self.nodes) {
                if current.revision > self.base {
                    return self.check_current(&current, node, error);
                }
            }
            if self.client.now() >= deadline {
                return Err(Error::new(
                    Category::Refused,
                    "cannot tell whether the commit took effect",
                    node,
                    error,
                    "It may still take effect; check with `dogwoodctl diff` before committing \
                     again.",
                ));
            }
            self.client.sleep(POLL_INTERVAL);
        }
    }

    /// Succeeds if the manifest in force is the one that was posted, as the next revision.
    fn check_current(
        &self,
        current: &CurrentManifest,
        node: SocketAddr,
        error: &CallError,
    ) -> Result<id::Revision> {
        if current.revision == self.base.next() && current.text == self.text {
            return Ok(current.revision);
        }
        let why = format!("{error}; revision {} is in force", current.revision);
        let advice = "Compare with `dogwoodctl diff`, then commit based on the revision in force.";
        let what = "the commit did not take effect, or a later one replaced it";
        Err(Error::new(Category::Refused, what, node, why, advice))
    }

    /// Polls the nodes of the manifest until the revision is in force on all of them.
    fn wait_until_in_force(&self, revision: id::Revision, targets: &[Target]) -> Result<()> {
        let deadline: Instant = self.client.now() + self.max_wait;
        let mut pending = targets.to_vec();
        loop {
            let responses = node::get_all::<Status>(self.client, &pending, "/v1/status");
            let pairs = pending.iter().cloned().zip(&responses);
            let still_pending: Vec<_> = pairs
                .filter_map(|(target, response)| {
                    Some((why_not_in_force(&target, response, revision)?, target))
                })
                .collect();
            if still_pending.is_empty() {
                return Ok(());
            }
            if self.client.now() >= deadline {
                let names: Vec<_> = still_pending
                    .iter()
                    .map(|(_, (name, _))| name.as_str())
                    .collect();
                let reasons: Vec<_> = still_pending
                    .iter()
                    .map(|(reason, _)| reason.as_str())
                    .collect();
                return Err(Error::new(
                    Category::NotInForce,
                    format!("revision {revision} was accepted but is not in force everywhere"),
                    names.join(", "),
                    reasons.join("; "),
                    "Monitor with `dogwoodctl status`; an unreachable node adopts the revision \
                     before it acts again.",
                ));
            }
            pending = still_pending
                .into_iter()
                .map(|(_, target)| target)
                .collect();
            self.client.sleep(POLL_INTERVAL);
        }
    }
}

/// Returns the reason why a revision is not in force on a node, or `None` if it is.
fn why_not_in_force(
    (name, address): &Target,
    response: &Result<Status, CallError>,
    revision: id::Revision,
) -> Option<String> {
    match response {
        Err(error) => Some(format!("{name} ({address}) {error}")),
        Ok(status) if status.vm.as_str() != name => {
            Some(format!("{name} ({address}) answers as VM {}", status.vm))
        }
        Ok(status) if status.revision < revision => {
            Some(format!("{name} holds revision {}", status.revision))
        }
        Ok(status) if status.authority != "sole" => {
            Some(format!("{name} acts with authority `{}`", status.authority))
        }
        Ok(_) => None,
    }
}

fn rejection(node: SocketAddr, error: &CallError) -> Error {
    let advice = match error {
        CallError::Refused(refused) if refused.code == "conflict" => {
            "Compare with `dogwoodctl diff`, then commit based on the revision in force."
        }
        CallError::Refused(refused) if refused.code == "bad_request" => "Fix the manifest.",
        _ => "Nothing was changed; try again later.",
    };
    Error::new(Category::Refused, "commit rejected", node, error, advice)
}
