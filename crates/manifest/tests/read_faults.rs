//! Guards against a fault of a manifest that is accepted, or reported at a wrong place.

use dogwoodlb_manifest::{from_str, to_string, Category};
use rstest::rstest;

const FULL: &str = include_str!("data/full.json");

/// Replaces `old` by `new`, in which `¦` marks the place of the fault; returns the text and the
/// line and column of the mark.
fn edit(old: &str, new: &str) -> (String, usize, usize) {
    assert_eq!(FULL.matches(old).count(), 1, "{old}");
    let marked = FULL.replace(old, new);
    let before = &marked[..marked.find('¦').unwrap()];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
    (marked.replace('¦', ""), line, column)
}

#[rstest]
#[case::unknown_root(r#""models": [{"model": "scorer""#, r#"¦"tools": [], "models": [{"model": "scorer""#, "tools: unknown field; expected one of entry_vms, models, trainers, callers, quiet_hours, engines, services")]
#[case::unknown_field(r#""vm": "gpu-1""#, r#""vm": "gpu-1", ¦"rack": 3"#, "engines[0].rack: unknown field; expected one of upstream, vm, region, centre, address, models, checks_fencing, leaving")]
#[case::unknown_nested(
    r#""path": "/orders""#,
    r#""path": "/orders", ¦"body": 1"#,
    "services[0].non_idempotent[0].body: unknown field; expected one of method, path"
)]
#[case::repeated_field(
    r#""version": 4"#,
    r#""version": 4, ¦"version": 5"#,
    "models[1].version: field is given twice"
)]
#[case::missing_field(
    r#"{"vm": "entry-2", "region": "auckland", "#,
    r#"¦{"vm": "entry-2", "#,
    "entry_vms[1].region: required field is missing"
)]
#[case::null_value(
    r#""version": 4"#,
    r#""version": ¦null"#,
    "models[1].version: expected a whole number, found null"
)]
#[case::text_for_number(
    r#""staleness_bound": 2"#,
    r#""staleness_bound": ¦"2""#,
    "trainers[0].staleness_bound: expected a whole number, found text"
)]
#[case::number_for_text(
    r#""vm": "gpu-1""#,
    r#""vm": ¦7"#,
    "engines[0].vm: expected text, found a number"
)]
#[case::text_for_boolean(
    r#""checks_fencing": true"#,
    r#""checks_fencing": ¦"true""#,
    "engines[0].checks_fencing: expected true or false, found text"
)]
#[case::number_for_leaving(
    r#""leaving": true"#,
    r#""leaving": ¦1"#,
    "engines[1].leaving: expected true or false, found a number"
)]
#[case::text_for_list(
    r#""days": ["mon", "sun"]"#,
    r#""days": ¦"mon""#,
    "quiet_hours[0].days: expected a list, found text"
)]
#[case::list_for_object(
    r#"[{"method": "POST", "path": "/orders"}]"#,
    r#"[¦["POST"]]"#,
    "services[0].non_idempotent[0]: expected an object, found a list"
)]
#[case::boolean_for_fraction(
    r#""idle_weight": 0.8"#,
    r#""idle_weight": ¦true"#,
    "trainers[0].idle_weight: expected a number, found true or false"
)]
#[case::fraction_for_integer(
    r#""group_size": 8"#,
    r#""group_size": ¦8.0"#,
    "trainers[0].group_size: expected a whole number, found a number"
)]
#[case::large_staleness(
    r#""staleness_bound": 2"#,
    r#""staleness_bound": ¦65"#,
    "trainers[0].staleness_bound: 65 is outside 0..=64"
)]
#[case::negative_staleness(
    r#""staleness_bound": 2"#,
    r#""staleness_bound": ¦-1"#,
    "trainers[0].staleness_bound: -1 is outside 0..=64"
)]
#[case::empty_group(
    r#""group_size": 8"#,
    r#""group_size": ¦0"#,
    "trainers[0].group_size: 0 is outside 1..=65536"
)]
#[case::many_samples(
    r#""step_samples": 64"#,
    r#""step_samples": ¦65544"#,
    "trainers[0].step_samples: 65544 is outside 1..=65536"
)]
#[case::broken_multiple(
    r#""step_samples": 64"#,
    r#""step_samples": ¦60"#,
    "trainers[0].step_samples: 60 is not a multiple of the group size 8"
)]
#[case::large_weight(
    r#""idle_weight": 0.8"#,
    r#""idle_weight": ¦1.01"#,
    "trainers[0].idle_weight: 1.01 is outside 0..=1"
)]
#[case::negative_weight(
    r#""idle_weight": 0.8"#,
    r#""idle_weight": ¦-0.1"#,
    "trainers[0].idle_weight: -0.1 is outside 0..=1"
)]
#[case::infinite_weight(
    r#""idle_weight": 0.8"#,
    r#""idle_weight": ¦1e999"#,
    "trainers[0].idle_weight: 1e999 is outside 0..=1"
)]
#[case::huge_version(
    r#""version": 4"#,
    r#""version": ¦9007199254740992"#,
    "models[1].version: 9007199254740992 is outside 0..=9007199254740991"
)]
#[case::bad_name(
    r#""vm": "gpu-1""#,
    r#""vm": ¦"GPU 1""#,
    "engines[0].vm: `GPU 1` is not a name: use 1 to 64 of a-z, 0-9, `.`, `_` and `-`"
)]
#[case::bad_address(
    r#""address": "10.0.1.1:7001""#,
    r#""address": ¦"gpu:7001""#,
    "engines[0].address: `gpu:7001` is not an address `ip:port` with a port from 1 to 65535"
)]
#[case::port_zero(
    r#""address": "10.0.1.1:7001""#,
    r#""address": ¦"10.0.1.1:0""#,
    "engines[0].address: `10.0.1.1:0` is not an address `ip:port` with a port from 1 to 65535"
)]
#[case::bad_class(
    r#""class": "customer""#,
    r#""class": ¦"gold""#,
    "callers[0].class: `gold` is not `customer`, `trainer` or `background`"
)]
#[case::bad_method(
    r#""method": "POST""#,
    r#""method": ¦"post""#,
    "services[0].non_idempotent[0].method: `post` is not a method in capital letters"
)]
#[case::bad_path(
    r#""path": "/orders""#,
    r#""path": ¦"orders""#,
    "services[0].non_idempotent[0].path: `orders` is not a path that starts with `/`"
)]
#[case::empty_object(
    r#""object": "weights/parts/4""#,
    r#""object": ¦"""#,
    "models[1].object: `` is not an object name of 1 to 512 bytes"
)]
#[case::bad_day(
    r#"["mon", "sun"]"#,
    r#"["mon", ¦"sunday"]"#,
    "quiet_hours[0].days[1]: `sunday` is not a day from `mon` to `sun`"
)]
#[case::repeated_day(
    r#"["mon", "sun"]"#,
    r#"["mon", ¦"mon"]"#,
    "quiet_hours[0].days[1]: day `mon` is already used at quiet_hours[0].days"
)]
#[case::no_day(
    r#"["mon", "sun"]"#,
    "¦[]",
    "quiet_hours[0].days: the list must not be empty"
)]
#[case::bad_time(
    r#""start": "01:30""#,
    r#""start": ¦"1:30""#,
    "quiet_hours[0].start: `1:30` is not a time `HH:MM` from 00:00 to 24:00"
)]
#[case::late_time(
    r#""end": "03:30""#,
    r#""end": ¦"24:01""#,
    "quiet_hours[0].end: `24:01` is not a time `HH:MM` from 00:00 to 24:00"
)]
#[case::equal_times(r#""end": "03:30""#, r#""end": ¦"01:30""#, "quiet_hours[0].end: `01:30` is not different from the start; use 00:00 and 24:00 for a whole day")]
#[case::unknown_zone(
    r#""Europe/Ljubljana""#,
    r#"¦"Europe/Lublana""#,
    "quiet_hours[0].time_zone: unknown time zone `Europe/Lublana`"
)]
#[case::repeated_vm(
    r#""vm": "entry-3""#,
    r#""vm": ¦"entry-1""#,
    "entry_vms[2].vm: entry VM `entry-1` is already used at entry_vms[0].vm"
)]
#[case::repeated_model(
    r#""model": "parts""#,
    r#""model": ¦"scorer""#,
    "models[1].model: model `scorer` is already used at models[0].model"
)]
#[case::repeated_upstream(
    r#""upstream": "judge-1""#,
    r#""upstream": ¦"engine-1""#,
    "services[1].replicas[0].upstream: upstream `engine-1` is already used at engines[0].upstream"
)]
#[case::repeated_service(
    r#""service": "judge""#,
    r#""service": ¦"stock""#,
    "services[1].service: service `stock` is already used at services[0].service"
)]
#[case::repeated_address(
    r#""address": "10.0.2.2:7101""#,
    r#""address": ¦"10.0.0.1:9001""#,
    "services[1].replicas[0].address: address `10.0.0.1:9001` is already used at entry_vms[0].peer"
)]
#[case::repeated_reference(
    r#"["stock"]"#,
    r#"["stock", ¦"stock"]"#,
    "callers[0].services[1]: service `stock` is already used at callers[0].services"
)]
#[case::trainer_model(
    r#""model": "scorer", "staleness_bound""#,
    r#""model": ¦"none", "staleness_bound""#,
    "trainers[0].model: there is no model `none`"
)]
#[case::trainer_scorer(
    r#""scorer": "judge""#,
    r#""scorer": ¦"jury""#,
    "trainers[0].scorer: there is no service `jury`"
)]
#[case::caller_model(
    r#""models": ["scorer", "parts"], "services""#,
    r#""models": ["scorer", ¦"part"], "services""#,
    "callers[0].models[1]: there is no model `part`"
)]
#[case::caller_service(
    r#"["stock"]"#,
    r#"[¦"stack"]"#,
    "callers[0].services[0]: there is no service `stack`"
)]
#[case::quiet_model(
    r#""end": "03:30", "models": ["scorer"]"#,
    r#""end": "03:30", "models": [¦"x"]"#,
    "quiet_hours[0].models[0]: there is no model `x`"
)]
#[case::engine_model(
    r#""models": ["scorer"], "checks"#,
    r#""models": [¦"x"], "checks"#,
    "engines[0].models[0]: there is no model `x`"
)]
fn single_fault(#[case] old: &str, #[case] new: &str, #[case] expected: &str) {
    let (text, line, column) = edit(old, new);
    let error = from_str(&text).unwrap_err();
    let expected = format!("line {line} column {column}: {expected}");
    let related = |fault: &&dogwoodlb_manifest::Fault| fault.to_string() == expected;
    assert!(
        error.faults().iter().any(|fault| related(&fault)),
        "{error}"
    );
    assert_eq!(error.classify(), Category::Invalid);
    // Only a renamed definition breaks other places, namely the references to it.
    let renamed = expected.contains("already used");
    assert!(renamed || error.faults().len() == 1, "{error}");
}

