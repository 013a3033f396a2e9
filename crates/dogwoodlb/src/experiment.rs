//! Plays a scenario in virtual time.

use crate::args::Experiment;
use crate::error::{Error, Inner};
use dogwoodlb_emulator::{render_svg, simulate, Report, Scenario};
use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::thread;

pub(crate) fn run(args: &Experiment) -> Result<ExitCode, Error> {
    let scenario = read(&args.scenario)?;
    let scenario = Scenario::parse(&scenario).map_err(failed(&args.scenario))?;
    let before = match &args.compare {
        Some(path) => Some(Report::from_json(&read(path)?).map_err(failed(path))?),
        None => None,
    };
    let report = play_all(&scenario);
    print!("{report}");
    if let Some(before) = before {
        println!("{}", report.compare(&before));
    }
    if let Some(path) = &args.json {
        write(path, &report.to_json().map_err(failed(path))?)?;
    }
    if let Some(path) = &args.svg {
        write(path, &render_svg(&report, &scenario).map_err(failed(path))?)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Plays all seeds, as many at a time as there are processors.
fn play_all(scenario: &Scenario) -> Report {
    let at_once = thread::available_parallelism().map_or(1, usize::from);
    let mut runs = Vec::new();
    for seeds in scenario.seeds.chunks(at_once) {
        thread::scope(|scope| {
            let start = |seed: &u64| {
                let seed = *seed;
                scope.spawn(move || simulate(scenario, seed))
            };
            let players: Vec<_> = seeds.iter().map(start).collect();
            for player in players {
                match player.join() {
                    Ok(run) => runs.push(run),
                    Err(panic) => std::panic::resume_unwind(panic),
                }
            }
        });
    }
    Report {
        scenario: scenario.name.clone(),
        runs,
    }
}

fn failed(path: &Path) -> impl Fn(dogwoodlb_emulator::Error) -> Inner + '_ {
    |cause| Inner::Experiment {
        path: path.to_owned(),
        cause,
    }
}

fn read(path: &Path) -> Result<String, Inner> {
    fs::read_to_string(path).map_err(|cause| Inner::File {
        path: path.to_owned(),
        cause,
    })
}

fn write(path: &Path, text: &str) -> Result<(), Inner> {
    fs::write(path, text).map_err(|cause| Inner::Write {
        path: path.to_owned(),
        cause,
    })
}
