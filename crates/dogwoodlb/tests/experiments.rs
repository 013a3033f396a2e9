//! Guards against an `experiment` command that takes a faulty scenario, or that can't compare
//! what it wrote.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SCENARIO: &str = r#"{
    // Small enough for a debug build.
    "name": "small",
    "duration_ms": 12000,
    "submit_until_ms": 5000,
    "seeds": [1, 2],
    "pool": { "replicas": 4, "slots": 8 },
    "trainers": [{ "model": "m", "groups": 4, "group_size": 4 }],
}"#;

fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("experiments-{test}"));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn experiment(options: &[(&str, &Path)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dogwoodlb"));
    command.arg("experiment");
    for (option, path) in options {
        command.arg(option).arg(path);
    }
    command.output().unwrap()
}

#[test]
fn reports_can_be_compared() {
    let folder = folder("compared");
    let (scenario, json) = (folder.join("small.jsonc"), folder.join("small.json"));
    let svg = folder.join("small.svg");
    fs::write(&scenario, SCENARIO).unwrap();
    let options = [
        ("--scenario", &*scenario),
        ("--json", &json),
        ("--svg", &svg),
    ];
    let first = experiment(&options);
    assert!(first.status.success(), "{first:?}");
    assert!(fs::read_to_string(&svg).unwrap().starts_with("<svg"));
    let second = experiment(&[("--scenario", &scenario), ("--compare", &json)]);
    let text = String::from_utf8(second.stdout).unwrap();
    assert!(
        text.contains("2 pairs: worth +0.000, 0 better, 0 worse"),
        "{text}"
    );
}

#[test]
fn faulty_scenario() {
    let folder = folder("faulty");
    let scenario = folder.join("small.jsonc");
    fs::write(
        &scenario,
        SCENARIO.replace("\"replicas\": 4", "\"replicas\": 0"),
    )
    .unwrap();
    let refused = experiment(&[("--scenario", &scenario)]);
    assert_eq!(refused.status.code(), Some(2));
    let text = String::from_utf8(refused.stderr).unwrap();
    assert!(text.contains("pool.replicas is 0"), "{text}");
}

#[test]
fn missing_files() {
    let folder = folder("missing");
    let scenario = folder.join("none.jsonc");
    let absent = experiment(&[("--scenario", &scenario)]);
    assert_eq!(absent.status.code(), Some(2));
    fs::write(folder.join("small.jsonc"), SCENARIO).unwrap();
    let nowhere = folder.join("no/such/folder.json");
    let options = [
        ("--scenario", &*folder.join("small.jsonc")),
        ("--json", &nowhere),
    ];
    let unwritten = experiment(&options);
    assert_eq!(unwritten.status.code(), Some(1));
}
