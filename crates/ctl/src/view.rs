//! The read-only commands check, show, diff and status.

use crate::args;
use crate::client::Client;
use crate::error::{Category, Error};
use crate::file;
use crate::node::{self, CallError, Status, Target};
use crate::output::Output;
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
    let value = json!({"faults": faults.iter().map(fault_to_json).collect::<Vec<_>>()});
    output.write(&value, || {
        let lines = faults.iter().map(|fault| format!("{}: {fault}", args.file));
        lines.collect::<Vec<_>>().join("\n")
    });
    match faults.len() {
        0 => Ok(()),
        count => Err(Error::new(
            Category::Refused,
            "manifest rejected",
            &args.file,
            format!("{count} fault(s)"),
            "Fix the file.",
        )),
    }
}

fn fault_to_json(fault: &Fault) -> Value {
    json!({
        "path": fault.path,
        "line": fault.line,
        "column": fault.column,
        "message": fault.cause.to_string(),
    })
}

pub(crate) fn show(
    nodes: &[SocketAddr],
    client: &dyn Client,
    output: &mut Output<'_>,
) -> Result<()> {
    let current = node::current(client, nodes)?;
    let value = json!(current);
    output.write(&value, || {
        format!("// revision {}\n{}", current.revision, current.text)
    });
    Ok(())
}

pub(crate) fn diff_with_file(
    args: &args::Diff,
    nodes: &[SocketAddr],
    client: &dyn Client,
    output: &mut Output<'_>,
) -> Result<()> {
    let text = file::read(&args.file)?;
    let new = file::parse(&args.file, &text)?;
    let current = node::current(client, nodes)?;
    let changes = diff(&node::parse_current(&current)?, &new);
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
    client: &dyn Client,
    output: &mut Output<'_>,
) -> Result<()> {
    let targets = node::targets(client, nodes)?;
    let responses = node::get_all::<Status>(client, &targets, "/v1/status");
    let rows: Vec<_> = targets.iter().zip(&responses).collect();
    let list = rows
        .iter()
        .map(|((name, address), response)| match response {
            Ok(status) => json!({"node": name, "address": address, "status": status}),
            Err(error) => json!({"node": name, "address": address, "error": error.to_string()}),
        });
    let value = json!({"nodes": list.collect::<Vec<_>>()});
    output.write(&value, || {
        let lines = rows
            .iter()
            .map(|(target, response)| status_line(target, response));
        lines.collect::<Vec<_>>().join("\n")
    });
    require_any_response(&targets, &responses)
}

fn status_line((name, address): &Target, response: &Result<Status, CallError>) -> String {
    let status = match response {
        Ok(status) => status,
        Err(error) => return format!("{name} {address} {error}"),
    };
    let leases: Vec<_> = status
        .leases
        .iter()
        .map(|entry| entry.lease.as_str())
        .collect();
    let members = status.members.iter();
    let members: Vec<_> = members
        .map(|entry| format!("{}={}", entry.vm, entry.state))
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

/// Returns an error if no node gave a usable response.
pub(crate) fn require_any_response<T>(
    targets: &[Target],
    responses: &[Result<T, CallError>],
) -> Result<()> {
    if responses.iter().any(Result::is_ok) {
        return Ok(());
    }
    let refused = |response: &Result<T, CallError>| !matches!(response, Err(CallError::Send(_)));
    let category = match responses.iter().any(refused) {
        true => Category::Refused,
        false => Category::NoResponse,
    };
    let reasons = targets
        .iter()
        .zip(responses)
        .filter_map(|((name, _), response)| {
            let error = response.as_ref().err()?;
            Some(format!("{name} {error}"))
        });
    let addresses: Vec<_> = targets.iter().map(|(_, at)| *at).collect();
    Err(Error::new(
        category,
        "no node returned its state",
        node::join_addresses(&addresses),
        reasons.collect::<Vec<_>>().join("; "),
        "Pass the address of a running node with --node.",
    ))
}
