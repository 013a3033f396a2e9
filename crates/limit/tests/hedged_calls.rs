//! Guards, in virtual time, against long calls that are cancelled on healthy replicas until they are
//! lost, healthy replicas that are ejected for the length of their calls, and hedges that multiply
//! the load of a slow service.

use dogwoodlb_limit::{CopyKey, HedgedCall, Hedging, LatencyProfile};
use dogwoodlb_types::Instant;
use rand::{rngs::StdRng, RngExt, SeedableRng};
use rstest::rstest;
use std::time::Duration;

const TARGET: Duration = Duration::from_millis(800);
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
const CALL_TIME: Duration = Duration::from_secs(12);
const CALL_INTERVAL_MS: u64 = 25;
const LAST_CALL_MS: u64 = 30_000;
/// 10% of the calls, 3 for each second until the last one has ended, and 30 at the start.
const MAX_HEDGES: usize = 120 + 3 * 42 + 30;
/// By then, each unresponsive replica must have been ejected once.
const DETECTION_MS: u64 = 10_000;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// The processing time on a replica as a multiple of that on a healthy one.
const HEALTHY: f64 = 1.0;
const SLOW: f64 = 3.5;
const UNRESPONSIVE: f64 = 10_000.0;

/// A replica, with ejections as those of the router.
#[derive(Clone, Default)]
struct Replica {
    factor: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Instant,
    first_ejected_at: Option<Instant>,
}

struct Call {
    machine: HedgedCall,
    began: Instant,
    work: Duration,
    /// The key of each copy, its replica and the time of its response.
    copies: Vec<(CopyKey, usize, Instant)>,
}

struct Simulation {
    rng: StdRng,
    replicas: Vec<Replica>,
    hedging: Hedging,
    hedges: usize,
}

impl Simulation {
    fn begin(&mut self, now: Instant) -> Call {
        // 0.2 to 1.5 s, most of them short.
        let skewed = self.rng.random::<f64>().powi(3);
        let mut call = Call {
            machine: self.hedging.begin("score", TARGET, now),
            began: now,
            work: Duration::from_millis(200 + (1_300.0 * skewed) as u64),
            copies: Vec::new(),
        };
        self.send(&mut call, now);
        call
    }

    fn send(&mut self, call: &mut Call, now: Instant) {
        let replica = loop {
            let number = self.rng.random_range(0..self.replicas.len());
            let is_tried = call.copies.iter().any(|copy| copy.1 == number);
            if !is_tried && self.replicas[number].ejected_until <= now {
                break number;
            }
        };
        let takes = call.work.mul_f64(self.replicas[replica].factor);
        let room = call.machine.make_room(&mut self.hedging, now);
        call.copies.retain(|copy| Some(copy.0) != room);
        let key = call.machine.on_sent(now + ROUTE_TIMEOUT, now);
        call.copies.push((key, replica, now + takes));
    }

    /// Advances a call. Returns whether it has ended.
    fn step(&mut self, call: &mut Call, now: Instant) -> bool {
        let winner = call.copies.iter().find(|copy| copy.2 <= now);
        let Some(winner) = winner.map(|winner| winner.0) else {
            assert!(now < call.began + CALL_TIME, "a call was lost");
            if call.machine.try_hedge(&mut self.hedging, now) {
                self.hedges += 1;
                self.send(call, now);
            }
            return false;
        };
        let failed = call.machine.on_response(winner, &mut self.hedging, now);
        for (key, replica, _) in call.copies.drain(..) {
            let replica = &mut self.replicas[replica];
            if key == winner {
                replica.failures = 0;
            } else if failed.contains(&key) {
                replica.failures += 1;
            }
            if replica.failures == 3 || replica.failures > 0 && replica.ejections > 0 {
                replica.failures = 0;
                replica.ejected_until = now + Duration::from_secs(1 << replica.ejections.min(6));
                replica.ejections += 1;
                replica.first_ejected_at.get_or_insert(now);
            }
        }
        true
    }

    /// Runs calls for 30 s.
    fn run(&mut self) {
        let (mut calls, mut ms) = (Vec::new(), 0);
        while ms < LAST_CALL_MS || !calls.is_empty() {
            if ms < LAST_CALL_MS && ms % CALL_INTERVAL_MS == 0 {
                calls.push(self.begin(at(ms)));
            }
            calls.retain_mut(|call| !self.step(call, at(ms)));
            ms += 1;
        }
    }
}

