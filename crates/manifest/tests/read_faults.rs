//! Guards against faults of a manifest that are not detected or reported at a wrong position.

use dogwoodlb_manifest::{from_str, to_string, Category};
use rstest::rstest;

const FULL: &str = include_str!("data/full.json");

/// Replaces `old` by `new`, in which `¦` marks the position of the fault. Returns the document
/// without the mark, and the line and column of the mark.
fn edit(old: &str, new: &str) -> (String, usize, usize) {
    assert_eq!(FULL.matches(old).count(), 1, "{old}");
    let marked = FULL.replace(old, new);
    let before = &marked[..marked.find('¦').unwrap()];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
    (marked.replace('¦', ""), line, column)
}

/// Each line of the data file replaces a part of the full manifest and names the resulting fault.
#[test]
fn single_faults() {
    let cases = include_str!("data/faults.txt");
    assert_eq!(cases.lines().count(), 49);
    for case in cases.lines() {
        let parts: Vec<_> = case.split(" => ").collect();
        let [old, new, expected] = parts[..] else {
            panic!("{case}");
        };
        let (text, line, column) = edit(old, new);
        let error = from_str(&text).unwrap_err();
        let expected = format!("line {line} column {column}: {expected}");
        let mut faults = error.faults().iter();
        assert!(
            faults.any(|fault| fault.to_string() == expected),
            "{case}: {error}"
        );
        assert_eq!(error.classify(), Category::Invalid);
        // Renaming a definition also invalidates the references to it.
        let renamed = expected.contains("already used");
        assert!(renamed || error.faults().len() == 1, "{case}: {error}");
    }
}

#[rstest]
#[case::trailing_text("{}\n {}", 2, 2, "text cannot contain more than one json value")]
#[case::missing_comma("{\"a\": 1 \"b\": 2}", 1, 8, "expected comma")]
#[case::bare_word("{\"a\": yes}", 1, 7, "unexpected token")]
#[case::single_quotes("{'a': 1}", 1, 2, "single-quoted strings are not allowed")]
#[case::hexadecimal("{\"a\": 0x10}", 1, 7, "hexadecimal numbers are not allowed")]
#[case::truncated("{\"models\": [", 1, 12, "unterminated array")]
#[case::empty("  ", 1, 1, "the document is empty")]
#[case::open_comment("{} /* x", 1, 4, "unterminated comment block")]
#[case::deep("{\"a\": [[[[[[[[[[[[[[[[[", 1, 22, "nested more than 16 levels deep")]
fn broken_syntax(
    #[case] text: &str,
    #[case] line: usize,
    #[case] column: usize,
    #[case] expected: &str,
) {
    let error = from_str(text).unwrap_err();
    assert_eq!(error.classify(), Category::Syntax);
    let expected = format!("line {line} column {column}: {expected}");
    assert_eq!(error.to_string(), expected);
}

/// Guards against a reader that stops at the first fault or reports faults out of order.
#[test]
fn all_faults() {
    let text = FULL
        .replace("\"version\": 4", "\"version\": -4")
        .replace("\"class\": \"customer\"", "\"klass\": 1")
        .replace("Europe/Ljubljana", "Nowhere")
        .replace("\"scorer\": \"judge\"", "\"scorer\": \"jury\"");
    let error = from_str(&text).unwrap_err();
    let paths: Vec<_> = error.faults().iter().map(|fault| &*fault.path).collect();
    let expected = [
        "models[1].version",
        "trainers[0].scorer",
        "callers[0].class",
        "callers[0].klass",
        "quiet_hours[0].time_zone",
    ];
    assert_eq!(paths, expected);
}

/// Guards against a manifest that changes when it is serialized and parsed again.
#[test]
fn round_trip() {
    let manifest = from_str(FULL).unwrap();
    assert_eq!(from_str(&to_string(&manifest)).unwrap(), manifest);
}

/// Guards against rejecting the smallest valid manifest and accepting one without entry VMs.
#[test]
fn minimal_manifest() {
    let text = r#"{"entry_vms": [{"vm": "e", "region": "r", "centre": "c",
        "address": "[::1]:1", "peer": "[::1]:2"}]}"#;
    assert_eq!(from_str(text).unwrap().quorum(), 1);
    let error = from_str(r#"{"entry_vms": []}"#).unwrap_err();
    assert_eq!(
        error.to_string(),
        "line 1 column 15: entry_vms: the array must not be empty"
    );
    let error = from_str("{}").unwrap_err();
    assert_eq!(
        error.to_string(),
        "line 1 column 1: entry_vms: required field is missing"
    );
}
