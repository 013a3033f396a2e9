//! A real node with manifests up to the target's size, on loopback, without requests.
//!
//! The other entry VMs don't run: the list of VMs shows them as live, and the count ends before
//! more than a few of them are found to be dead. A further process holds all leases.

use crate::daemon;
use crate::generated::{self, Size, HALF, TARGET, TODAY};
use crate::memory::resident;
use crate::process::{answer_input, processor, processor_by_name, threads, Helper};
use crate::upstreams::{accept, serve};
use crate::{Report, Result};
use dogwoodlb_external::vms::{State, Vm};
use dogwoodlb_lease::{Action, Lease, LeaseName};
use dogwoodlb_standin::{objects, table, vms};
use dogwoodlb_types::{id, Instant};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The time for the first reads of everything, and the time over which is counted.
const WARM_UP: Duration = Duration::from_secs(3);
const COUNTED: Duration = Duration::from_secs(8);
const TICK: Duration = Duration::from_millis(50);

/// The sizes by the name that the helper process is given.
const SIZES: [(&str, Size); 3] = [("today", TODAY), ("half", HALF), ("target", TARGET)];

fn model(index: usize) -> Result<id::Model> {
    Ok(format!("model-{index:02}").parse()?)
}

/// Serves table, list of VMs and all engines, and holds all leases.
pub(crate) fn serve_upstreams(name: &str) -> Result<()> {
    let size = SIZES.iter().find(|(own, _)| *own == name);
    let (_, size) = size.ok_or("no such size")?;
    let listener = || TcpListener::bind("127.0.0.1:0");
    let table = Arc::new(table::Table::start(listener()?)?);
    let objects = objects::Objects::start(listener()?)?;
    let mut listed = Vec::new();
    let kinds = [
        ("entry", size.nodes),
        ("gpu", size.engines),
        ("app", size.service_replicas),
    ];
    for (kind, count) in kinds {
        for index in 0..count {
            listed.push(Vm {
                name: format!("{kind}-{index:04}").parse()?,
                state: State::Live,
            });
        }
    }
    let vms = vms::Vms::start(listener()?, &listed)?;
    let loads: Arc<AtomicU64> = Arc::default();
    let count = loads.clone();
    // One listener serves all engines: they differ in the address within 127.0.0.0/8.
    let engines = accept("0.0.0.0:0", move |stream| {
        let note = |line: &str| {
            if line.contains("/v1/load") {
                count.fetch_add(1, Ordering::SeqCst);
            }
        };
        serve(stream, &note).unwrap_or_default();
    })?;
    let mut leases = Vec::new();
    for index in 0..size.trainers {
        let trainer = format!("trainer-{index:02}").parse()?;
        leases.push(LeaseName::Trainer(trainer));
        leases.push(LeaseName::Model(model(index)?));
    }
    let held = table.clone();
    thread::spawn(move || hold(&held, leases).unwrap_or_default());
    let addresses = [table.address(), objects.address(), vms.address(), engines];
    let addresses = addresses.map(|address| address.to_string());
    println!("{}", addresses.join(" "));
    answer_input(|| loads.swap(0, Ordering::SeqCst).to_string())
}

fn hold(table: &table::Table, names: Vec<LeaseName>) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(1);
    let vm: id::Vm = "entry-0001".parse()?;
    let mut leases: Vec<Lease> = names
        .into_iter()
        .map(|name| Lease::new(name, vm.clone(), id::Incarnation(1), 0))
        .collect();
    let mut now = Instant::from_millis(0);
    loop {
        for lease in &mut leases {
            match lease.poll(now, &mut rng) {
                None => {}
                Some(Action::Read { request_id, prefix }) => {
                    lease.on_read(now, request_id, Ok(table.rows(&prefix)))?;
                }
                Some(Action::Commit { request_id, txn }) => {
                    lease.on_commit(now, request_id, Ok(table.commit(&txn)));
                }
            }
        }
        thread::sleep(TICK);
        now = now + TICK;
    }
}

pub(crate) fn run(report: &mut Report) -> Result<()> {
    SIZES
        .into_iter()
        .try_for_each(|(name, size)| measure(report, name, size))
}

fn measure(report: &mut Report, name: &str, size: Size) -> Result<()> {
    let mut upstreams = Helper::start(&["--serve".to_owned(), name.to_owned()])?;
    let line = upstreams.line()?;
    let addresses: Vec<SocketAddr> = line
        .split(' ')
        .map(str::parse)
        .collect::<std::result::Result<_, _>>()?;
    let port = addresses.last().ok_or("no address")?.port();
    thread::sleep(WARM_UP);
    let node = daemon::start("entry-0000", &addresses)?;
    let text = generated::text(size, 0)
        .replace("\"10.1.0.1:7001\"", &format!("\"{}\"", node.address()))
        .replace("10.2.", "127.2.")
        .replace("10.3.", "127.3.")
        .replace(":7001", &format!(":{port}"));
    let (status, answer) = daemon::post(node.address(), 0, text)?;
    if status != 200.0 {
        return Err(answer.into());
    }
    thread::sleep(WARM_UP);
    upstreams.ask()?;
    let names = processor_by_name()?;
    let (before, began) = (processor()?, std::time::Instant::now());
    thread::sleep(COUNTED);
    let seconds = began.elapsed().as_secs_f64();
    let used = (processor()? - before) / seconds;
    let loads: f64 = upstreams.ask()?.parse()?;
    report.add(format!("node.{name}.load_reads_per_s"), loads / seconds);
    report.add(format!("node.{name}.core_percent"), used * 100.0);
    for thread in [
        "adopt", "lease", "member", "owner", "receive", "swap", "watch", "worker",
    ] {
        let times = processor_by_name()?;
        let time = |times: &BTreeMap<String, f64>| times.get(thread).copied().unwrap_or_default();
        let share = (time(&times) - time(&names)) / seconds;
        report.add(format!("node.{name}.core_percent.{thread}"), share * 100.0);
    }
    report.add(format!("node.{name}.bytes"), resident()?);
    report.add(format!("node.{name}.threads"), threads()?);
    node.kill();
    // The node's threads end before the next node starts.
    thread::sleep(WARM_UP);
    Ok(())
}
