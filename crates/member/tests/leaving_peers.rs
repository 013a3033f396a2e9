//! A leaving VM must be unlisted, a restarted one must rejoin, and an outdated VM list of the
//! platform must not revive a dead one.

#[expect(dead_code, reason = "each test file uses a part of the cluster")]
#[path = "support/cluster.rs"]
mod cluster;

use cluster::{peer, vm, Cluster, NodeStatus};
use dogwoodlb_external::vms;
use dogwoodlb_member::Membership;
use dogwoodlb_types::{id, Instant};
use dogwoodlb_wire::{State, Status};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// Upper bound set by promise P7 of docs/design.md.
const LEAVE_MS: u64 = 5_000;

fn list(state: vms::State) -> [vms::Vm; 1] {
    [vms::Vm { name: vm(3), state }]
}

/// A node that announces its leave must be unlisted in time and stay so, although it still
/// acknowledges probes.
#[test]
fn leaving_node_stays_unlisted() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(11, seed);
        cluster.loss = 0.2;
        cluster.call(3, |node, _, rng| {
            node.announce_leaving(&Status::default(), rng)
        });
        cluster.advance_until(LEAVE_MS, |cluster| !cluster.is_listed(3));
        for _ in 0..60 {
            cluster.advance(1_000);
            assert!(!cluster.is_listed(3), "seed {seed}: listed while draining");
        }
    }
}

/// After a simultaneous start of all nodes, the updates about every member must not delay the
/// announcement.
#[test]
fn large_cluster() {
    let mut cluster = Cluster::new(320, 1);
    cluster.loss = 0.2;
    cluster.call(3, |node, _, rng| {
        node.announce_leaving(&Status::default(), rng)
    });
    let unlisted_after = cluster.advance_until(LEAVE_MS, |cluster| !cluster.is_listed(3));
    println!("320 nodes, 20% loss: a leaving one is unlisted after {unlisted_after} ms");
}

/// A node that announces its stop must be declared dead without a suspicion timeout, and must be
/// able to rejoin.
#[test]
fn stopped_node_rejoins() {
    let mut cluster = Cluster::new(11, 1);
    cluster.call(3, |node, _, rng| {
        node.announce_stopped(&Status::default(), rng)
    });
    cluster.status[3] = NodeStatus::Down;
    cluster.advance(2_000);
    for index in cluster.running() {
        assert_eq!(cluster.nodes[index].state(&vm(3)), Some(State::Dead));
    }
    cluster.restart(3);
    cluster.advance_until(10_000, Cluster::is_converged);
}

/// The platform still lists a crashed VM, which must not revive it. The VM then restarts with a
/// wall clock that was set back, and thus with a lower incarnation, and must still rejoin.
#[test]
fn crashed_node_rejoins() {
    let mut cluster = Cluster::new(11, 3);
    cluster.status[3] = NodeStatus::Down;
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

/// A restarted VM without a platform list must not depend on a ping from each peer.
#[test]
fn joining_node() {
    let mut cluster = Cluster::new(60, 2);
    cluster.advance(20_000);
    cluster.restart(3);
    let joined_after = cluster.advance_until(15_000, |cluster| cluster.nodes[3].live().len() == 60);
    println!("60 nodes: a restarted one knows all after {joined_after} ms");
}

/// A VM listed as leaving must stay hidden until the list shows it as live again.
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

/// The list marks an unknown peer as alive once; a peer declared dead after that stays dead until
/// it is heard from.
#[test]
fn assumed_alive_peer() {
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

/// A new peer list must replace addresses and drop peers; a list that is too long must change
/// nothing.
#[test]
fn changed_peer_list() {
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
