//! The operators' command line as a library; the binary `dogwoodctl` only calls [`main`].
//!
//! [`Exit`] lists the exit codes. Commands connect to the nodes given with `--node` and look up the
//! other nodes in the manifest in force.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_ctl::{run, Exit, HttpClient};
//!
//! let (mut out, mut err) = (Vec::new(), Vec::new());
//! let exit = run(&["check", "no-such-file.json"], &HttpClient::new(), &mut out, &mut err);
//! assert_eq!(exit, Exit::Usage);
//! assert!(String::from_utf8_lossy(&err).starts_with("cannot read the file at no-such-file.json"));
//! ```

mod args;
mod client;
mod commit;
mod drain;
mod error;
mod file;
mod log_lines;
mod node;
mod output;
mod timeline;
mod view;

use argh::FromArgs;
use args::{Args, Command};
use output::Output;
use std::io::Write;
use std::net::SocketAddr;

pub use client::{Client, HttpClient, Request, Response, SendError};
pub use error::{Category, Error};

/// The result of an operation of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// A node or a local check rejected the request.
    Refused = 1,
    /// The arguments are invalid, or a file can't be read.
    Usage = 2,
    /// No node responded.
    NoResponse = 3,
    /// The manifest was accepted, but is not in force on every node.
    NotInForce = 4,
}

impl From<Category> for Exit {
    fn from(category: Category) -> Self {
        match category {
            Category::Refused => Self::Refused,
            Category::Usage => Self::Usage,
            Category::NoResponse => Self::NoResponse,
            Category::NotInForce => Self::NotInForce,
        }
    }
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Runs the command given by the arguments of the process, over HTTP.
pub fn main() -> std::process::ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    run(&args, &HttpClient::new(), &mut out, &mut err).into()
}

/// Runs a command and writes its result to `out`, errors and notes to `err`.
///
/// `args` excludes the program name.
pub fn run(args: &[&str], client: &dyn Client, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let args = match Args::from_args(&["dogwoodctl"], args) {
        Ok(args) => args,
        Err(early_exit) => {
            let (stream, exit): (&mut dyn Write, _) = match early_exit.status {
                Ok(()) => (out, Exit::Done),
                Err(()) => (err, Exit::Usage),
            };
            let _ = writeln!(stream, "{}", early_exit.output.trim_end());
            return exit;
        }
    };
    if args.version {
        let _ = writeln!(out, "dogwoodctl {}", env!("CARGO_PKG_VERSION"));
        return Exit::Done;
    }
    let Some(command) = &args.command else {
        let _ = writeln!(err, "no command given; see --help");
        return Exit::Usage;
    };
    let json = args.json;
    let mut output = Output { json, out, err };
    let Err(error) = dispatch(&args.node, command, client, &mut output) else {
        return Exit::Done;
    };
    match json {
        true => output.note(&error.to_json().to_string()),
        false => output.note(&error.to_string()),
    }
    error.classify().into()
}

fn dispatch(
    nodes: &[SocketAddr],
    command: &Command,
    client: &dyn Client,
    output: &mut Output<'_>,
) -> Result<()> {
    match command {
        Command::Check(args) => view::check(args, output),
        Command::Commit(args) => commit::run(args, nodes, client, output),
        Command::Diff(args) => view::diff_with_file(args, nodes, client, output),
        Command::Drain(args) => drain::run(args, nodes, client, output),
        Command::Show(_) => view::show(nodes, client, output),
        Command::Status(_) => view::status(nodes, client, output),
        Command::Timeline(args) => timeline::run(args, nodes, client, output),
    }
}
