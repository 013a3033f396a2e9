//! Guards against a simulation that deviates from its scenario, and against scenarios with invalid
//! settings.

use dogwoodlb_emulator::{render_svg, simulate, Error, Report, Scenario};
use std::fs;
use std::path::Path;

const CALM: &str = r#"
    // Comments and trailing commas are allowed.
    {
        "name": "calm",
        "duration_ms": 30000,
        "submit_until_ms": 20000,
        "seeds": [1, 2],
        "pool": { "replicas": 4, "slots": 8 },
        "trainers": [{ "model": "m", "groups": 6, "group_size": 4 }],
    }
"#;

fn with(faults: &str) -> Scenario {
    let end = CALM.rfind('}').unwrap();
    let text = format!("{}    \"faults\": [{faults}],\n}}", &CALM[..end]);
    Scenario::parse(&text).unwrap()
}

fn report(scenario: &Scenario) -> Report {
    let runs = scenario.seeds.iter().map(|seed| simulate(scenario, *seed));
    Report {
        scenario: scenario.name.clone(),
        runs: runs.collect(),
    }
}

#[test]
fn all_groups_in_time_without_faults() {
    let scenario = with("");
    for run in report(&scenario).runs {
        assert_eq!(run.figures.steps, 6, "a step every 4 s up to 20 s");
        assert!(run.figures.in_time > 0.99, "{:?}", run.figures);
    }
}

/// Comparing reports seed by seed requires that a seed always gives the same run.
#[test]
fn same_seed_gives_same_report() {
    let scenario = with(r#"{ "kind": "leader_lost", "at_ms": 5000, "for_ms": 1000 }"#);
    let (first, second) = (report(&scenario), report(&scenario));
    assert_eq!(first, second);
    let compared = first.compare(&second);
    assert_eq!((compared.pairs, compared.better, compared.worse), (2, 0, 0));
}

#[test]
fn json_round_trip() {
    let before = report(&with(""));
    let after = Report::from_json(&before.to_json().unwrap()).unwrap();
    let compared = before.compare(&after);
    assert_eq!((compared.pairs, compared.better, compared.worse), (2, 0, 0));
}

#[test]
fn faults_increase_step_duration() {
    let calm = report(&with("")).mean();
    let faults = [
        r#"{ "kind": "leader_lost", "at_ms": 8200, "for_ms": 3000 }"#,
        r#"{ "kind": "store_lost", "at_ms": 8000, "for_ms": 5000 }"#,
        r#"{ "kind": "replicas_lost", "at_ms": 8000, "for_ms": 9000, "count": 3 }"#,
        r#"{ "kind": "replicas_slow", "at_ms": 8000, "for_ms": 9000, "count": 4, "factor": 5.0 }"#,
    ];
    for fault in faults {
        let figures = report(&with(fault)).mean();
        assert!(
            figures.step_p90_ms > calm.step_p90_ms,
            "{fault}: {figures:?}"
        );
    }
}

#[test]
fn plot_is_svg() {
    let scenario = with("");
    let plot = render_svg(&report(&scenario), &scenario).unwrap();
    assert!(plot.starts_with("<svg") && plot.trim_end().ends_with("</svg>"));
}

#[test]
fn invalid_scenarios_are_rejected() {
    let unknown = CALM.replace("\"slots\"", "\"slotz\"");
    assert!(matches!(Scenario::parse(&unknown), Err(Error::Scenario(_))));
    let empty = CALM.replace("\"replicas\": 4", "\"replicas\": 0");
    let message = Scenario::parse(&empty).unwrap_err().to_string();
    assert_eq!(message, "pool.replicas is 0, but must be at least 1");
}

/// Without this test, an invalid file in `scenarios` would only show up when it is next used.
#[test]
fn scenario_files_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut count = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let scenario = Scenario::parse(&fs::read_to_string(&path).unwrap());
        let scenario = scenario.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        assert_eq!(path.file_stem().unwrap().to_str(), Some(&*scenario.name));
        count += 1;
    }
    assert!(count > 0);
}
