use crate::error::{Error, Inner};
use crate::logs;
use dogwoodlb_adapter::{
    EngineClient, ObjectStoreClient, ServiceClient, TableClient, VmListClient,
};
use dogwoodlb_manifest::settings::{self, Level, Settings};
use dogwoodlb_node::{Node, Platform, SystemClock};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SIGNAL_TICK: Duration = Duration::from_millis(50);

fn read(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(|cause| Inner::Read {
        path: path.to_owned(),
        cause,
    })?;
    settings::from_str(&text).map_err(|cause| {
        Inner::Settings {
            path: path.to_owned(),
            cause,
        }
        .into()
    })
}

/// Checks the settings.
pub(crate) fn check(path: &Path) -> Result<ExitCode, Error> {
    read(path)?;
    println!("the settings at {} are valid", path.display());
    Ok(ExitCode::SUCCESS)
}

/// Runs a node until a signal, then drains it.
pub(crate) fn run(path: &Path) -> Result<ExitCode, Error> {
    let settings = read(path)?;
    logs::start(settings.log.unwrap_or(Level::Info).as_str());
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(Inner::Signal)?;
    }
    let platform = platform(&settings);
    let node = Arc::new(Node::start(settings, platform, rand::random())?);
    println!("listening {}", node.address());
    // Whoever started the process may have closed its end.
    let _ = std::io::stdout().flush();
    let drained = node.clone();
    let watcher = thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(SIGNAL_TICK);
        }
        drained.drain();
    });
    let interrupted = node.join();
    drop(watcher);
    match interrupted {
        0 => Ok(ExitCode::SUCCESS),
        _ => {
            tracing::error!(interrupted, "requests_interrupted");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Returns the platform that the settings name.
pub(crate) fn platform(settings: &Settings) -> Platform {
    Platform {
        clock: Arc::new(SystemClock::new()),
        engine: Arc::new(EngineClient::new()),
        objects: Arc::new(ObjectStoreClient::new(settings.objects)),
        service: Arc::new(ServiceClient::new()),
        table: Arc::new(TableClient::new(settings.table)),
        vms: Arc::new(VmListClient::new(settings.vms)),
    }
}
