//! Signals to a node that has not read its settings yet.

use crate::edge::{self, Settings};
use crate::process::{wait_for, Process};
use rustix::fs::{mkfifoat, open, Mode, OFlags, CWD};
use rustix::process::Signal;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;

/// A settings file that is a named pipe: the node waits for each read of it to be answered.
struct SettingsPipe(PathBuf);

impl SettingsPipe {
    fn new(name: &str) -> Self {
        let name = format!("dogwoodlb-{name}-{}.json", std::process::id());
        let settings = Self(std::env::temp_dir().join(name));
        settings.create();
        settings
    }

    fn create(&self) {
        mkfifoat(CWD, &self.0, Mode::RUSR | Mode::WUSR).unwrap();
    }

    /// Waits until the node reads its settings. The node then waits for them.
    fn wait_for_reader(&self, node: &mut Process) -> File {
        let pipe = wait_for("a node that reads its settings", || {
            assert!(node.is_running(), "the node has ended");
            // Fails while the pipe has no reader.
            let pipe = open(&self.0, OFlags::WRONLY | OFlags::NONBLOCK, Mode::empty());
            pipe.ok()
        });
        // The next read opens another pipe, because it must not end with the bytes of this one.
        std::fs::remove_file(&self.0).unwrap();
        self.create();
        pipe.into()
    }
}

impl Drop for SettingsPipe {
    fn drop(&mut self) {
        // A file in the system's temporary directory does no harm.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Guards against a node that is killed by a request to stop in the moment of its start.
#[test]
fn early_stop() {
    let settings = SettingsPipe::new("early-stop");
    let mut node = edge::start(&settings.0);
    let mut pipe = settings.wait_for_reader(&mut node);
    node.signal(Signal::TERM);
    // Fails if the signal has killed the node; the exit status then tells so.
    let _ = pipe.write_all(Settings::new().text.as_bytes());
    drop(pipe);
    let exit = node.wait();
    assert!(exit.status.success(), "{exit}");
}

/// Guards against a node that is killed by a change of its settings in the moment of its start, and
/// against a change that it forgets.
#[test]
fn early_reload() {
    let settings = SettingsPipe::new("early-reload");
    let text = Settings::new().text;
    let mut node = edge::start(&settings.0);
    let mut pipe = settings.wait_for_reader(&mut node);
    node.signal(Signal::HUP);
    // Fails if the signal has killed the node, which the next wait reports.
    let _ = pipe.write_all(text.as_bytes());
    drop(pipe);
    let mut pipe = settings.wait_for_reader(&mut node);
    pipe.write_all(text.as_bytes()).unwrap();
    drop(pipe);
    node.signal(Signal::TERM);
    let exit = node.wait();
    assert!(exit.status.success(), "{exit}");
    assert!(exit.stdout.contains("settings_reloaded"), "{exit}");
}
