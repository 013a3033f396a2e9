//! Encoding and decoding time of a frame by number of updates; docs/CAPACITY.md uses the slopes.

use criterion::{BenchmarkId, Criterion};
use dogwoodlb_types::id;
use dogwoodlb_wire::{from_slice, to_vec, Frame, Header, State, Status, Update, MAX_UPDATES};
use std::hint::black_box;
use std::time::Duration;

fn ping(updates: usize) -> Frame {
    let update = |index| Update {
        vm: format!("entry-{index:04}").parse().unwrap(),
        state: State::Alive,
        incarnation: id::Incarnation(1_700_000_000_000),
    };
    Frame::Ping(Header {
        vm: "entry-0000".parse().unwrap(),
        incarnation: id::Incarnation(1_700_000_000_000),
        sequence: 7,
        status: Status::default(),
        updates: (0..updates).map(update).collect(),
    })
}

fn frames(c: &mut Criterion) {
    let mut group = c.benchmark_group("frame");
    for updates in [0, MAX_UPDATES / 2, MAX_UPDATES] {
        let frame = ping(updates);
        let bytes = to_vec(&frame).unwrap();
        group.bench_function(BenchmarkId::new("encode", updates), |b| {
            b.iter(|| to_vec(black_box(&frame)).unwrap());
        });
        group.bench_function(BenchmarkId::new("decode", updates), |b| {
            b.iter(|| from_slice(black_box(&bytes)).unwrap());
        });
    }
}

fn main() {
    let mut c = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(300))
        .configure_from_args();
    frames(&mut c);
    c.final_summary();
}
