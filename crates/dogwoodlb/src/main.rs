//! The dogwoodlb daemon.
fn main() {}
