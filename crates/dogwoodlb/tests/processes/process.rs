//! Child processes that end with their test.

use crate::capture::Capture;
use rustix::process::{kill_process, Pid, Signal};
use std::fmt;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Far beyond what a busy machine needs; it decides nothing but when to give up.
pub(crate) const PATIENCE: Duration = Duration::from_secs(90);

pub(crate) const POLL: Duration = Duration::from_millis(20);

/// How much of each stream of a process is printed when its test fails.
const MAX_PRINTED_BYTES: usize = 8 * 1024;

/// A child process; it is killed when the test ends, and if the test fails its state and the end
/// of its output are printed.
pub(crate) struct Process {
    command: String,
    child: Child,
    /// The output, unless it goes elsewhere.
    stdout: Option<Capture>,
    stderr: Capture,
}

/// How a process ended, and its whole output.
#[derive(Debug)]
pub(crate) struct Exit {
    pub(crate) status: ExitStatus,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.status)?;
        writeln!(f, "stdout: {}", tail(&self.stdout))?;
        write!(f, "stderr: {}", tail(&self.stderr))
    }
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
        let mut child = spawn(&program, args, output);
        let stdout = child.stdout.take().map(Capture::start);
        Self::new(&program, args, child, stdout)
    }

    /// Starts a server and reads the address that it announces.
    pub(crate) fn server(program: PathBuf, args: &[String]) -> (Self, SocketAddr) {
        let mut child = spawn(&program, args, Stdio::piped());
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        stdout.read_line(&mut line).unwrap();
        let process = Self::new(&program, args, child, Some(Capture::start(stdout)));
        let address = line.trim().strip_prefix("listening ");
        let address = address.unwrap_or_else(|| panic!("{args:?} said {line:?}"));
        (process, address.parse().unwrap())
    }

    fn new(
        program: &std::path::Path,
        args: &[String],
        mut child: Child,
        stdout: Option<Capture>,
    ) -> Self {
        let name = program.file_name().unwrap_or_default().to_string_lossy();
        Self {
            command: format!("{name} {}", args.join(" ")),
            stderr: Capture::start(child.stderr.take().unwrap()),
            stdout,
            child,
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Returns whether the process has not ended yet.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the end of the process.
    pub(crate) fn wait(mut self) -> Exit {
        self.end()
    }

    fn end(&mut self) -> Exit {
        let status = self.child.wait().unwrap();
        Exit {
            status,
            stdout: self
                .stdout
                .as_mut()
                .map(Capture::finish)
                .unwrap_or_default(),
            stderr: self.stderr.finish(),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let ran = matches!(self.child.try_wait(), Ok(None));
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let exit = self.end();
        if std::thread::panicking() {
            let state = if ran { "ran until now" } else { "had ended" };
            eprintln!("--- {} ({state}): {exit}", self.command);
        }
    }
}

fn spawn(program: &std::path::Path, args: &[String], output: impl Into<Stdio>) -> Child {
    Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap_or_else(|error| panic!("cannot start {}: {error}", program.display()))
}

/// Returns the end of a text, from the start of a line.
fn tail(text: &str) -> &str {
    let Some(cut) = text.len().checked_sub(MAX_PRINTED_BYTES) else {
        return text;
    };
    let newline = text.bytes().skip(cut).position(|byte| byte == b'\n');
    newline.map_or(text, |offset| &text[cut + offset + 1..])
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
