//! Compares policies of routing, admission and run-ahead in virtual time.
//!
//! Each run drives the decision cores of `route`, `limit` and `rollout` with fake engines, so
//! that a policy is judged in seconds. docs/measurements.md holds the results.

#[path = "policy/report.rs"]
mod report;
#[path = "policy/sim.rs"]
mod sim;

use argh::FromArgs;
use sim::{run, Deployment, Results, Scenario, Setup, POLICIES};
use std::error::Error;

/// Compares policies in virtual time.
#[derive(FromArgs)]
struct Arguments {
    /// the deployment: tok or kauri
    #[argh(option)]
    deployment: String,
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds to run
    #[argh(option, default = "1")]
    seeds: u64,
    /// the fault: none, crash, swap, store, cut or overload; all of them by default
    #[argh(option)]
    scenario: Option<String>,
    /// the only policy to run
    #[argh(option)]
    policy: Option<String>,
    /// the virtual time of a run
    #[argh(option, default = "1200")]
    seconds: u64,
    /// how long an engine stands still for new weights
    #[argh(option, default = "sim::SWAP_MS")]
    swap_ms: u64,
    /// print one JSON object for each run
    #[argh(switch)]
    json: bool,
    /// write a plot to this file
    #[argh(option)]
    svg: Option<String>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    let deployment = Deployment::named(&arguments.deployment).ok_or("unknown deployment")?;
    let wanted = |name: &Option<String>, own: &str| name.as_deref().is_none_or(|one| one == own);
    let mut rows = Vec::new();
    for scenario in Scenario::ALL {
        if !wanted(&arguments.scenario, scenario.name()) {
            continue;
        }
        // A run without trainers shows what they cost the customers.
        let alone = [("ours, no trainers", POLICIES[0], false)];
        let all = POLICIES.iter().map(|one| (one.name, *one, true));
        for (name, policy, with_trainers) in all.chain(alone) {
            if !wanted(&arguments.policy, name) {
                continue;
            }
            let setup = |seed| Setup {
                deployment: deployment.clone(),
                policy,
                scenario,
                seed,
                millis: arguments.seconds * 1_000,
                swap_ms: arguments.swap_ms,
                with_trainers,
            };
            let seeds = arguments.seed..arguments.seed + arguments.seeds;
            let results = run_all(seeds.clone().map(setup).collect())?;
            if arguments.json {
                report::print_json(&arguments.deployment, scenario, name, seeds, &results)?;
            }
            rows.push(report::Row {
                scenario,
                name,
                results,
            });
        }
    }
    if !arguments.json {
        report::print_tables(&rows);
    }
    if let Some(path) = &arguments.svg {
        std::fs::write(path, report::svg(&arguments.deployment, &rows))?;
    }
    Ok(())
}

/// Runs the seeds of one policy beside each other.
fn run_all(setups: Vec<Setup>) -> Result<Vec<Results>, Box<dyn Error>> {
    let runs = std::thread::scope(|scope| {
        let one = |setup: Setup| scope.spawn(move || run(setup).map_err(|e| e.to_string()));
        let threads: Vec<_> = setups.into_iter().map(one).collect();
        let joined = threads.into_iter().map(|thread| thread.join());
        joined.collect::<Vec<_>>()
    });
    let mut results = Vec::new();
    for run in runs {
        results.push(run.map_err(|_| "a run panicked")??);
    }
    Ok(results)
}
