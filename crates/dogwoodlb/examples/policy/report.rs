//! Tables, JSON and the plot.

use crate::sim::{Results, Scenario};
use std::error::Error;
use std::fmt::Write;
use std::ops::Range;

/// The runs of one policy under one scenario.
pub(crate) struct Row {
    pub(crate) scenario: Scenario,
    pub(crate) name: &'static str,
    pub(crate) results: Vec<Results>,
}

type Column = (&'static str, usize, fn(&Results) -> f64);

/// The columns with their decimals.
const COLUMNS: [Column; 16] = [
    ("idle %", 1, |r| r.idle_share * 100.0),
    ("stale mean", 2, |r| r.staleness_mean),
    ("stale p99", 1, |r| r.staleness_p99),
    ("step p50 s", 1, |r| r.step_p50_s),
    ("step p99 s", 1, |r| r.step_p99_s),
    ("steps", 1, |r| r.steps),
    ("first p50 ms", 0, |r| r.first_p50_ms),
    ("first p99 ms", 0, |r| r.first_p99_ms),
    ("answer p50 ms", 0, |r| r.answer_p50_ms),
    ("answer p99 ms", 0, |r| r.answer_p99_ms),
    ("refused %", 2, |r| r.refused_share * 100.0),
    ("goodput %", 1, |r| r.goodput_share * 100.0),
    ("recovery s", 1, |r| r.recovery_s),
    ("link MB", 1, |r| r.link_mb),
    ("duplicate %", 2, |r| r.duplicate_share * 100.0),
    ("hits %", 1, |r| r.cache_hit_share * 100.0),
];

pub(crate) fn print_json(
    deployment: &str,
    scenario: Scenario,
    policy: &str,
    seeds: Range<u64>,
    results: &[Results],
) -> Result<(), Box<dyn Error>> {
    for (seed, results) in seeds.zip(results) {
        let line = serde_json::json!({
            "deployment": deployment,
            "scenario": scenario.name(),
            "policy": policy,
            "seed": seed,
            "results": serde_json::to_value(results)?,
        });
        println!("{line}");
    }
    Ok(())
}

/// Prints one Markdown table for each scenario: mean and, in brackets, lowest and highest seed.
pub(crate) fn print_tables(rows: &[Row]) {
    let mut last = None;
    for row in rows {
        if last != Some(row.scenario) {
            last = Some(row.scenario);
            let names: Vec<_> = COLUMNS.iter().map(|(name, ..)| *name).collect();
            println!("\nscenario: {}\n", row.scenario.name());
            println!("| policy | {} |", names.join(" | "));
            println!("|---{}|", "|---".repeat(COLUMNS.len()));
        }
        let cells = COLUMNS.iter().map(|column| cell(column, &row.results));
        println!(
            "| {} | {} |",
            row.name,
            cells.collect::<Vec<_>>().join(" | ")
        );
    }
}

fn cell((_, decimals, value): &Column, results: &[Results]) -> String {
    let values: Vec<f64> = results.iter().map(value).collect();
    let (low, mean, high) = spread(&values);
    if high - low < 1e-9 {
        return format!("{mean:.decimals$}");
    }
    format!("{mean:.decimals$} ({low:.decimals$}-{high:.decimals$})")
}

fn spread(values: &[f64]) -> (f64, f64, f64) {
    let low = values.iter().copied().fold(f64::INFINITY, f64::min);
    let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let mean = values.iter().sum::<f64>() / (values.len().max(1) as f64);
    (low, mean, high)
}

/// Plots idle share against mean staleness: one point for each seed without a fault.
pub(crate) fn svg(deployment: &str, rows: &[Row]) -> String {
    let mut out = String::from(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"720\" height=\"420\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"720\" height=\"420\" fill=\"white\"/>\n\
         <path d=\"M60 20V370H540\" fill=\"none\" stroke=\"black\"/>\n",
    );
    let _ = writeln!(
        out,
        "<text x=\"60\" y=\"14\">{deployment}: trainer idle share (%) against mean staleness \
         (versions), one point for each seed</text>"
    );
    for mark in 0..=5 {
        let (idle, age) = (f64::from(mark) * 20.0, f64::from(mark) * 0.5);
        let (x, y) = place(age, idle);
        let _ = writeln!(out, "<text x=\"30\" y=\"{y:.0}\">{idle:.0}</text>");
        let _ = writeln!(out, "<text x=\"{x:.0}\" y=\"388\">{age:.1}</text>");
    }
    let plain = |row: &&Row| row.scenario == Scenario::None && row.results[0].steps > 0.0;
    for (index, row) in rows.iter().filter(plain).enumerate() {
        let colour = format!("hsl({}, 70%, 40%)", index * 33);
        let line = 40 + index * 20;
        let _ = writeln!(
            out,
            "<circle cx=\"570\" cy=\"{line}\" r=\"4\" fill=\"{colour}\"/>\
             <text x=\"580\" y=\"{}\">{}</text>",
            line + 4,
            row.name
        );
        for one in &row.results {
            let (x, y) = place(one.staleness_mean, one.idle_share * 100.0);
            let _ = writeln!(
                out,
                "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" fill=\"{colour}\"/>"
            );
        }
    }
    out.push_str("</svg>\n");
    out
}

fn place(age: f64, idle: f64) -> (f64, f64) {
    (60.0 + age * 190.0, 370.0 - idle * 3.5)
}
