//! Guards against a leaving VM that stays listed, a restarted one that stays out, and a
//! lagging platform list that revives a dead one.

#[expect(dead_code, reason = "each test file uses a part of the cluster")]
#[path = "support/cluster.rs"]
mod cluster;

use cluster::{peer, vm, Cluster, Run};
use dogwoodlb_external::vms;
use dogwoodlb_member::Membership;
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{State, Status};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// Promise P7 allows 5 s.
const LEAVE_MS: u64 = 5_000;

fn list(state: vms::State) -> [vms::Vm; 1] {
    [vms::Vm { name: vm(3), state }]
}

#[test]
fn announced_leave() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(11, seed);
        cluster.loss = 0.2;
        cluster.call(3, |node, _, rng| {
            node.announce_leaving(&Status::default(), rng)
        });
        cluster.advance_until(LEAVE_MS, |cluster| !cluster.is_listed(3));
        for _ in 0..60 {
            cluster.advance(1_000);
            assert!(!cluster.is_listed(3), "seed {seed}: listed while it drains");
        }
    }
}

/// After a start of all nodes, news about every member must not hold up the announcement.
#[test]
fn large_cluster() {
    let mut cluster = Cluster::new(320, 1);
    cluster.loss = 0.2;
    cluster.call(3, |node, _, rng| {
        node.announce_leaving(&Status::default(), rng)
    });
    let unlisted = cluster.advance_until(LEAVE_MS, |cluster| !cluster.is_listed(3));
    println!("320 nodes, 20% loss: a leaving one is unlisted after {unlisted} ms");
}

#[test]
fn departed_node() {
    let mut cluster = Cluster::new(11, 1);
    cluster.call(3, |node, _, rng| {
        node.announce_stopped(&Status::default(), rng)
    });
    cluster.run[3] = Run::Down;
    cluster.advance(2_000);
    for index in cluster.running() {
        assert_eq!(cluster.nodes[index].state(&vm(3)), Some(State::Dead));
    }
    cluster.restart(3);
    cluster.advance_until(10_000, Cluster::is_converged);
}

/// The platform's list still shows a crashed VM, which then restarts with a civil clock that
/// went back, and so with a lower incarnation than before.
#[test]
fn crashed_node() {
    let mut cluster = Cluster::new(11, 3);
    cluster.run[3] = Run::Down;
    cluster.advance(25_000);
    for _ in 0..30 {
        for index in cluster.running() {
            assert_eq!(cluster.nodes[index].on_vm_list(&list(vms::State::Live)), []);
        }
        assert!(!cluster.is_listed(3), "revived by the list");
        cluster.advance(1_000);
    }
    let now_ms = std::mem::replace(&mut cluster.now_ms, 1_000);
    cluster.restart(3);
    cluster.now_ms = now_ms;
    cluster.advance_until(15_000, Cluster::is_converged);
}

/// A restarted VM whose platform gives no list must not wait for each peer's own ping.
#[test]
fn joining_node() {
    let mut cluster = Cluster::new(60, 2);
    cluster.advance(20_000);
    cluster.restart(3);
    let joined = cluster.advance_until(15_000, |cluster| cluster.nodes[3].live().len() == 60);
    println!("60 nodes: a restarted one knows all after {joined} ms");
}

/// A VM that the list shows as leaving stays hidden until the list no longer does.
#[test]
fn listed_leaving() {
    let mut cluster = Cluster::new(11, 4);
    cluster.nodes[0].on_vm_list(&list(vms::State::Leaving));
    assert_eq!(cluster.nodes[0].live().len(), 10);
    cluster.advance(5_000);
    assert_eq!(cluster.nodes[0].live().len(), 10);
    cluster.nodes[0].on_vm_list(&list(vms::State::Live));
    assert!(cluster.is_converged());
}

/// The list makes a peer live once; its death by probing is final until it is heard of.
#[test]
fn seeded_peer() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut node = Membership::new(vm(0), id::Incarnation(5), &mut rng);
    node.set_peers(&[peer(3)], &mut rng).unwrap();
    assert_eq!(node.live(), [vm(0)]);
    assert_eq!(node.state(&vm(3)), None);
    assert_eq!(node.on_vm_list(&list(vms::State::Live)).len(), 1);
    assert_eq!(node.live(), [vm(0), vm(3)]);
    for step in 0..400 {
        let now = Instant::from_millis(step * 50);
        node.tick(now, &Status::default(), &mut rng);
        node.on_vm_list(&list(vms::State::Live));
    }
    assert_eq!(node.live(), [vm(0)]);
}

#[test]
fn changed_manifest() {
    let mut rng = SmallRng::seed_from_u64(1);
    let node = &mut Cluster::new(11, 5).nodes[0];
    let mut peers: Vec<_> = (0..5).map(peer).collect();
    peers[4].address = "10.0.0.1:1".parse().unwrap();
    node.set_peers(&peers, &mut rng).unwrap();
    assert!(node.set_peers(&vec![peer(1); 1_025], &mut rng).is_err());
    assert_eq!(node.live().len(), 5);
    assert_eq!(node.address(&vm(4)), Some(peers[4].address));
    assert_eq!(node.address(&vm(7)), None);
}
