use crate::args;
use crate::error::{Category, Error};
use crate::file;
use crate::node::{self, Current, Problem, Status, Target};
use crate::output::Output;
use crate::remote::{Failure, Remote, Request};
use crate::Result;
use dogwoodlb_types::{id, Instant};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// A node decides a commit within 10 s; two seconds more cover the way.
const TIMEOUT: Duration = Duration::from_secs(12);
const POLL: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct Accepted {
    revision: id::Revision,
}

struct Commit<'a> {
    remote: &'a dyn Remote,
    nodes: &'a [SocketAddr],
    base: id::Revision,
    text: String,
    wait: Duration,
}

pub(crate) fn run(
    args: &args::Commit,
    nodes: &[SocketAddr],
    remote: &dyn Remote,
    output: &mut Output<'_>,
) -> Result<()> {
    let operator = operator(args.operator.as_deref())?;
    let text = file::read(&args.file)?;
    let manifest = file::parse(&args.file, &text)?;
    let commit = Commit {
        remote,
        nodes: node::need_nodes(nodes)?,
        base: id::Revision(args.base),
        text,
        wait: Duration::from_millis(args.wait_ms),
    };
    let revision = commit.post(&operator)?;
    commit.wait(revision, &node::entries(&manifest))?;
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
        let advice = "Name yourself with --operator.";
        Error::new(Category::Usage, "cannot commit", "operator", error, advice)
    })
}

impl Commit<'_> {
    /// Asks the nodes in turn until one can have received the commit.
    fn post(&self, operator: &id::Operator) -> Result<id::Revision> {
        let body = serde_json::json!({"base": self.base, "operator": operator, "text": self.text});
        let request = Request {
            path: "/v1/manifest",
            body: Some(body.to_string()),
            timeout: TIMEOUT,
        };
        let mut reasons = Vec::new();
        for &node in self.nodes {
            let problem = match node::call::<Accepted>(self.remote, node, &request) {
                Ok(accepted) => return Ok(accepted.revision),
                Err(problem) => problem,
            };
            match &problem {
                Problem::Failed(Failure::NotSent(_)) => reasons.push(format!("{node} {problem}")),
                Problem::Refused(refused) if refused.code == "leaving" => {
                    reasons.push(format!("{node} {problem}"));
                }
                Problem::Refused(refused) if refused.ran == "not_run" => {
                    return Err(refusal(node, &problem));
                }
                _ => return self.find(node, &problem),
            }
        }
        Err(Error::new(
            Category::NoAnswer,
            "cannot commit, nothing was changed",
            node::list(self.nodes),
            reasons.join("; "),
            "Name a node that runs with --node.",
        ))
    }

    /// Finds out whether a commit took effect whose answer was lost.
    ///
    /// It is not posted again: a second copy would be refused because of the first.
    fn find(&self, node: SocketAddr, problem: &Problem) -> Result<id::Revision> {
        let deadline = self.remote.now() + self.wait;
        loop {
            if let Ok(current) = node::current(self.remote, self.nodes) {
                if current.revision > self.base {
                    return self.compare(&current, node, problem);
                }
            }
            if self.remote.now() >= deadline {
                return Err(Error::new(
                    Category::Refused,
                    "cannot tell whether the commit took effect",
                    node,
                    problem,
                    "It may still take effect: compare with `dogwoodctl diff` before you \
                     commit again.",
                ));
            }
            self.remote.pause(POLL);
        }
    }

    fn compare(
        &self,
        current: &Current,
        node: SocketAddr,
        problem: &Problem,
    ) -> Result<id::Revision> {
        if current.revision == self.base.next() && current.text == self.text {
            return Ok(current.revision);
        }
        let why = format!("{problem}; revision {} is in force", current.revision);
        let advice = "Compare with `dogwoodctl diff`, then commit on the revision in force.";
        let what = "the commit was lost, or replaced by a later one";
        Err(Error::new(Category::Refused, what, node, why, advice))
    }

    /// Polls the listed nodes until the revision is in force on all of them.
    fn wait(&self, revision: id::Revision, targets: &[Target]) -> Result<()> {
        let deadline: Instant = self.remote.now() + self.wait;
        let mut missing = targets.to_vec();
        loop {
            let answers = node::ask::<Status>(self.remote, &missing, "/v1/status");
            let pairs = missing.iter().cloned().zip(&answers);
            let late: Vec<_> = pairs
                .filter_map(|(target, answer)| Some((reason(&target, answer, revision)?, target)))
                .collect();
            if late.is_empty() {
                return Ok(());
            }
            if self.remote.now() >= deadline {
                let places: Vec<_> = late.iter().map(|(_, (name, _))| name.as_str()).collect();
                let reasons: Vec<_> = late.iter().map(|(reason, _)| reason.as_str()).collect();
                return Err(Error::new(
                    Category::NotInForce,
                    format!("revision {revision} was accepted but is not in force everywhere"),
                    places.join(", "),
                    reasons.join("; "),
                    "Watch with `dogwoodctl status`; a node that can't be reached adopts it \
                     before it acts again.",
                ));
            }
            missing = late.into_iter().map(|(_, target)| target).collect();
            self.remote.pause(POLL);
        }
    }
}

/// Returns why a revision is not in force on a node; `None` if it is.
fn reason(
    (name, address): &Target,
    answer: &Result<Status, Problem>,
    revision: id::Revision,
) -> Option<String> {
    match answer {
        Err(problem) => Some(format!("{name} ({address}) {problem}")),
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

fn refusal(node: SocketAddr, problem: &Problem) -> Error {
    let advice = match problem {
        Problem::Refused(refused) if refused.code == "conflict" => {
            "Compare with `dogwoodctl diff`, then commit on the revision in force."
        }
        Problem::Refused(refused) if refused.code == "bad_request" => "Correct the manifest.",
        _ => "Nothing was changed; commit again later.",
    };
    Error::new(Category::Refused, "commit refused", node, problem, advice)
}
