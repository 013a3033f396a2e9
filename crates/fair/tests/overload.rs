//! Guards against overload in which one organisation's requests push out those of others. Each load
//! is played in virtual time against the queue, and against a queue in the order of arrival, which
//! must fail the same objective.

use dogwoodlb_fair::{Arrival, End, Offer, Queue, Reason, Settings, Started, Ticket};
use dogwoodlb_types::Instant;
use rstest::rstest;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const RUN_MS: u64 = 20;
const TIMEOUT_MS: u64 = 1_000;
const END_MS: u64 = 10_000;

#[derive(Clone, Copy)]
struct Load {
    organisation: &'static str,
    priority: u32,
    per_s: u64,
    from_ms: u64,
    until_ms: u64,
}

const fn load(organisation: &'static str, priority: u32, per_s: u64) -> Load {
    Load {
        organisation,
        priority,
        per_s,
        from_ms: 0,
        until_ms: END_MS,
    }
}

fn arrival(load: Load, now_ms: u64) -> Arrival<'static> {
    Arrival {
        organisation: Some(load.organisation),
        route: "quotes",
        priority: load.priority,
        deadline: Instant::from_millis(now_ms + TIMEOUT_MS),
        is_resumed: false,
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    offered: u64,
    served: u64,
    /// The longest wait of a served request.
    wait_ms: u64,
}

impl Served {
    fn share(&self) -> f64 {
        self.served as f64 / self.offered as f64
    }
}

type Outcome = BTreeMap<&'static str, Served>;

/// Returns what each organisation gets from the queue, and in the order of arrival.
fn play(loads: &[Load], slots: impl Fn(u64) -> usize) -> (Outcome, Outcome) {
    let mut queue = Queue::new(Settings::default());
    let mut running: Vec<(u64, Started)> = Vec::new();
    let (mut fair, mut fifo) = (Outcome::new(), Outcome::new());
    let mut waiting: BTreeMap<Ticket, Load> = BTreeMap::new();
    let mut line: VecDeque<(u64, Load)> = VecDeque::new();
    let mut line_ends: Vec<u64> = Vec::new();
    for now_ms in 0..END_MS {
        let now = Instant::from_millis(now_ms);
        for ended in running.extract_if(.., |(end_ms, _)| *end_ms <= now_ms) {
            queue.on_end(ended.1, Duration::from_millis(RUN_MS), End::Complete, now);
        }
        line_ends.retain(|end_ms| *end_ms > now_ms);
        for load in loads {
            let is_active = (load.from_ms..load.until_ms).contains(&now_ms);
            let count = (now_ms + 1) * load.per_s / 1_000 - now_ms * load.per_s / 1_000;
            for _ in 0..if is_active { count } else { 0 } {
                fair.entry(load.organisation).or_default().offered += 1;
                fifo.entry(load.organisation).or_default().offered += 1;
                line.push_back((now_ms, *load));
                if let Ok(queued) = queue.push(&arrival(*load, now_ms), now) {
                    waiting.insert(queued.ticket, *load);
                }
            }
        }
        for (ticket, _) in queue.expire(now) {
            waiting.remove(&ticket);
        }
        while running.len() < slots(now_ms) {
            let Some(started) = queue.pop(now, |_| Offer::Taken) else {
                break;
            };
            let load = waiting.remove(&started.ticket().unwrap()).unwrap();
            let served = fair.entry(load.organisation).or_default();
            served.served += 1;
            served.wait_ms = served.wait_ms.max(started.waited().as_millis() as u64);
            running.push((now_ms + RUN_MS, started));
        }
        line.retain(|(at_ms, _)| now_ms + RUN_MS <= at_ms + TIMEOUT_MS);
        while line_ends.len() < slots(now_ms) {
            let Some((at_ms, load)) = line.pop_front() else {
                break;
            };
            let served = fifo.entry(load.organisation).or_default();
            served.served += 1;
            served.wait_ms = served.wait_ms.max(now_ms - at_ms);
            line_ends.push(now_ms + RUN_MS);
        }
    }
    (fair, fifo)
}

