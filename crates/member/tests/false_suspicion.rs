//! A live VM must not stay suspected, and a paused node must not suspect its peers because of its
//! own pause.

#[expect(dead_code, reason = "each test file uses a part of the cluster")]
#[path = "support/cluster.rs"]
mod cluster;

use cluster::{vm, Cluster, NodeStatus};
use dogwoodlb_member::{Action, Category};
use dogwoodlb_types::id;
use dogwoodlb_wire::{Answer, Frame, Header, State, Status, Update, Vote};
use rstest::rstest;

fn ping(from: usize, incarnation: id::Incarnation, update: Update) -> Frame {
    let (vm, status, updates) = (vm(from), Status::default(), vec![update]);
    Frame::Ping(Header {
        vm,
        incarnation,
        sequence: 1,
        status,
        updates,
    })
}

/// Delivers an update about one node to another; the response is dropped.
fn send_update(cluster: &mut Cluster, to: usize, about: usize, state: State) {
    let incarnation = cluster.nodes[about].incarnation();
    let update = Update {
        vm: vm(about),
        state,
        incarnation,
    };
    let frame = ping(4, cluster.nodes[4].incarnation(), update);
    cluster.call(to, |node, now, rng| {
        node.on_frame(&frame, now, &Status::default(), rng).unwrap();
        Vec::new()
    });
}

/// A false update about a live node must be refuted within 5 s.
#[rstest]
#[case(State::Suspect)]
#[case(State::Dead)]
#[case(State::Leaving)]
fn refuted_update(#[case] state: State) {
    let mut cluster = Cluster::new(11, 1);
    let incarnation = cluster.nodes[0].incarnation();
    for observer in 1..4 {
        send_update(&mut cluster, observer, 0, state);
        assert_eq!(cluster.nodes[observer].state(&vm(0)), Some(state));
    }
    cluster.advance(5_000);
    assert!(cluster.nodes[0].incarnation() > incarnation);
    assert!(cluster.is_converged());
    let mut states = cluster.nodes.iter().map(|node| node.state(&vm(0)));
    assert!(states.all(|state| state == Some(State::Alive)));
}

/// A broken path between two VMs must not lead to a suspicion, because other nodes reach both.
#[test]
fn blocked_pair() {
    let mut cluster = Cluster::new(11, 3);
    let incarnations = cluster.nodes.iter().map(|node| node.incarnation());
    let before: Vec<id::Incarnation> = incarnations.collect();
    cluster.blocked_pair = [0, 1];
    cluster.advance(60_000);
    let incarnations = cluster.nodes.iter().map(|node| node.incarnation());
    assert!(before.into_iter().eq(incarnations), "a node was suspected");
}

/// Every response to a peer that is considered dead must say so, even long after the update has
/// been disseminated; otherwise the peer could not refute it.
#[test]
fn update_about_sender() {
    let mut cluster = Cluster::new(11, 4);
    cluster.status[3] = NodeStatus::Down;
    cluster.advance(60_000);
    let (vm, incarnation) = (vm(3), cluster.nodes[3].incarnation());
    let update = Update {
        vm,
        state: State::Alive,
        incarnation,
    };
    let dead = Update {
        state: State::Dead,
        ..update.clone()
    };
    for _ in 0..20 {
        cluster.call(0, |node, now, rng| {
            let frame = ping(3, incarnation, update.clone());
            let actions = node.on_frame(&frame, now, &Status::default(), rng);
            let Some(Action::Send { frame, .. }) = &actions.unwrap().pop() else {
                panic!("no answer");
            };
            assert!(frame.header().unwrap().updates.contains(&dead));
            Vec::new()
        });
    }
}

/// A node that was paused during a suspicion must not declare the peer dead right after resuming.
#[test]
fn paused_observer() {
    let mut cluster = Cluster::new(11, 2);
    cluster.side[1] = 1;
    send_update(&mut cluster, 1, 0, State::Suspect);
    cluster.status[1] = NodeStatus::PausedUntil(cluster.now_ms + 30_000);
    cluster.advance(30_200);
    assert_eq!(cluster.nodes[1].state(&vm(0)), Some(State::Suspect));
    cluster.advance(5_000);
    assert_eq!(cluster.nodes[1].state(&vm(0)), Some(State::Dead));
}

/// A node with poor local health must take longer to declare others dead.
#[test]
fn local_health() {
    let detection_time = |false_suspicions| {
        let mut cluster = Cluster::new(11, 5);
        cluster.side[0] = 1;
        for _ in 0..false_suspicions {
            send_update(&mut cluster, 0, 0, State::Suspect);
        }
        cluster.advance_until(60_000, |cluster| cluster.nodes[0].live().len() < 11)
    };
    let (healthy, degraded) = (detection_time(0), detection_time(3));
    assert!(degraded > healthy * 3 / 2, "{healthy} ms and {degraded} ms");
}

/// A rejected frame must change nothing, and a corrupt incarnation must neither declare a node
/// dead nor overflow.
#[test]
fn rejected_frames() {
    let mut cluster = Cluster::new(11, 6);
    let (valid, corrupt) = (id::Incarnation(1), id::Incarnation(u64::MAX));
    let update = |vm, incarnation| Update {
        vm,
        state: State::Dead,
        incarnation,
    };
    let about = update(vm(1), id::Incarnation(1 << 50));
    let (operation, vote) = (id::Operation(1), Vote::Promised);
    let cases = [
        (
            ping(99, valid, about.clone()),
            Some(Category::UnknownSender),
        ),
        (ping(0, valid, about.clone()), Some(Category::UnknownSender)),
        (ping(1, corrupt, about), Some(Category::InvalidIncarnation)),
        (
            Frame::Answer(Answer { operation, vote }),
            Some(Category::UnexpectedFrame),
        ),
        (ping(2, valid, update(vm(0), corrupt)), None),
        (ping(2, valid, update(vm(1), corrupt)), None),
    ];
    for (frame, expected) in cases {
        cluster.call(0, |node, now, rng| {
            let result = node.on_frame(&frame, now, &Status::default(), rng);
            assert_eq!(result.err().map(|error| error.classify()), expected);
            Vec::new()
        });
        assert!(cluster.is_converged(), "{frame:?}");
    }
}
