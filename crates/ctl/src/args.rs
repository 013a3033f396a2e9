use argh::FromArgs;
use std::net::SocketAddr;

/// Command line for operators of a dogwoodlb deployment.
#[derive(Debug, FromArgs)]
#[argh(
    error_code(0, "Success."),
    error_code(
        1,
        "Rejected by a check or by a node; the error message gives the reason."
    ),
    error_code(2, "Invalid arguments, or a file that cannot be read."),
    error_code(3, "No node responded."),
    error_code(4, "Accepted, but not yet in force on every node in the manifest.")
)]
pub(crate) struct Args {
    /// address `ip:port` of a node that serves callers; may be repeated
    #[argh(option)]
    pub(crate) node: Vec<SocketAddr>,
    /// write results and errors as JSON
    #[argh(switch)]
    pub(crate) json: bool,
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
    Commit(Commit),
    Diff(Diff),
    Drain(Drain),
    Show(Show),
    Status(Status),
    Timeline(Timeline),
}

/// Validates a manifest file and lists all its faults, without contacting a node.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the manifest file
    #[argh(positional)]
    pub(crate) file: String,
}

/// Commits a manifest and waits until it is in force on every node that it lists.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "commit")]
pub(crate) struct Commit {
    /// the manifest file
    #[argh(positional)]
    pub(crate) file: String,
    /// the revision that the file is based on, 0 for the first manifest
    #[argh(option)]
    pub(crate) base: u64,
    /// the operator's name; defaults to the environment variable USER
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// how long to wait until the manifest is in force, in milliseconds; default 4000
    #[argh(option, default = "4_000")]
    pub(crate) wait_ms: u64,
}

/// Lists the changes from the manifest in force to a manifest file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// the manifest file
    #[argh(positional)]
    pub(crate) file: String,
}

/// Drains a node: it finishes its requests and leaves the cluster.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// the name of the entry VM
    #[argh(positional)]
    pub(crate) vm: String,
}

/// Prints the manifest in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {}

/// Prints the state of every node in the manifest or named with --node.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Prints the events of all nodes in causal order, or merges log files by time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(crate) struct Timeline {
    /// the log file of one process, to read instead of asking nodes; may be repeated
    #[argh(option)]
    pub(crate) log: Vec<String>,
    /// only events of this request
    #[argh(option)]
    pub(crate) request: Option<String>,
    /// only events of this sample, as `trainer/step/group/index`; not with --log
    #[argh(option)]
    pub(crate) sample: Option<String>,
    /// only events of this trainer; not with --log
    #[argh(option)]
    pub(crate) trainer: Option<String>,
    /// only events of this lease; not with --log
    #[argh(option)]
    pub(crate) lease: Option<String>,
    /// only lines of this batch; with --log
    #[argh(option)]
    pub(crate) batch: Option<String>,
    /// only lines of this item; with --log
    #[argh(option)]
    pub(crate) item: Option<String>,
    /// only lines of this replica; with --log
    #[argh(option)]
    pub(crate) replica: Option<String>,
    /// only lines of this service; with --log
    #[argh(option)]
    pub(crate) service: Option<String>,
    /// only lines that this process wrote or that name it in `node`; with --log
    #[argh(option)]
    pub(crate) holder: Option<String>,
}

impl Timeline {
    /// Returns the first given filter that the source, nodes or log files, does not support.
    pub(crate) fn unsupported_filter(&self) -> Option<&'static str> {
        let events = [
            ("--sample", &self.sample),
            ("--trainer", &self.trainer),
            ("--lease", &self.lease),
        ];
        let lines = [
            ("--batch", &self.batch),
            ("--item", &self.item),
            ("--replica", &self.replica),
            ("--service", &self.service),
            ("--holder", &self.holder),
        ];
        let unknown = match self.log.is_empty() {
            true => &lines[..],
            false => &events[..],
        };
        let given = unknown.iter().find(|(_, value)| value.is_some());
        given.map(|(name, _)| *name)
    }
}
