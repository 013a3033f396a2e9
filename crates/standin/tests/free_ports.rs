//! Tests of the ports that processes take for nodes.

use dogwoodlb_standin::free_address;
use std::collections::BTreeSet;
use std::process::Command;

/// Set in the process that is started by the test.
const CHILD: &str = "DOGWOODLB_PORTS_CHILD";
const MARK: &str = "port ";
const OWN_PORTS: usize = 50;
/// As many ports as the range has, so that a process that draws from all of it gets every one.
const DRAWS: usize = 12_000;

/// Two processes took the same port while the node that one of them had given it to was down: a
/// trainer that called a killed node reached a node of another test, and ended with its answer.
#[test]
fn other_process() {
    if std::env::var_os(CHILD).is_some() {
        for _ in 0..DRAWS {
            println!("{MARK}{}", free_address().port());
        }
        return;
    }
    let own: BTreeSet<u16> = (0..OWN_PORTS).map(|_| free_address().port()).collect();
    let output = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "other_process", "--nocapture"])
        .env(CHILD, "1")
        .output()
        .unwrap();
    let output = String::from_utf8(output.stdout).unwrap();
    let theirs = output.lines().filter_map(|line| line.strip_prefix(MARK));
    let theirs: BTreeSet<u16> = theirs.map(|port| port.parse().unwrap()).collect();
    assert!(theirs.len() > 1, "{output}");
    let shared: Vec<&u16> = own.intersection(&theirs).collect();
    assert!(shared.is_empty(), "{} ports: {shared:?}", shared.len());
}
