//! Guards against input that makes the reader panic, overflow the stack or run for minutes.

use dogwoodlb_manifest::{from_str, settings, Category, MAX_BYTES};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const FULL: &str = include_str!("data/full.json");

/// Tests a property with a fixed seed, so that the result is reproducible.
fn check<S: Strategy>(strategy: &S, property: impl Fn(S::Value)) {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(strategy, |value| {
        property(value);
        Ok(())
    });
    result.unwrap();
}

fn read(text: &str) {
    let _ = from_str(text);
    let _ = settings::from_str(text);
}

#[test]
fn random_text() {
    check(&"\\PC{0,200}", |text| read(&text));
    check(&"[\\[\\]{}\",:/*\\\\0-9a-z \\n.eE+-]{0,200}", |text| {
        read(&text)
    });
}

#[test]
fn truncated_text() {
    check(&(0..FULL.len()), |end| {
        let text = FULL.get(..end).unwrap_or_default();
        assert!(from_str(text).is_err());
    });
}

/// Replaces one byte of a valid document by a token, or inserts a token.
#[test]
fn mutated_document() {
    let token = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "\"",
        "\\",
        "\\u00",
        "\\ud800",
        "//",
        "/*",
        "*/",
        "-",
        "1e9",
        "null",
        "š",
        "\u{0}",
        "\u{feff}",
        "18446744073709551616",
    ]);
    check(&(0..FULL.len(), 0..2_usize, token), |(at, cut, token)| {
        let mut text = FULL.to_owned();
        text.replace_range(at..(at + cut).min(text.len()), token);
        read(&text);
    });
}

#[test]
fn huge_numbers() {
    check(
        &"-?[0-9]{1,400}(\\.[0-9]{1,40})?([eE][+-]?[0-9]{1,10})?",
        |number| {
            for field in [
                "\"staleness_bound\": 2",
                "\"idle_weight\": 0.8",
                "\"version\": 4",
            ] {
                let (name, _) = field.split_once(':').unwrap();
                read(&FULL.replace(field, &format!("{name}: {number}")));
            }
        },
    );
}

/// The depth must be checked before the parser recurses, which would overflow the small stack of
/// this thread.
#[test]
fn deep_nesting() {
    let thread = std::thread::Builder::new().stack_size(96 << 10);
    let read = || {
        for (depth, open) in [(17, "["), (500, "["), (500, "{\"a\":"), (MAX_BYTES, "[")] {
            let error = from_str(&open.repeat(depth)).unwrap_err();
            assert_eq!(error.classify(), Category::Syntax);
        }
    };
    thread.spawn(read).unwrap().join().unwrap();
}

#[test]
fn size_limit() {
    let padding = MAX_BYTES - FULL.len();
    let largest = format!("{FULL}{}", " ".repeat(padding));
    assert!(from_str(&largest).is_ok());
    let error = from_str(&format!("{largest} ")).unwrap_err();
    assert_eq!(error.classify(), Category::TooLarge);
}

/// A long line with a fault in every element must not take quadratic time.
#[test]
fn many_faults() {
    let elements = "0,".repeat(300_000);
    let text = format!("{{\"entry_vms\": [{elements}]}}");
    assert_eq!(from_str(&text).unwrap_err().faults().len(), 300_000);
}