/// Four slots serve 200 requests per second. One organisation sends 600, another 40. The second is
/// served as if it were alone, and the first gets all that is left.
#[test]
fn one_organisation_floods() {
    let (fair, fifo) = play(&[load("flood", 0, 600), load("aspen", 0, 40)], |_| 4);
    assert!(fair["aspen"].share() > 0.98, "{fair:?}");
    assert!(fair["aspen"].wait_ms < 40, "{fair:?}");
    assert!(fair["flood"].served > 1_500, "work conserving: {fair:?}");
    assert!(fifo["aspen"].share() < 0.5, "{fifo:?}");
}

/// 20 organisations send 5 requests per second each beside a flood of 400.
#[test]
fn many_small_organisations() {
    let names: [&str; 20] = std::array::from_fn(|n| &*format!("small-{n}").leak());
    let mut loads: Vec<Load> = names.iter().map(|name| load(name, 0, 5)).collect();
    loads.push(load("flood", 0, 400));
    let (fair, fifo) = play(&loads, |_| 4);
    for name in names {
        assert!(fair[name].share() > 0.95, "{name}: {fair:?}");
        assert!(fifo[name].share() < 0.7, "{name}: {fifo:?}");
    }
    assert!(fair["flood"].served > 800, "{fair:?}");
}

/// From 2 s on, half of the slots are lost, and `birch` sends 1,000 requests in a second, five times
/// what it sends otherwise. `aspen`, which sends less than half of what is left, doesn't notice.
#[test]
fn burst_beside_lost_replicas() {
    let burst = Load {
        from_ms: 3_000,
        until_ms: 4_000,
        ..load("birch", 0, 1_000)
    };
    let loads = [load("aspen", 0, 40), load("birch", 0, 50), burst];
    let slots = |now_ms| if now_ms < 2_000 { 4 } else { 2 };
    let (fair, fifo) = play(&loads, slots);
    assert!(fair["aspen"].share() > 0.98, "{fair:?}");
    assert!(fair["aspen"].wait_ms < 200, "{fair:?}");
    assert!(fifo["aspen"].share() < 0.9, "{fifo:?}");
}

/// Organisations of three priorities send the same. Their weights are 4, 2 and 1.
#[test]
fn priorities_share_by_weight() {
    let loads = [load("a", 0, 300), load("b", 1, 300), load("c", 2, 300)];
    let (fair, fifo) = play(&loads, |_| 4);
    for (one, next) in [("a", "b"), ("b", "c")] {
        let ratio = fair[one].served as f64 / fair[next].served as f64;
        assert!((1.8..2.2).contains(&ratio), "{one}: {fair:?}");
    }
    assert_eq!(fifo["b"].served, fifo["c"].served, "{fifo:?}");
}

/// Guards against starvation of the lowest priority, whose weight is 1/512: a quarter of the starts
/// goes by age, so it is served at least a quarter as often as all.
#[rstest]
#[case::same_load(300)]
#[case::more_than_the_urgent(600)]
fn lowest_priority_not_starved(#[case] per_s: u64) {
    let (fair, _) = play(&[load("urgent", 0, 300), load("patient", 9, per_s)], |_| 4);
    let all: u64 = fair.values().map(|served| served.served).sum();
    let offered: u64 = fair.values().map(|served| served.offered).sum();
    let share = fair["patient"].share() / (all as f64 / offered as f64);
    assert!(share >= 0.25, "{share}: {fair:?}");
    assert!(fair["urgent"].served > fair["patient"].served, "{fair:?}");
}

/// Guards against callers that were told to return and then wait behind those that come for the
/// first time, and against callers that return too late being taken for them.
#[rstest]
#[case::in_time(100, true)]
#[case::too_late(3_000, false)]
fn returning_caller_first(#[case] return_ms: u64, #[case] is_first: bool) {
    let mut queue = Queue::new(Settings::default());
    let request = arrival(load("aspen", 0, 0), 0);
    let retry_after = queue.retry_after(&request, Instant::from_millis(0), 1.0);
    assert_eq!(retry_after, Duration::from_millis(300));
    let now = Instant::from_millis(return_ms);
    let other = Arrival {
        route: "orders",
        ..arrival(load("aspen", 0, 0), return_ms)
    };
    let first = queue.push(&other, now).unwrap().ticket;
    let returning = queue.push(&arrival(load("aspen", 0, 0), return_ms), now);
    let returning = returning.unwrap().ticket;
    let started = queue.pop(now, |_| Offer::Taken).unwrap();
    let expected = if is_first { returning } else { first };
    assert_eq!(started.ticket(), Some(expected));
}

