use argh::FromArgs;
use std::path::PathBuf;

/// The rollout service of an entry VM.
///
/// Exit codes: 0 done, 1 refused or failed, 2 wrong arguments or settings.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// print the version
    #[argh(switch)]
    pub(crate) version: bool,
    #[argh(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(Check),
    Demo(Demo),
    Edge(Edge),
    Experiment(Experiment),
    Run(Run),
}

/// Check the settings and list all faults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the settings file, JSON with comments
    #[argh(option)]
    pub(crate) settings: PathBuf,
}

/// Run two nodes and stand-ins of everything else on loopback, and report what happened.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct Demo {
    /// print the report as one JSON object
    #[argh(switch)]
    pub(crate) json: bool,
    /// the seed of all random choices
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// log level: error, warn, info, debug or trace
    #[argh(option, default = "String::from(\"error\")")]
    pub(crate) log: String,
}

/// Run a node until SIGTERM or SIGINT, then drain it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct Run {
    /// the settings file, JSON with comments
    #[argh(option)]
    pub(crate) settings: PathBuf,
}

/// Run a node on the platform until SIGTERM or SIGINT, then drain it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "edge")]
pub(crate) struct Edge {
    /// the settings file, JSON with comments; default: what DOGWOODLB_SETTINGS names
    #[argh(option)]
    pub(crate) settings: Option<PathBuf>,
    /// check the settings, list all faults, and stop
    #[argh(switch)]
    pub(crate) check: bool,
}

/// Play a scenario with the decision cores in virtual time, and report how the trainers' steps
/// went.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub(crate) struct Experiment {
    /// the scenario file, JSON with comments
    #[argh(option)]
    pub(crate) scenario: PathBuf,
    /// write the report to this file, as JSON
    #[argh(option)]
    pub(crate) json: Option<PathBuf>,
    /// draw the steps into this file, as SVG
    #[argh(option)]
    pub(crate) svg: Option<PathBuf>,
    /// compare with the report in this file, seed by seed
    #[argh(option)]
    pub(crate) compare: Option<PathBuf>,
}
