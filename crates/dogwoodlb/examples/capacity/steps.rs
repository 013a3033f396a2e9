//! How long a step of 1,024 samples takes, in virtual time with the real planner.

use crate::{Report, Result};
use dogwoodlb_rollout::{Action, Planner, Settings};
use dogwoodlb_types::{id, Instant};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const SAMPLES: u32 = 1_024;
const GROUP: u32 = 8;
const TICK: Duration = Duration::from_millis(50);
/// The speed of one stream; assumed.
const TOKENS_PER_S: f64 = 50.0;
/// The longest sample; assumed.
const MAX_TOKENS: f64 = 8_192.0;
/// The exponent of the Pareto distribution of lengths, as the stand-in engine has it.
const TAIL: f64 = 1.5;

pub(crate) fn run(report: &mut Report) -> Result<()> {
    for least in [100.0, 400.0, 800.0] {
        for in_flight in [64, 128, 256, 1_024] {
            let (seconds, mean, tokens) = simulate(least, in_flight)?;
            let name = format!("step.mean_{mean:.0}_tokens_{in_flight}_in_flight");
            report.add(format!("{name}.seconds"), seconds);
            report.add(format!("{name}.tokens_per_s"), tokens / seconds);
        }
    }
    Ok(())
}

/// Returns the seconds of a step, the mean length of its samples and the tokens generated,
/// spare attempts included.
fn simulate(least: f64, in_flight: usize) -> Result<(f64, f64, f64)> {
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = Settings {
        trainer: "trainer-01".parse()?,
        staleness_bound: 2,
        idle_weight: 0.0,
    };
    let mut planner = Planner::new(settings, id::Version(1));
    let step = id::Step(1);
    planner
        .submit(step, &vec![GROUP; (SAMPLES / GROUP) as usize])
        .map_err(|refusal| refusal.message)?;
    let mut running: Vec<(Instant, Instant, id::Sample, u32)> = Vec::new();
    let (mut lengths, mut tokens) = (Vec::new(), 0.0);
    let mut now = Instant::from_millis(0);
    while planner.unfinished(step) != Some(0) {
        now = now + TICK;
        let (done, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|one| one.0 <= now);
        running = rest;
        for (_, began, sample, attempt) in done {
            tokens += now.saturating_since(began).as_secs_f64() * TOKENS_PER_S;
            planner.on_finished(now, &sample, attempt);
        }
        for action in planner.poll(now, in_flight) {
            match action {
                Action::Generate {
                    sample, attempt, ..
                } => {
                    let random: f64 = rng.random();
                    let length = (least * (1.0 - random).powf(-1.0 / TAIL)).min(MAX_TOKENS);
                    lengths.push(length);
                    let end = now + Duration::from_secs_f64(length / TOKENS_PER_S);
                    running.push((end, now, sample, attempt));
                }
                Action::Cancel { sample, attempt } => {
                    if let Some(at) = running
                        .iter()
                        .position(|one| one.2 == sample && one.3 == attempt)
                    {
                        let (_, began, ..) = running.swap_remove(at);
                        tokens += now.saturating_since(began).as_secs_f64() * TOKENS_PER_S;
                    }
                }
            }
        }
    }
    let mean = lengths.iter().sum::<f64>() / lengths.len() as f64;
    Ok((now.as_millis() as f64 / 1_000.0, mean, tokens))
}
