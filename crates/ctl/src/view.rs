//! The commands that change nothing: check, show, diff and status.

use crate::args;
use crate::error::{Category, Error};
use crate::file;
use crate::node::{self, Problem, Status, Target};
use crate::output::Output;
use crate::remote::Remote;
use crate::Result;
use dogwoodlb_manifest::{diff, ChangeKind, Fault};
use serde_json::{json, Value};
use std::net::SocketAddr;

pub(crate) fn check(args: &args::Check, output: &mut Output<'_>) -> Result<()> {
    let text = file::read(&args.file)?;
    let faults = match dogwoodlb_manifest::from_str(&text) {
        Ok(_) => Vec::new(),
        Err(error) => error.faults().to_vec(),
    };
    let value = json!({"faults": faults.iter().map(fault).collect::<Vec<_>>()});
    output.write(&value, || {
        let lines = faults.iter().map(|fault| format!("{}: {fault}", args.file));
        lines.collect::<Vec<_>>().join("\n")
    });
    match faults.len() {
        0 => Ok(()),
        count => Err(Error::new(
            Category::Refused,
            "manifest refused",
            &args.file,
            format!("{count} fault(s)"),
            "Correct the file.",
        )),
    }
}

fn fault(fault: &Fault) -> Value {
    json!({
        "path": fault.path,
        "line": fault.line,
        "column": fault.column,
        "message": fault.cause.to_string(),
    })
}

pub(crate) fn show(
    nodes: &[SocketAddr],
    remote: &dyn Remote,
    output: &mut Output<'_>,
) -> Result<()> {
    let current = node::current(remote, nodes)?;
    let value = json!(current);
    output.write(&value, || {
        format!("// revision {}\n{}", current.revision, current.text)
    });
    Ok(())
}

pub(crate) fn diff_file(
    args: &args::Diff,
    nodes: &[SocketAddr],
    remote: &dyn Remote,
    output: &mut Output<'_>,
) -> Result<()> {
    let text = file::read(&args.file)?;
    let new = file::parse(&args.file, &text)?;
    let current = node::current(remote, nodes)?;
    let changes = diff(&node::parsed(&current)?, &new);
    let list = changes.iter().map(|change| {
        let (what, field, old, new) = match &change.kind {
            ChangeKind::Added => ("added", None, None, None),
            ChangeKind::Removed => ("removed", None, None, None),
            ChangeKind::Changed { field, old, new } => {
                ("changed", Some(field), Some(old), Some(new))
            }
        };
        json!({"section": change.section, "name": change.name, "what": what, "field": field,
            "old": old, "new": new})
    });
    let value = json!({"base": current.revision, "changes": list.collect::<Vec<_>>()});
    output.write(&value, || {
        let lines = changes.iter().map(ToString::to_string);
        let head = format!(
            "{} change(s) from revision {}",
            changes.len(),
            current.revision
        );
        std::iter::once(head)
            .chain(lines)
            .collect::<Vec<_>>()
            .join("\n")
    });
    Ok(())
}

pub(crate) fn status(
    nodes: &[SocketAddr],
    remote: &dyn Remote,
    output: &mut Output<'_>,
) -> Result<()> {
    let targets = node::targets(remote, nodes)?;
    let answers = node::ask::<Status>(remote, &targets, "/v1/status");
    let rows: Vec<_> = targets.iter().zip(&answers).collect();
    let list = rows.iter().map(|((name, address), answer)| match answer {
        Ok(status) => json!({"node": name, "address": address, "status": status}),
        Err(problem) => json!({"node": name, "address": address, "error": problem.to_string()}),
    });
    let value = json!({"nodes": list.collect::<Vec<_>>()});
    output.write(&value, || {
        let lines = rows.iter().map(|(target, answer)| line(target, answer));
        lines.collect::<Vec<_>>().join("\n")
    });
    need_answer(&targets, &answers)
}

fn line((name, address): &Target, answer: &Result<Status, Problem>) -> String {
    let status = match answer {
        Ok(status) => status,
        Err(problem) => return format!("{name} {address} {problem}"),
    };
    let leases: Vec<_> = status.leases.iter().map(|one| one.lease.as_str()).collect();
    let members = status.members.iter();
    let members: Vec<_> = members
        .map(|one| format!("{}={}", one.vm, one.state))
        .collect();
    format!(
        "{} {address} revision={} authority={} leaving={} in_flight={} leases={} members={}",
        status.vm,
        status.revision,
        status.authority,
        status.leaving,
        status.in_flight,
        leases.join(","),
        members.join(","),
    )
}

/// Fails if no node gave an answer.
pub(crate) fn need_answer<T>(targets: &[Target], answers: &[Result<T, Problem>]) -> Result<()> {
    if answers.iter().any(Result::is_ok) {
        return Ok(());
    }
    let refused = |answer: &Result<T, Problem>| !matches!(answer, Err(Problem::Failed(_)));
    let category = match answers.iter().any(refused) {
        true => Category::Refused,
        false => Category::NoAnswer,
    };
    let reasons = targets
        .iter()
        .zip(answers)
        .filter_map(|((name, _), answer)| {
            let problem = answer.as_ref().err()?;
            Some(format!("{name} {problem}"))
        });
    let places: Vec<_> = targets.iter().map(|(_, at)| *at).collect();
    Err(Error::new(
        category,
        "no node told its state",
        node::list(&places),
        reasons.collect::<Vec<_>>().join("; "),
        "Name a node that runs with --node.",
    ))
}
