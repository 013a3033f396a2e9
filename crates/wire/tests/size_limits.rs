//! Guards against frames beyond the limits of their transport, whether actual or only declared.

use dogwoodlb_timeline::Stamp;
use dogwoodlb_types::id;
use dogwoodlb_wire::{from_reader, from_slice, to_vec, to_writer};
use dogwoodlb_wire::{Answer, Category, Frame, Header, Proposal, State, Status, Update, Vote};
use dogwoodlb_wire::{MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, MAX_UPDATES, VERSION};
use std::io::ErrorKind;

fn largest(updates: usize) -> Frame {
    let vm: id::Vm = "x".repeat(64).parse().unwrap();
    let incarnation = id::Incarnation(u64::MAX);
    let (millis, logical) = (i64::MIN, u32::MAX);
    let status = Status {
        stamp: Stamp { millis, logical },
        revision: id::Revision(u64::MAX),
    };
    let update = Update {
        vm: vm.clone(),
        state: State::Dead,
        incarnation,
    };
    let updates = vec![update; updates];
    let target = vm.clone();
    let header = Header {
        vm,
        incarnation,
        sequence: u32::MAX,
        status,
        updates,
    };
    Frame::PingReq { header, target }
}

fn proposal(bytes: usize) -> Frame {
    Frame::Propose(Proposal {
        operation: id::Operation(1),
        operator: "ana".parse().unwrap(),
        base: id::Revision(1),
        row_version: 1,
        text: "x".repeat(bytes),
    })
}

#[test]
fn names_of_maximum_length() {
    let bytes = to_vec(&largest(MAX_UPDATES)).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    let error = to_vec(&largest(MAX_UPDATES + 1)).unwrap_err();
    assert_eq!(error.classify(), Category::Malformed);
    let error = from_slice(&vec![VERSION; MAX_DATAGRAM_BYTES + 1]).unwrap_err();
    assert_eq!(error.classify(), Category::TooLarge);
}

/// A frame with more updates than allowed must be refused even if it fits into a datagram.
#[test]
fn too_many_updates() {
    // Version, then kind, name, incarnation, sequence, stamp and revision of a ping.
    let header = [VERSION, 0, 1, b'a', 1, 1, 0, 0, 0];
    let bytes = |count: usize| {
        let updates = [1, b'b', 0, 1].repeat(count);
        [&header[..], &[count as u8], &updates].concat()
    };
    assert!(from_slice(&bytes(MAX_UPDATES)).is_ok());
    let error = from_slice(&bytes(MAX_UPDATES + 1)).unwrap_err();
    assert_eq!(error.classify(), Category::Malformed);
}

#[test]
fn too_large_stream_frame() {
    let mut sink = Vec::new();
    let error = to_writer(&mut sink, &proposal(MAX_STREAM_BYTES)).unwrap_err();
    assert_eq!(error.classify(), Category::TooLarge);
    assert!(sink.is_empty());
    to_writer(&mut sink, &proposal(MAX_STREAM_BYTES - 64)).unwrap();
    assert!(from_reader(&mut sink.as_slice()).is_ok());
}

#[test]
fn declared_length() {
    let prefix = (MAX_STREAM_BYTES as u32).to_be_bytes();
    let bytes = [&prefix[..], &[VERSION; 10]].concat();
    let error = from_reader(&mut bytes.as_slice()).unwrap_err();
    assert_eq!(error.io_kind(), Some(ErrorKind::UnexpectedEof));
    let prefix = (MAX_STREAM_BYTES as u32 + 1).to_be_bytes();
    let error = from_reader(&mut prefix.as_slice()).unwrap_err();
    assert_eq!(error.classify(), Category::TooLarge);
}

#[test]
fn wrong_transport() {
    let (operation, vote) = (id::Operation(1), Vote::Promised);
    let answer = Frame::Answer(Answer { operation, vote });
    let mut stream = Vec::new();
    to_writer(&mut stream, &answer).unwrap();
    let datagram = to_vec(&largest(0)).unwrap();
    let framed = [&(datagram.len() as u32).to_be_bytes()[..], &datagram].concat();
    let errors = [
        to_vec(&answer).unwrap_err(),
        to_writer(&mut Vec::new(), &largest(0)).unwrap_err(),
        from_slice(&stream[4..]).unwrap_err(),
        from_reader(&mut framed.as_slice()).unwrap_err(),
    ];
    assert!(errors
        .iter()
        .all(|error| error.classify() == Category::WrongTransport));
}
