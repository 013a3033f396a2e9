//! The command `edge`: a node on the platform.

use crate::args::Edge;
use crate::error::{Error, Inner};
use crate::logs;
use dogwoodlb_client::{Client, Settings};
use dogwoodlb_edge::{settings, Command, Dependencies, Node};
use dogwoodlb_platform::{PlatformProtocol, StoreClient};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// The variable that names the settings file.
const SETTINGS: &str = "DOGWOODLB_SETTINGS";

/// A call to the store that takes longer has failed.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Runs a node until a signal to stop.
pub(crate) fn run(args: &Edge) -> Result<ExitCode, Error> {
    let path = args
        .settings
        .clone()
        .or_else(|| std::env::var_os(SETTINGS).map(PathBuf::from))
        .ok_or(Inner::NoSettings)?;
    if args.check {
        return check(&path);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Inner::Runtime)?;
    // Until its handler is installed, a signal ends the process, so nothing that takes time comes
    // first. Signals that arrive before the node runs are obeyed once it does.
    let signals = {
        let _context = runtime.enter();
        Signals::new()?
    };
    let settings = read(&path)?;
    let _written = logs::start_bounded(&settings.log);
    let tasks = LocalSet::new();
    let outcome = tasks.block_on(&runtime, async {
        let (sender, commands) = mpsc::channel(1);
        let node = Node::start(dependencies(settings)).await?;
        tokio::task::spawn_local(signals.pass_on(path, sender));
        node.run(commands).await.map_err(Inner::EdgeEnded)?;
        Ok(ExitCode::SUCCESS)
    });
    // Closes the ports before the last lines of the log are written, which may take a while. Callers
    // would wait until then.
    drop(tasks);
    outcome
}

fn dependencies(settings: settings::Settings) -> Dependencies {
    let store = StoreClient::new(
        Client::new(Settings::default()),
        settings.store,
        STORE_TIMEOUT,
    );
    Dependencies {
        settings,
        protocol: Rc::new(PlatformProtocol::default()),
        store: Rc::new(store),
        client: Client::new(Settings::default()),
    }
}

fn check(path: &Path) -> Result<ExitCode, Error> {
    read(path)?;
    println!("the settings at {} are valid", path.display());
    Ok(ExitCode::SUCCESS)
}

/// The signals that a node obeys.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within the context of a runtime.
    fn new() -> Result<Self, Error> {
        let signal = |kind| signal(kind).map_err(Inner::Signal);
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Turns signals into commands until one says stop.
    async fn pass_on(mut self, path: PathBuf, commands: mpsc::Sender<Command>) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.hangup.recv() => {}
            }
            match read(&path) {
                Ok(settings) => {
                    // Fails only if the node has ended.
                    let _ = commands.send(Command::Reload(Box::new(settings))).await;
                }
                Err(error) => tracing::error!(%error, outcome = "kept", "settings_reloaded"),
            }
        }
        let _ = commands.send(Command::Stop).await;
    }
}

fn read(path: &Path) -> Result<settings::Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(|cause| Inner::Read {
        path: path.to_owned(),
        cause,
    })?;
    let settings = settings::from_str(&text).map_err(|cause| Inner::EdgeSettings {
        path: path.to_owned(),
        cause,
    })?;
    Ok(settings)
}
