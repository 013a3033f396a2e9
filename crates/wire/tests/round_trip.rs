//! Guards against frames that lose or change a field when encoded and decoded.

use dogwoodlb_timeline::Stamp;
use dogwoodlb_types::id;
use dogwoodlb_wire::{from_reader, from_slice, to_vec, to_writer, MAX_PENDING, MAX_UPDATES};
use dogwoodlb_wire::{Answer, Frame, Header, Proposal, Report, State, Status, Update, Vote};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const STATES: [State; 4] = [State::Alive, State::Suspect, State::Leaving, State::Dead];

prop_compose! {
    fn header()(
        names in prop::collection::vec("[a-z0-9._-]{1,64}", 1..=MAX_UPDATES + 1),
        (incarnation, sequence, millis, logical, revision) in any::<(u64, u32, i64, u32, u64)>(),
    ) -> Header {
        let names = names.into_iter().map(|name| name.parse().unwrap());
        let mut updates: Vec<Update> = names
            .enumerate()
            .map(|(at, vm)| Update {
                vm,
                state: STATES[at % 4],
                incarnation: id::Incarnation(revision.rotate_left(at as u32)),
            })
            .collect();
        let vm = updates.remove(0).vm;
        let (incarnation, revision) = (id::Incarnation(incarnation), id::Revision(revision));
        let stamp = Stamp { millis, logical };
        let status = Status { stamp, revision };
        Header { vm, incarnation, sequence, status, updates }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn datagram_round_trip(header in header()) {
        let target = header.vm.clone();
        let ping_req = Frame::PingReq { header: header.clone(), target };
        let query = Frame::Query { vm: header.vm.clone(), sequence: header.sequence };
        let operations =
            header.updates.iter().map(|update| id::Operation(update.incarnation.0.into()));
        let report = Frame::Report(Report {
            vm: header.vm.clone(),
            sequence: header.sequence,
            revision: header.status.revision,
            operation: operations.clone().next(),
            pending: operations.take(MAX_PENDING).collect(),
            settled: header.sequence % 2 == 0,
        });
        let frames = [Frame::Ping(header.clone()), Frame::Ack(header), ping_req, query, report];
        for frame in frames {
            prop_assert_eq!(from_slice(&to_vec(&frame).unwrap()).unwrap(), frame);
        }
    }

    #[test]
    fn stream_round_trip(text in ".{0,2000}", numbers in any::<(u64, u64, u128)>()) {
        let base = id::Revision(numbers.0);
        let operation = id::Operation(numbers.2);
        let row_version = numbers.1;
        let operator = "ana".parse().unwrap();
        let proposal = Proposal { operation, operator, base, row_version, text };
        let mut frames = vec![Frame::Propose(proposal)];
        let votes = [Vote::Busy, Vote::Invalid, Vote::Stale(base), Vote::Unready];
        frames.extend(votes.map(|vote| Frame::Answer(Answer { operation, vote })));
        let vote = Vote::Promised;
        frames.push(Frame::Answer(Answer { operation, vote }));
        let mut bytes = Vec::new();
        for frame in &frames {
            to_writer(&mut bytes, frame).unwrap();
        }
        let mut reader = bytes.as_slice();
        for frame in frames {
            prop_assert_eq!(from_reader(&mut reader).unwrap(), frame);
        }
        prop_assert!(reader.is_empty());
    }
}
