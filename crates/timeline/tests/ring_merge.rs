//! Guards against a timeline that grows without bound, orders effects before causes, or
//! duplicates or loses events.

use dogwoodlb_timeline::{merge, Clock, Event, Filter, Kind, RingBuffer, Stamp};
use dogwoodlb_types::{id, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const SENT: Kind = Kind::new("sent");
const RECEIVED: Kind = Kind::new("received");

fn event(millis: i64, vm: &str, number: usize) -> Event {
    let stamp = Stamp { millis, logical: 0 };
    Event::new(stamp, vm.parse().unwrap(), SENT).with("number", number)
}

#[test]
fn memory_bound() {
    let mut ring = RingBuffer::new(3);
    for number in 0..10 {
        ring.push(event(number, "a", 0));
    }
    let kept: Vec<i64> = ring.iter().map(|event| event.stamp.millis).collect();
    assert_eq!((kept, ring.dropped()), (vec![7, 8, 9], 7));

    let mut event = event(1, "a", 0).with("long", "ž".repeat(1_000));
    assert_eq!(event.detail["long"], "ž".repeat(128));
    for number in 0..100 {
        event = event.with(&format!("key{number}"), number);
    }
    assert_eq!(event.detail.len(), 16);
}

/// Three nodes with skewed clocks exchange frames; the merge must order each send before its
/// receipt.
#[test]
fn causal_order() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (names, skew) = (["a", "b", "c"], [0, -400, 300]);
    let mut clocks = vec![Clock::new(Duration::from_secs(1)); 3];
    let mut lists = vec![Vec::new(); 3];
    for number in 0..500 {
        let (from, to) = (rng.random_range(0..3), rng.random_range(0..3));
        let wall = |vm: usize| Timestamp::from_millis(10_000 + number as i64 / 3 + skew[vm]);
        let mut record = |stamp, vm: usize, kind| {
            let event = Event::new(stamp, names[vm].parse().unwrap(), kind);
            lists[vm].push(event.with("number", number));
        };
        let sent = clocks[from].tick(wall(from));
        record(sent, from, SENT);
        record(clocks[to].observe(sent, wall(to)).unwrap(), to, RECEIVED);
    }
    // The events of the first node occur twice.
    lists.push(lists[0].clone());
    let merged = merge(lists);
    assert_eq!(merged.len(), 1_000);
    for sent in 0..1_000 {
        let is_pair = |event: &Event| event.detail == merged[sent].detail;
        let is_last = !merged[sent + 1..].iter().any(is_pair);
        assert_eq!(merged[sent].kind == RECEIVED, is_last);
    }
    // Two different events of one VM may share a stamp; both are kept in their order.
    let list = vec![event(1, "a", 1), event(1, "a", 2), event(1, "b", 3)];
    assert_eq!(merge([list.clone(), list.clone()]), list);
}

#[test]
fn filter_fields() {
    let sample = id::Sample::new("weld".parse().unwrap(), id::Step(3), 1, 2);
    let wanted = event(5, "a", 1).request("r-1").sample(sample.clone());
    let wanted = wanted.lease("model.scorer".parse().unwrap());
    let mut other = event(4, "b", 1);
    other.kind = RECEIVED;
    let filters: [fn(&mut Filter, &Event); 7] = [
        |filter, event| filter.vm = Some(event.vm.clone()),
        |filter, event| filter.kind = Some(event.kind.clone()),
        |filter, event| filter.request = event.request.clone(),
        |filter, event| filter.sample = event.sample.clone(),
        |filter, event| filter.trainer = event.trainer.clone(),
        |filter, event| filter.lease = event.lease.clone(),
        |filter, _| {
            filter.after = Some(Stamp {
                millis: 4,
                logical: 0,
            })
        },
    ];
    for set in filters {
        let mut filter = Filter::default();
        assert!(filter.matches(&wanted) && filter.matches(&other));
        set(&mut filter, &wanted);
        assert!(
            filter.matches(&wanted) && !filter.matches(&other),
            "{filter:?}"
        );
    }
}
