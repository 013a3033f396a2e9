use crate::args;
use crate::client::{Client, Request};
use crate::error::{Category, Error};
use crate::node::{self, CallError};
use crate::output::Output;
use crate::Result;
use serde_json::{json, Value};
use std::net::SocketAddr;

pub(crate) fn run(
    args: &args::Drain,
    nodes: &[SocketAddr],
    client: &dyn Client,
    output: &mut Output<'_>,
) -> Result<()> {
    let current = node::current(client, nodes)?;
    let targets = node::entry_vms(&node::parse_current(&current)?);
    let Some((_, address)) = targets.iter().find(|(name, _)| *name == args.vm) else {
        let names: Vec<_> = targets.iter().map(|(name, _)| name.as_str()).collect();
        return Err(Error::new(
            Category::Refused,
            format!("cannot drain `{}`", args.vm),
            format!("revision {}", current.revision),
            "no entry VM of that name in the manifest",
            format!("Pass one of {}.", names.join(", ")),
        ));
    };
    let request = Request {
        path: "/v1/drain",
        body: Some("{}".to_owned()),
        timeout: node::TIMEOUT,
    };
    node::call::<Value>(client, *address, &request).map_err(|error| {
        let category = match error {
            CallError::Send(_) => Category::NoResponse,
            _ => Category::Refused,
        };
        let what = format!("cannot drain `{}`", args.vm);
        let advice = "Check the node with `dogwoodctl status`, then try again.";
        Error::new(category, what, address, error, advice)
    })?;
    let value = json!({"vm": args.vm, "draining": true});
    output.write(&value, || format!("{} is draining", args.vm));
    Ok(())
}