/// Every call must be answered, no healthy replica may be ejected, and unresponsive ones must be
/// detected within seconds, and the hedges must stay within the budget.
#[rstest]
#[case::healthy(12, 0, 0)]
#[case::mixed(12, 4, 4)]
#[case::unresponsive(12, 3, 0)]
#[case::slow(12, 0, 8)]
#[case::all_slow(0, 0, 20)]
fn answered_calls(#[case] healthy: usize, #[case] unresponsive: usize, #[case] slow: usize) {
    let groups = [
        (HEALTHY, healthy),
        (UNRESPONSIVE, unresponsive),
        (SLOW, slow),
    ];
    let replicas = groups.map(|(factor, count)| {
        let replica = Replica {
            factor,
            ..Replica::default()
        };
        vec![replica; count]
    });
    for seed in 1..=2 {
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(seed),
            replicas: replicas.concat(),
            hedging: Hedging::default(),
            hedges: 0,
        };
        simulation.run();
        assert!(simulation.hedges <= MAX_HEDGES);
        for replica in &simulation.replicas {
            let (factor, first) = (replica.factor, replica.first_ejected_at);
            let is_expected = match factor {
                HEALTHY => first.is_none(),
                UNRESPONSIVE => first.is_some_and(|first| first < at(DETECTION_MS)),
                _ => true,
            };
            assert!(
                is_expected,
                "seed {seed}: factor {factor}, ejected at {first:?}"
            );
        }
    }
}

/// A call whose hedge the budget refused must ask again. At most three copies may run; another one is
/// sent in place of the oldest once the time that its replica was told has passed.
#[test]
fn exhausted_budget() {
    let mut hedging = Hedging::default();
    let mut calls: Vec<HedgedCall> = Vec::new();
    for _ in 0..100 {
        let mut call = hedging.begin("r", TARGET, at(0));
        call.on_sent(at(3_000), at(0));
        calls.push(call);
    }
    let mut hedged = Vec::new();
    for ms in [799, 800, 801, 1_600] {
        let due = calls.iter_mut().filter_map(|call| {
            let is_sent = call.try_hedge(&mut hedging, at(ms));
            is_sent.then(|| call.on_sent(at(3_000), at(ms)))
        });
        hedged.push(due.count());
    }
    // The capacity of the budget, and what it gains in 800 ms.
    assert_eq!(hedged, [0, 30, 0, 2]);
    let mut other = hedging.begin("other", TARGET, at(0));
    let first = other.on_sent(at(9_000), at(0));
    for (ms, next) in [(800, 2_400), (2_399, 2_400), (2_400, 9_000)] {
        if other.try_hedge(&mut hedging, at(ms)) {
            other.on_sent(at(3_000), at(ms));
        }
        assert_eq!(other.hedge_at(), Some(at(next)));
    }
    assert!(other.try_hedge(&mut hedging, at(9_000)));
    assert_eq!(other.make_room(&mut hedging, at(9_000)), Some(first));
}

/// Which copies count as failures of their replicas: by comparison with the response to a hedge, or
/// once the time of the call is up. A replica that never answers must be detected also if its calls
/// can't be hedged, but not by calls that were given too little time.
#[rstest]
#[case::unresponsive((800, true, Some(200)), true)]
#[case::twice_as_slow((800, true, Some(800)), false)]
#[case::shortest_hedge((250, true, Some(10)), true)]
#[case::only_copy((3_000, false, None), true)]
#[case::impatient_caller((900, false, None), false)]
#[case::no_response((3_000, true, None), false)]
fn failed_copies(#[case] call: (u64, bool, Option<u64>), #[case] is_failure: bool) {
    let (ms, is_hedged, response_ms) = call;
    let mut hedging = Hedging::default();
    let target = Duration::from_millis(ms).min(TARGET);
    let mut call = hedging.begin("r", target, at(0));
    let first = call.on_sent(at(3_000), at(0));
    assert!(!is_hedged || call.try_hedge(&mut hedging, at(ms)));
    let failed = match response_ms {
        Some(response_ms) => {
            let second = call.on_sent(at(3_000), at(ms));
            call.on_response(second, &mut hedging, at(ms + response_ms))
        }
        None => call.on_expired(&mut hedging, at(ms)),
    };
    assert_eq!(failed.contains(&first), is_failure);
}

/// Cancelled calls are known to have taken longer than until then: left out, or counted as ended, they
/// would keep the estimate too low for good. Former times must not count for ever.
#[test]
fn cancelled_calls() {
    let mut profile = LatencyProfile::default();
    for (count, ms, is_cancelled) in [(40, 100, false), (58, 200, true), (2, 1_000, false)] {
        for _ in 0..count {
            match is_cancelled {
                true => profile.record_lower_bound(Duration::from_millis(ms), at(0)),
                false => profile.record(Duration::from_millis(ms), at(0)),
            }
        }
    }
    let estimate = profile.high_quantile(at(0));
    assert_eq!(estimate, Some(Duration::from_millis(1_000)));
    assert_eq!(profile.high_quantile(at(60_000)), None);
}
