//! The bytes of messages, as the real codecs and clients send them.

use crate::generated::{self, HALF, TARGET, TODAY};
use crate::{Report, Result};
use dogwoodlb_adapter::{EngineClient, TableClient, VmListClient};
use dogwoodlb_external::table::Txn;
use dogwoodlb_external::vms::{State, Vm};
use dogwoodlb_external::{Engine as _, Table as _, VmList as _};
use dogwoodlb_standin::{engine, table, vms};
use dogwoodlb_types::id;
use dogwoodlb_wire::{to_vec, to_writer, Frame, Proposal};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);
/// The headers of IPv4 and UDP.
const DATAGRAM_OVERHEAD: usize = 28;

/// Counts the bytes of one TCP exchange in each direction, headers of IP and TCP excluded.
struct Relay {
    address: SocketAddr,
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl Relay {
    fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Self {
            address: listener.local_addr()?,
            sent: Arc::default(),
            received: Arc::default(),
        };
        let (sent, received) = (relay.sent.clone(), relay.received.clone());
        thread::spawn(move || {
            while let Ok((client, _)) = listener.accept() {
                let Ok(server) = TcpStream::connect(target) else {
                    return;
                };
                let pairs = (client.try_clone(), server.try_clone());
                if let (Ok(from), Ok(to)) = pairs {
                    let (sent, received) = (sent.clone(), received.clone());
                    thread::spawn(move || copy(from, server, &sent));
                    thread::spawn(move || copy(to, client, &received));
                }
            }
        });
        Ok(relay)
    }

    fn take(&self) -> (f64, f64) {
        let take = |count: &AtomicU64| count.swap(0, Ordering::SeqCst) as f64;
        (take(&self.sent), take(&self.received))
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        // Counted first, so that the client can't see bytes that aren't counted yet.
        count.fetch_add(length as u64, Ordering::SeqCst);
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

pub(crate) fn run(report: &mut Report) -> Result<()> {
    frames(report)?;
    manifests(report)?;
    calls(report)
}

fn frames(report: &mut Report) -> Result<()> {
    let ask = Frame::Query {
        vm: "entry-0001".parse()?,
        sequence: 1_000_000,
    };
    let answer = Frame::Report(dogwoodlb_wire::Report {
        vm: "entry-0001".parse()?,
        sequence: 1_000_000,
        revision: id::Revision(100_000),
        operation: Some(id::Operation(u128::MAX / 2)),
        pending: Vec::new(),
        settled: true,
    });
    let bytes = |frame| -> Result<f64> { Ok((to_vec(frame)?.len() + DATAGRAM_OVERHEAD) as f64) };
    report.add("bytes.ask", bytes(&ask)?);
    report.add("bytes.report", bytes(&answer)?);
    Ok(())
}

fn manifests(report: &mut Report) -> Result<()> {
    for (name, size) in [("today", TODAY), ("half", HALF), ("target", TARGET)] {
        let text = generated::text(size, 0);
        report.add(format!("bytes.manifest.{name}"), text.len() as f64);
        let proposal = Frame::Propose(Proposal {
            operation: id::Operation(1),
            operator: "ana".parse()?,
            base: id::Revision(1),
            row_version: 1,
            text,
        });
        let mut bytes = Vec::new();
        to_writer(&mut bytes, &proposal)?;
        report.add(format!("bytes.propose.{name}"), bytes.len() as f64);
    }
    Ok(())
}

fn calls(report: &mut Report) -> Result<()> {
    let config = engine::Config {
        models: vec![("model-01".parse()?, id::Version(1))],
        ..engine::Config::default()
    };
    let listener = || TcpListener::bind("127.0.0.1:0");
    let engines = engine::Engine::start(listener()?, config)?;
    let relay = Relay::start(engines.address())?;
    let client = EngineClient::new();
    // The first call opens the connection; the second shows what each further one costs.
    for _ in 0..2 {
        relay.take();
        client.read_load(relay.address, TIMEOUT)?;
    }
    add(report, "bytes.load_read", &relay);
    client.read_weights(relay.address, TIMEOUT)?;
    add(report, "bytes.weights_read", &relay);

    let tables = table::Table::start(listener()?)?;
    let relay = Relay::start(tables.address())?;
    let client = TableClient::new(relay.address);
    let value = "{\"revision\":100000,\"operation\":\"0123456789abcdef0123456789abcdef\",\"operator\":\"ana\"}";
    let put = Txn::new().put("manifest/current", value);
    for _ in 0..2 {
        relay.take();
        client.commit(&put, TIMEOUT)?;
    }
    add(report, "bytes.pointer_commit", &relay);
    client.read("manifest/current", TIMEOUT)?;
    add(report, "bytes.pointer_read", &relay);
    lists(report)
}

fn lists(report: &mut Report) -> Result<()> {
    for (name, size) in [("today", TODAY), ("target", TARGET)] {
        let vm = |kind: &str, index: usize| -> Result<Vm> {
            Ok(Vm {
                name: format!("{kind}-{index:04}").parse()?,
                state: State::Live,
            })
        };
        let entries = (0..size.nodes).map(|index| vm("entry", index));
        let engines = (0..size.engines).map(|index| vm("gpu", index));
        let services = (0..size.service_replicas).map(|index| vm("app", index));
        let all = entries.chain(engines).chain(services);
        let all: Vec<Vm> = all.collect::<Result<_>>()?;
        let list = vms::Vms::start(TcpListener::bind("127.0.0.1:0")?, &all)?;
        let relay = Relay::start(list.address())?;
        VmListClient::new(relay.address).list(TIMEOUT)?;
        add(report, &format!("bytes.vms_read.{name}"), &relay);
    }
    Ok(())
}

fn add(report: &mut Report, name: &str, relay: &Relay) {
    let (sent, received) = relay.take();
    report.add(format!("{name}.sent"), sent);
    report.add(format!("{name}.received"), received);
}
