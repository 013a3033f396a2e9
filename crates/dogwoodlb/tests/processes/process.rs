//! Child processes that end with their test.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Far beyond what a busy machine needs; it decides nothing but when to give up.
pub(crate) const PATIENCE: Duration = Duration::from_secs(90);

pub(crate) const POLL: Duration = Duration::from_millis(20);

/// A child process; it is killed when the test ends.
pub(crate) struct Process {
    child: Child,
    /// The output, unless it goes elsewhere.
    output: Option<BufReader<ChildStdout>>,
}

impl Process {
    pub(crate) fn start(program: PathBuf, args: &[String]) -> Self {
        Self::start_with_output(program, args, Stdio::piped())
    }

    /// Starts a process whose output goes to `output`.
    pub(crate) fn start_with_output(
        program: PathBuf,
        args: &[String],
        output: impl Into<Stdio>,
    ) -> Self {
        let mut child = Command::new(&program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {}: {error}", program.display()));
        let output = child.stdout.take().map(BufReader::new);
        Self { child, output }
    }

    /// Starts a server and reads the address that it announces.
    pub(crate) fn server(program: PathBuf, args: &[String]) -> (Self, SocketAddr) {
        let mut process = Self::start(program, args);
        let mut line = String::new();
        let output = process.output.as_mut().unwrap();
        output.read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ");
        let address = address.unwrap_or_else(|| panic!("{args:?} said {line:?}"));
        (process, address.parse().unwrap())
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Returns whether the process has not ended yet.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the end of the process and returns its status and the rest of its output.
    pub(crate) fn wait(mut self) -> (ExitStatus, String) {
        let mut output = String::new();
        if let Some(reader) = &mut self.output {
            reader.read_to_string(&mut output).unwrap();
        }
        let status = self.child.wait().unwrap();
        (status, output)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition holds.
pub(crate) fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < end, "gave up waiting: {what}");
        std::thread::park_timeout(POLL);
    }
}

/// Returns the path of a binary of this package.
pub(crate) fn binary(name: &str) -> PathBuf {
    match name {
        "dogwoodctl" => env!("CARGO_BIN_EXE_dogwoodctl").into(),
        _ => env!("CARGO_BIN_EXE_dogwoodlb").into(),
    }
}

/// Returns the path of the example that runs stand-ins; `cargo test` builds it beside the
/// binaries.
pub(crate) fn standin() -> PathBuf {
    let binary = binary("dogwoodlb");
    binary.with_file_name("examples").join("standin")
}
