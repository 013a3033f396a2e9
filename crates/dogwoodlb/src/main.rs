//! The daemon of an entry VM.

mod args;
mod demo;
mod edge;
mod error;
mod experiment;
mod logs;
mod run;

use args::{Args, Command};
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        println!("dogwoodlb {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = match &args.command {
        Some(Command::Check(args)) => run::check(&args.settings),
        Some(Command::Demo(args)) => demo::run(args),
        Some(Command::Edge(args)) => edge::run(args),
        Some(Command::Experiment(args)) => experiment::run(args),
        Some(Command::Run(args)) => run::run(&args.settings),
        None => {
            eprintln!(
                "no command: use `edge`, `run`, `check`, `demo` or `experiment`, or see --help"
            );
            return ExitCode::from(error::USAGE);
        }
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}
