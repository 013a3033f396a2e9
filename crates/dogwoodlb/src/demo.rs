//! The main job on loopback: two nodes, stand-ins of everything else, a trainer and customers.

mod cluster;
mod customers;
mod report;

use crate::args::Demo;
use crate::error::Error;
use crate::logs;
use cluster::Cluster;
use customers::Customers;
use dogwoodlb_standin::trainer;
use report::Report;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// The samples of a step, in groups of 8.
const GROUPS: u32 = 8;
const GROUP_SIZE: u32 = 8;
const STEPS: u64 = 4;
const STALENESS_BOUND: u64 = 2;

/// What the promise allows a manifest to take until it is in force.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Runs the demo and prints its report.
pub(crate) fn run(args: &Demo) -> Result<ExitCode, Error> {
    logs::start(&args.log);
    let cluster = Cluster::start(args.seed)?;
    cluster.commit(0, false)?;
    cluster.wait_in_force(1);

    let customers = Customers::start(&cluster, args.seed);
    let config = trainer::Config {
        steps: STEPS,
        groups: GROUPS,
        group_size: GROUP_SIZE,
        max_tokens: 48,
        staleness_bound: STALENESS_BOUND,
        publish_every: 1,
        training_duration: Duration::from_millis(300),
        timeout: Duration::from_secs(60),
        ..trainer::Config::new("layout".parse()?, cluster.addresses())
    };
    let training = thread::spawn(move || trainer::run(&config));

    let committed = Instant::now();
    cluster.commit(1, true)?;
    cluster.wait_in_force(2);
    let in_force = committed.elapsed();

    let trainer = training.join().unwrap_or_default();
    let customers = customers.stop();
    let interrupted = cluster.drain();
    let report = Report::new(
        &cluster,
        trainer,
        customers,
        (in_force, IN_FORCE),
        interrupted,
    );
    match args.json {
        true => println!("{}", report.to_json()),
        false => print!("{report}"),
    }
    Ok(if report.is_kept() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
