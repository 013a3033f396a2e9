use crate::args;
use crate::error::{Category, Error};
use crate::node::{self, Problem};
use crate::output::Output;
use crate::remote::{Remote, Request};
use crate::Result;
use serde_json::{json, Value};
use std::net::SocketAddr;

pub(crate) fn run(
    args: &args::Drain,
    nodes: &[SocketAddr],
    remote: &dyn Remote,
    output: &mut Output<'_>,
) -> Result<()> {
    let current = node::current(remote, nodes)?;
    let targets = node::entries(&node::parsed(&current)?);
    let Some((_, address)) = targets.iter().find(|(name, _)| *name == args.vm) else {
        let names: Vec<_> = targets.iter().map(|(name, _)| name.as_str()).collect();
        return Err(Error::new(
            Category::Refused,
            format!("cannot drain `{}`", args.vm),
            format!("revision {}", current.revision),
            "it is not an entry VM",
            format!("Name one of {}.", names.join(", ")),
        ));
    };
    let request = Request {
        path: "/v1/drain",
        body: Some("{}".to_owned()),
        timeout: node::TIMEOUT,
    };
    node::call::<Value>(remote, *address, &request).map_err(|problem| {
        let category = match problem {
            Problem::Failed(_) => Category::NoAnswer,
            _ => Category::Refused,
        };
        let what = format!("cannot drain `{}`", args.vm);
        let advice = "Look at the node with `dogwoodctl status`, then drain it again.";
        Error::new(category, what, address, problem, advice)
    })?;
    let value = json!({"vm": args.vm, "draining": true});
    output.write(&value, || format!("{} is draining", args.vm));
    Ok(())
}
