//! The operators' command line of dogwoodlb.

fn main() -> std::process::ExitCode {
    dogwoodlb_ctl::main()
}
