//! The processes of the example and what a process reads about itself.

use crate::Result;
use std::collections::BTreeMap;
use std::fs::read_to_string;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Clock ticks per second in /proc/self/stat on Linux.
const TICKS_PER_S: f64 = 100.0;

/// A process of this example; it ends when its standard input is closed.
pub(crate) struct Helper {
    child: Child,
    stdin: Option<ChildStdin>,
    stdout: BufReader<ChildStdout>,
}

impl Helper {
    pub(crate) fn start(args: &[String]) -> Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdin = child.stdin.take();
        let stdout = child.stdout.take().ok_or("no standard output")?;
        Ok(Self {
            child,
            stdin,
            stdout: BufReader::new(stdout),
        })
    }

    pub(crate) fn ask(&mut self) -> Result<String> {
        if let Some(stdin) = &mut self.stdin {
            stdin.write_all(b"\n")?;
        }
        self.line()
    }

    pub(crate) fn line(&mut self) -> Result<String> {
        let mut line = String::new();
        self.stdout.read_line(&mut line)?;
        Ok(line.trim().to_owned())
    }
}

impl Drop for Helper {
    fn drop(&mut self) {
        drop(self.stdin.take());
        let _ = self.child.wait();
    }
}

/// Answers each line of the standard input until it is closed.
pub(crate) fn answer_input(answer: impl Fn() -> String) -> Result<()> {
    for line in std::io::stdin().lines() {
        line?;
        println!("{}", answer());
    }
    Ok(())
}

pub(crate) fn threads() -> Result<f64> {
    let status = read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("Threads:"));
    let count = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(count.ok_or("no count of threads")?.parse()?)
}

/// Returns the name and the seconds of processor time that a line of `stat` tells.
fn parse_stat(stat: &str) -> Result<(String, f64)> {
    let (start, rest) = stat.rsplit_once(')').ok_or("a malformed stat")?;
    let name = start.split_once('(').map_or("", |(_, name)| name);
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    let both = ticks(11).zip(ticks(12)).ok_or("no processor time")?;
    Ok((name.to_owned(), (both.0 + both.1) / TICKS_PER_S))
}

/// Returns the processor time of this process in seconds.
pub(crate) fn processor() -> Result<f64> {
    Ok(parse_stat(&read_to_string("/proc/self/stat")?)?.1)
}

/// Returns the processor time of the running threads of this process by their names.
pub(crate) fn processor_by_name() -> Result<BTreeMap<String, f64>> {
    let mut times = BTreeMap::new();
    for task in std::fs::read_dir("/proc/self/task")? {
        // A thread that has ended meanwhile has no file any more.
        let Ok(stat) = read_to_string(task?.path().join("stat")) else {
            continue;
        };
        let (name, seconds) = parse_stat(&stat)?;
        *times.entry(name).or_default() += seconds;
    }
    Ok(times)
}
