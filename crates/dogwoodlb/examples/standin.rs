//! Runs one stand-in as a process of its own.
//!
//! A server prints `listening ADDR` once it is ready and runs until it is killed. The trainer
//! prints its report as JSON and exits with status 0 only if nothing was duplicated, lost,
//! mislabelled or too stale.

use argh::FromArgs;
use dogwoodlb_external::vms::{State, Vm};
use dogwoodlb_standin::{engine, objects, service, table, trainer, vms};
use dogwoodlb_types::id;
use std::error::Error;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::time::Duration;

/// Runs one stand-in of dogwoodlb's outside systems.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    part: Part,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Part {
    Engine(Engine),
    Objects(Objects),
    Service(Service),
    Table(Table),
    Trainer(Trainer),
    Vms(Vms),
}

/// The transactional table service.
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
struct Table {
    /// the address to listen on; a free port by default
    #[argh(option, default = "free()")]
    listen: SocketAddr,
}

/// The object store.
#[derive(FromArgs)]
#[argh(subcommand, name = "objects")]
struct Objects {
    /// the address to listen on; a free port by default
    #[argh(option, default = "free()")]
    listen: SocketAddr,
}

/// A plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct Service {
    /// the address to listen on; a free port by default
    #[argh(option, default = "free()")]
    listen: SocketAddr,
}

/// The platform's list of VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "vms")]
struct Vms {
    /// the address to listen on; a free port by default
    #[argh(option, default = "free()")]
    listen: SocketAddr,
    /// a VM that is live at the start; may be repeated
    #[argh(option)]
    vm: Vec<String>,
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// the address to listen on; a free port by default
    #[argh(option, default = "free()")]
    listen: SocketAddr,
    /// a model and its version, as `scorer=1`; may be repeated
    #[argh(option)]
    model: Vec<String>,
    /// the seed of text and lengths
    #[argh(option, default = "0")]
    seed: u64,
    /// the speed of each request; no delay by default
    #[argh(option, default = "f64::INFINITY")]
    tokens_per_second: f64,
    /// the shortest completion
    #[argh(option, default = "4")]
    min_tokens: u32,
    /// the requests that generate at a time
    #[argh(option, default = "16")]
    slots: usize,
    /// the requests that wait
    #[argh(option, default = "256")]
    queue: usize,
    /// carry out orders with old fencing tokens
    #[argh(switch)]
    ignore_fencing: bool,
    /// how long a weight swap takes
    #[argh(option, default = "0")]
    swap_ms: u64,
    /// how far load reports lag behind
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// A trainer that runs some steps and reports.
#[derive(FromArgs)]
#[argh(subcommand, name = "trainer")]
struct Trainer {
    /// the trainer's name
    #[argh(option)]
    trainer: id::Trainer,
    /// an address of the system; may be repeated
    #[argh(option)]
    address: Vec<SocketAddr>,
    /// the first step
    #[argh(option, default = "1")]
    first_step: u64,
    /// how many steps to run
    #[argh(option, default = "4")]
    steps: u64,
    /// the groups of each step
    #[argh(option, default = "4")]
    groups: u32,
    /// the samples of each group
    #[argh(option, default = "4")]
    group_size: u32,
    /// the longest sample
    #[argh(option, default = "64")]
    max_tokens: u32,
    /// the staleness bound
    #[argh(option, default = "2")]
    staleness_bound: u64,
    /// how many steps lie between two versions; 0 for no versions
    #[argh(option, default = "2")]
    publish_every: u64,
    /// the version served at the start
    #[argh(option, default = "1")]
    first_version: u64,
    /// how long the training of a step takes
    #[argh(option, default = "0")]
    train_ms: u64,
    /// when to give up
    #[argh(option, default = "120000")]
    patience_ms: u64,
}

fn free() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    match arguments.part {
        Part::Table(part) => {
            let server = table::Table::start(TcpListener::bind(part.listen)?)?;
            serve(server.address())
        }
        Part::Objects(part) => {
            let server = objects::Objects::start(TcpListener::bind(part.listen)?)?;
            serve(server.address())
        }
        Part::Service(part) => {
            let server = service::Service::start(TcpListener::bind(part.listen)?)?;
            serve(server.address())
        }
        Part::Vms(part) => {
            let listed = part.vm.iter().map(|name| listed(name));
            let listed = listed.collect::<Result<Vec<_>, _>>()?;
            let server = vms::Vms::start(TcpListener::bind(part.listen)?, &listed)?;
            serve(server.address())
        }
        Part::Engine(part) => {
            let listener = TcpListener::bind(part.listen)?;
            let server = engine::Engine::start(listener, engine_config(&part)?)?;
            serve(server.address())
        }
        Part::Trainer(part) => train(part),
    }
}

/// Announces a server and keeps it until the process is killed.
fn serve(address: SocketAddr) -> Result<ExitCode, Box<dyn Error>> {
    let mut out = std::io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()?;
    loop {
        std::thread::park();
    }
}

fn listed(name: &str) -> Result<Vm, dogwoodlb_types::Error> {
    Ok(Vm {
        name: name.parse()?,
        state: State::Live,
    })
}

fn engine_config(part: &Engine) -> Result<engine::Config, Box<dyn Error>> {
    let mut models = Vec::new();
    for model in &part.model {
        let (name, version) = model.split_once('=').unwrap_or((model, "1"));
        models.push((name.parse()?, id::Version(version.parse()?)));
    }
    Ok(engine::Config {
        models,
        seed: part.seed,
        tokens_per_second: part.tokens_per_second,
        min_tokens: part.min_tokens,
        slots: part.slots,
        queue_capacity: part.queue,
        checks_fencing: !part.ignore_fencing,
        swap_duration: Duration::from_millis(part.swap_ms),
        load_report_lag: Duration::from_millis(part.lag_ms),
        ..engine::Config::default()
    })
}

fn train(part: Trainer) -> Result<ExitCode, Box<dyn Error>> {
    let report = trainer::run(&trainer::Config {
        first_step: part.first_step,
        steps: part.steps,
        groups: part.groups,
        group_size: part.group_size,
        max_tokens: part.max_tokens,
        staleness_bound: part.staleness_bound,
        publish_every: part.publish_every,
        first_version: part.first_version,
        training_duration: Duration::from_millis(part.train_ms),
        timeout: Duration::from_millis(part.patience_ms),
        ..trainer::Config::new(part.trainer, part.address)
    });
    println!("{}", serde_json::to_string(&report)?);
    Ok(match report.is_clean() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
