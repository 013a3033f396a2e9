//! Benchmarks the membership against the number of nodes; docs/CAPACITY.md uses the slopes.

use criterion::{BenchmarkId, Criterion};
use dogwoodlb_external::vms;
use dogwoodlb_member::{Action, Membership, Peer};
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{Frame, Status};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::hint::black_box;
use std::time::Duration;

const NODES: [usize; 4] = [11, 40, 160, 320];

fn node(index: usize, count: usize, rng: &mut SmallRng) -> Membership {
    let vm = |index: usize| -> id::Vm { format!("entry-{index:04}").parse().unwrap() };
    let peer = |index: usize| Peer {
        vm: vm(index),
        address: ([127, 0, 0, 1], 10_000 + index as u16).into(),
    };
    let peers: Vec<Peer> = (0..count).map(peer).collect();
    let mut members = Membership::new(vm(index), id::Incarnation(1_700_000_000_000), rng);
    members.set_peers(&peers, rng).unwrap();
    let listed = peers.iter().map(|peer| vms::Vm {
        name: peer.vm.clone(),
        state: vms::State::Live,
    });
    members.on_vm_list(&listed.collect::<Vec<_>>());
    members
}

/// Acknowledges the node's pings as healthy peers would, so that no peer is suspected.
fn acknowledge(members: &mut Membership, actions: Vec<Action>, now: Instant, rng: &mut SmallRng) {
    for action in actions {
        if let Action::Send {
            to,
            frame: Frame::Ping(mut header),
        } = action
        {
            header.vm = format!("entry-{:04}", to.port() - 10_000).parse().unwrap();
            header.updates.clear();
            let ack = Frame::Ack(header);
            let _ = members.on_frame(&ack, now, &Status::default(), rng);
        }
    }
}

fn membership(c: &mut Criterion) {
    let mut group = c.benchmark_group("member");
    let mut rng = SmallRng::seed_from_u64(1);
    let status = Status::default();
    for count in NODES {
        let mut members = node(0, count, &mut rng);
        let mut now = Instant::from_millis(0);
        // One 50 ms tick, including the acknowledgement of the frames sent.
        group.bench_function(BenchmarkId::new("tick", count), |b| {
            b.iter(|| {
                now = now + Duration::from_millis(50);
                let actions = members.tick(now, &status, &mut rng);
                acknowledge(&mut members, actions, now, &mut rng);
            });
        });
        let mut other = node(1, count, &mut rng);
        let sent = other.tick(Instant::from_millis(0), &status, &mut rng);
        let ping = sent.into_iter().find_map(|action| match action {
            Action::Send { frame, .. } => Some(frame),
            Action::Changed { .. } => None,
        });
        let ping = ping.unwrap();
        group.bench_function(BenchmarkId::new("frame", count), |b| {
            b.iter(|| {
                let frame = black_box(&ping);
                members.on_frame(frame, now, &status, &mut rng).unwrap()
            });
        });
        // The list has seven VMs per node: entry VMs and those of upstreams.
        let listed: Vec<vms::Vm> = (0..7 * count)
            .map(|index| vms::Vm {
                name: format!("entry-{index:04}").parse().unwrap(),
                state: vms::State::Live,
            })
            .collect();
        group.bench_function(BenchmarkId::new("on_vms", count), |b| {
            b.iter(|| members.on_vm_list(black_box(&listed)));
        });
        group.bench_function(BenchmarkId::new("live", count), |b| {
            b.iter(|| black_box(&members).live());
        });
    }
}

fn main() {
    let mut c = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(300))
        .configure_from_args();
    membership(&mut c);
    c.final_summary();
}