#[rstest]
#[case::trailing_text("{}\n {}", 2, 2, "text cannot contain more than one json value")]
#[case::missing_comma("{\"a\": 1 \"b\": 2}", 1, 8, "expected comma")]
#[case::bare_word("{\"a\": yes}", 1, 7, "unexpected token")]
#[case::single_quotes("{'a': 1}", 1, 2, "single-quoted strings are not allowed")]
#[case::hexadecimal("{\"a\": 0x10}", 1, 7, "hexadecimal numbers are not allowed")]
#[case::truncated("{\"models\": [", 1, 12, "unterminated array")]
#[case::empty("  ", 1, 1, "the text is empty")]
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

/// Guards against a reader that stops at the first fault, or lists faults out of order.
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

/// Guards against a manifest that changes when a tool writes it and reads it again.
#[test]
fn round_trip() {
    let manifest = from_str(FULL).unwrap();
    assert_eq!(from_str(&to_string(&manifest)).unwrap(), manifest);
}

/// Guards against refusing the smallest and accepting an empty system.
#[test]
fn minimal_manifest() {
    let text = r#"{"entry_vms": [{"vm": "e", "region": "r", "centre": "c",
        "address": "[::1]:1", "peer": "[::1]:2"}]}"#;
    assert_eq!(from_str(text).unwrap().quorum(), 1);
    let error = from_str(r#"{"entry_vms": []}"#).unwrap_err();
    assert_eq!(
        error.to_string(),
        "line 1 column 15: entry_vms: the list must not be empty"
    );
    let error = from_str("{}").unwrap_err();
    assert_eq!(
        error.to_string(),
        "line 1 column 1: entry_vms: required field is missing"
    );
}
