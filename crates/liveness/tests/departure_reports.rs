//! Guards against heartbeats that nodes of another version can't decode, that do not fit into a
//! datagram, or that grow with the number of replicas.

use dogwoodlb_liveness::{
    Departure, Heartbeat, Message, Outbox, Quota, MAX_DEPARTURES, MAX_MESSAGE_BYTES,
};
use dogwoodlb_types::Instant;
use std::time::Duration;

/// The maximum length of the name of a node, a region or a data centre, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The maximum length of the id of a replica, in bytes.
const MAX_REPLICA_BYTES: usize = 200;
const INTERVAL: Duration = Duration::from_millis(250);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn heartbeat() -> Heartbeat {
    let address = "10.0.0.1:7700".parse().unwrap();
    Heartbeat::new("edge-1", address, address)
}

fn departure(replica: &str) -> Departure {
    Departure {
        replica: replica.to_owned(),
        born_ms: 1_764_900_000_000,
        age_ms: 1_999,
    }
}

fn message(departures: Vec<Departure>) -> Message {
    Message {
        heartbeat: heartbeat(),
        departures,
    }
}

#[test]
fn round_trip() {
    for count in 0..=MAX_DEPARTURES {
        let message = message(vec![departure("portal-1"); count]);
        assert_eq!(Message::decode(&message.encode().unwrap()), Ok(message));
    }
}

/// Guards against a rolling update in which the nodes of the former version, which know the
/// heartbeat alone, take the others for dead.
#[test]
fn former_version_reads() {
    let bytes = message(vec![departure("portal-1")]).encode().unwrap();
    assert_eq!(postcard::from_bytes(&bytes), Ok(heartbeat()));
    let without = message(Vec::new()).encode().unwrap();
    assert_eq!(without, postcard::to_stdvec(&heartbeat()).unwrap());
}

/// Guards against the same with the versions exchanged.
#[test]
fn former_version_sends() {
    let bytes = postcard::to_stdvec(&heartbeat()).unwrap();
    assert_eq!(Message::decode(&bytes), Ok(message(Vec::new())));
}

#[test]
fn longest_names() {
    let mut heartbeat = heartbeat();
    let name = "n".repeat(MAX_NAME_BYTES);
    heartbeat.node.clone_from(&name);
    heartbeat.region.clone_from(&name);
    heartbeat.centre.clone_from(&name);
    heartbeat.peer = "[ffff::1]:65535".parse().unwrap();
    heartbeat.front = heartbeat.peer;
    (heartbeat.boot, heartbeat.sequence) = (u64::MAX, u64::MAX);
    (heartbeat.interval_ms, heartbeat.cpu_millis) = (u64::MAX, u32::MAX);
    let longest = Departure {
        replica: "r".repeat(MAX_REPLICA_BYTES),
        born_ms: i64::MIN,
        age_ms: u64::MAX,
    };
    let message = Message {
        heartbeat,
        departures: vec![longest; MAX_DEPARTURES],
    };
    let bytes = message.encode().unwrap();
    assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
    assert_eq!(Message::decode(&bytes), Ok(message));
}

/// Guards against losing the heartbeat of a node because of what follows it.
#[test]
fn unreadable_departures() {
    let plain = message(Vec::new());
    let bytes = message(vec![departure("portal-1")]).encode().unwrap();
    for length in plain.encode().unwrap().len()..bytes.len() {
        assert_eq!(Message::decode(&bytes[..length]), Ok(plain.clone()));
    }
    let too_many = message(vec![departure("portal-1"); MAX_DEPARTURES + 1]);
    assert_eq!(Message::decode(&too_many.encode().unwrap()), Ok(plain));
}

#[test]
fn limited_time() {
    let mut outbox = Outbox::default();
    outbox.push("portal-1", 7, at(0));
    let sent = outbox.next_departures(at(1_900), INTERVAL);
    assert_eq!((sent[0].born_ms, sent[0].age_ms), (7, 1_900));
    assert!(outbox.next_departures(at(2_000), INTERVAL).is_empty());
    // With many nodes, heartbeats are further apart than that.
    outbox.push("portal-1", 7, at(3_000));
    assert_eq!(
        outbox
            .next_departures(at(12_000), Duration::from_secs(5))
            .len(),
        1
    );
}

#[test]
fn departures_take_turns() {
    let mut outbox = Outbox::default();
    for number in 0..1_000 {
        outbox.push(&number.to_string(), 1, at(0));
    }
    let mut sent = Vec::new();
    for _ in 0..4 {
        let departures = outbox.next_departures(at(10), INTERVAL);
        assert_eq!(departures.len(), MAX_DEPARTURES);
        sent.extend(departures.into_iter().map(|departure| departure.replica));
    }
    let newest: Vec<String> = (984..1_000).map(|number| number.to_string()).collect();
    assert_eq!(sent, newest);
}

/// Guards against a faulty node that fills the memory of the others.
#[test]
fn limited_belief() {
    let mut quota = Quota::default();
    let accepted = (0..1_000).filter(|_| quota.accept(at(0))).count();
    assert!((1..1_000).contains(&accepted));
    assert!(!quota.accept(at(59_999)));
    assert!(quota.accept(at(60_000)));
}