/// Guards against queues without a bound, in which requests wait only to be refused in the end, and
/// against a full queue that leaves no place to the others.
#[test]
fn bounded_queue() {
    let mut queue = Queue::new(Settings {
        per_organisation: 3,
        total: 4,
        ..Settings::default()
    });
    let now = Instant::from_millis(0);
    let mut push = |organisation| {
        let queued = queue.push(&arrival(load(organisation, 0, 0), 0), now);
        queued.map(|queued| queued.ticket)
    };
    let results = ["a", "a", "a", "a", "b", "c"].map(&mut push);
    assert_eq!(results[3].unwrap_err().reason, Reason::Full);
    assert!(results[5].is_ok());
    let displaced = queue.expire(now);
    assert_eq!(displaced.len(), 1);
    assert_eq!(Some(displaced[0].0), results[2].ok());
    assert_eq!(displaced[0].1.reason, Reason::Displaced);
    assert_eq!(queue.len(), 4);
}

/// Guards against requests that wait although they can't be answered in time: after a second with
/// ten starts, the 20th in the queue would wait for two seconds.
#[test]
fn refused_at_once_if_late() {
    let mut queue = Queue::new(Settings::default());
    let now = Instant::from_millis(1_000);
    for _ in 0..10 {
        let started = queue.start_at_once(&arrival(load("a", 0, 0), 900), now);
        queue.on_end(started, Duration::from_millis(100), End::Complete, now);
    }
    let results: Vec<_> = (0..20)
        .map(|_| queue.push(&arrival(load("a", 0, 0), 1_000), now))
        .collect();
    let accepted = results.iter().filter(|result| result.is_ok()).count();
    assert!((6..=9).contains(&accepted), "{accepted}");
    let refusal = results[19].unwrap_err();
    assert_eq!(refusal.reason, Reason::Late);
    assert!(refusal.expected_wait >= Duration::from_millis(900));
    let late = queue.expire(Instant::from_millis(1_950));
    assert_eq!(
        late.len(),
        accepted,
        "those that wait are refused when late"
    );
}

/// Guards against requests that use up their attempts on replicas whose slots other nodes use: three
/// nodes share four slots, and a replica refuses when all are in use.
#[test]
fn slots_shared_with_other_nodes() {
    let mut nodes: [Queue; 3] = std::array::from_fn(|_| Queue::new(Settings::default()));
    let mut running: Vec<(u64, usize, Started)> = Vec::new();
    let (mut served, mut refused) = ([0_u32; 3], 0_u32);
    for now_ms in 0..END_MS {
        let now = Instant::from_millis(now_ms);
        for (_, node, started) in running.extract_if(.., |(end_ms, ..)| *end_ms <= now_ms) {
            nodes[node].on_end(started, Duration::from_millis(RUN_MS), End::Complete, now);
            served[node] += 1;
        }
        for number in 0..3 {
            let number = (number + now_ms as usize) % 3;
            let node = &mut nodes[number];
            if node.len() < 4 {
                let _ = node.push(&arrival(load("aspen", 0, 0), now_ms), now);
            }
            node.expire(now);
            while let Some(started) = node.pop(now, |_| Offer::Taken) {
                if running.len() < 4 {
                    running.push((now_ms + RUN_MS, number, started));
                    continue;
                }
                refused += 1;
                node.on_end(started, Duration::ZERO, End::Refused, now);
                let resumed = Arrival {
                    is_resumed: true,
                    ..arrival(load("aspen", 0, 0), now_ms)
                };
                let _ = node.push(&resumed, now);
            }
        }
    }
    let total: u32 = served.iter().sum();
    assert!(total > 1_800, "{served:?}");
    assert!(refused < total * 3 / 2, "{refused} {served:?}");
}
