//! Prints the bytes, counts and virtual times that docs/CAPACITY.md works with.
//!
//! Timings are in the benches of the crates. Everything here but the memory figures is the
//! same in each run.

#[path = "capacity/adoption.rs"]
mod adoption;
#[path = "capacity/bytes.rs"]
mod bytes;
#[expect(dead_code, reason = "the tests of the crate use the rest")]
#[path = "../../member/tests/support/cluster.rs"]
mod cluster;
#[path = "capacity/daemon.rs"]
mod daemon;
#[path = "capacity/generated.rs"]
mod generated;
#[path = "capacity/leases.rs"]
mod leases;
#[path = "capacity/members.rs"]
mod members;
#[path = "capacity/memory.rs"]
mod memory;
#[path = "capacity/process.rs"]
mod process;
#[path = "capacity/steps.rs"]
mod steps;
#[path = "capacity/swaps.rs"]
mod swaps;
#[path = "capacity/target.rs"]
mod target;
#[path = "capacity/upstreams.rs"]
mod upstreams;

use argh::FromArgs;
use std::error::Error;
use std::net::SocketAddr;

/// Prints the figures of docs/CAPACITY.md that aren't timings.
#[derive(FromArgs)]
struct Arguments {
    /// print one JSON object
    #[argh(switch)]
    json: bool,

    /// the part to print: bytes, leases, adoption, swaps, steps, members, memory, daemon
    /// or target; all by default
    #[argh(option)]
    part: Option<String>,

    /// used by the example itself: hold this many streams open against a node
    #[argh(option)]
    client: Option<usize>,

    /// used by the example itself: the address of the node
    #[argh(option)]
    node: Option<SocketAddr>,

    /// used by the example itself: serve as the upstreams of the part daemon, or of a size of
    /// the part target
    #[argh(option)]
    serve: Option<String>,
}

/// The figures, by name.
#[derive(Default)]
pub(crate) struct Report(Vec<(String, f64)>);

impl Report {
    pub(crate) fn add(&mut self, name: impl Into<String>, value: f64) {
        self.0.push((name.into(), value));
    }
}

type Result<T> = std::result::Result<T, Box<dyn Error>>;
type Part = fn(&mut Report) -> Result<()>;

/// The node comes first and the memory of states last, because it isn't given back.
const PARTS: [(&str, Part); 9] = [
    ("daemon", daemon::run),
    ("target", target::run),
    ("bytes", bytes::run),
    ("leases", leases::run),
    ("adoption", adoption::run),
    ("swaps", swaps::run),
    ("steps", steps::run),
    ("members", members::run),
    ("memory", memory::run),
];

fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.serve.as_deref() {
        None => {}
        Some("daemon") => return upstreams::serve_upstreams(),
        Some(size) => return target::serve_upstreams(size),
    }
    if let (Some(streams), Some(node)) = (arguments.client, arguments.node) {
        return daemon::hold_streams(node, streams);
    }
    let mut report = Report::default();
    for (name, part) in PARTS {
        if arguments
            .part
            .as_deref()
            .is_none_or(|wanted| wanted == name)
        {
            part(&mut report)?;
        }
    }
    if arguments.json {
        let map: serde_json::Map<_, _> = report
            .0
            .into_iter()
            .map(|(name, value)| (name, value.into()))
            .collect();
        println!("{}", serde_json::Value::Object(map));
        return Ok(());
    }
    for (name, value) in report.0 {
        println!("{name:<64} {value:>14.1}");
    }
    Ok(())
}
