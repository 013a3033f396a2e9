//! Guards against a node that starts with invalid settings or reports only some of the faults.

use dogwoodlb_manifest::settings::{from_str, Level};

const SETTINGS: &str = r#"{
  // One node.
  "vm": "entry-1", "region": "ljubljana", "centre": "lj-a",
  "address": "127.0.0.1:8001", "peer": "127.0.0.1:9001",
  "table": "127.0.0.1:7001", "objects": "127.0.0.1:7002", "vms": "127.0.0.1:7003",
  "log": "debug",
}"#;

#[test]
fn valid_settings() {
    let settings = from_str(SETTINGS).unwrap();
    assert_eq!(settings.vm.as_str(), "entry-1");
    assert_eq!(settings.peer, "127.0.0.1:9001".parse().unwrap());
    assert_eq!((settings.log, settings.statsd), (Some(Level::Debug), None));
}

#[test]
fn all_faults() {
    let text = SETTINGS
        .replace("\"vm\": \"entry-1\"", "\"vm\": \"\"")
        .replace("127.0.0.1:9001", "127.0.0.1:8001")
        .replace("\"table\": \"127.0.0.1:7001\", ", "")
        .replace("\"vms\": \"127.0.0.1:7003\"", "\"vms\": 7003")
        .replace("\"log\": \"debug\"", "\"log\": \"loud\", \"port\": 1");
    let expected = "\
line 1 column 1: table: required field is missing
line 3 column 9: vm: `` is not a name: use 1 to 64 of a-z, 0-9, `.`, `_` and `-`
line 4 column 40: peer: address `127.0.0.1:8001` is already used at address
line 5 column 39: vms: expected a string, found a number
line 6 column 10: log: `loud` is not a level: `error`, `warn`, `info`, `debug` or `trace`
line 6 column 18: port: unknown field; expected one of vm, region, centre, address, peer, table, objects, vms, statsd, log";
    assert_eq!(from_str(&text).unwrap_err().to_string(), expected);
}
