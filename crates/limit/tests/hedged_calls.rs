//! Idempotent calls on healthy, slow and unresponsive replicas, in virtual time.
//!
//! Guards against long calls that are cancelled on healthy replicas until they are lost, against
//! healthy replicas that are ejected for the length of their calls, and against hedges that
//! multiply the load of a slow service.

use dogwoodlb_limit::{CopyKey, HedgedCall, Hedging, LatencyProfile};
use dogwoodlb_route::{Outcome, Replica, Request, Router, Settings, Ticket};
use dogwoodlb_types::prelude::*;
use rand::{rngs::StdRng, RngExt, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

const TARGET: Duration = Duration::from_millis(800);
const CALL_TIME: Duration = Duration::from_secs(12);
const CALL_INTERVAL_MS: u64 = 25;
const LAST_CALL_MS: u64 = 30_000;
/// By then, each unresponsive replica must have been ejected once.
const DETECTION_MS: u64 = 10_000;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Kind {
    Healthy,
    Unresponsive,
    Slow,
}

struct Copy {
    key: CopyKey,
    upstream: id::Upstream,
    ticket: Ticket,
    ends_at: Instant,
}

struct Call {
    machine: HedgedCall,
    began: Instant,
    work: Duration,
    copies: Vec<Copy>,
}

struct Simulation {
    rng: StdRng,
    router: Router,
    kinds: BTreeMap<id::Upstream, Kind>,
    hedging: Hedging,
    copies_sent: usize,
}

impl Simulation {
    fn new(seed: u64, kinds: &[Kind]) -> Self {
        let (region, centre): (id::Region, id::Centre) =
            ("a".parse().unwrap(), "a1".parse().unwrap());
        let mut router = Router::new(Settings {
            vm: "edge-1".parse().unwrap(),
            region: region.clone(),
            centre: centre.clone(),
        });
        let ids = (0..kinds.len()).map(|number| format!("r-{number}").parse().unwrap());
        let kinds: BTreeMap<id::Upstream, Kind> = ids.zip(kinds.iter().copied()).collect();
        let replica = |upstream: &id::Upstream| Replica {
            upstream: upstream.clone(),
            region: region.clone(),
            centre: centre.clone(),
            slots: 12,
            leaving: false,
        };
        router
            .update(&kinds.keys().map(replica).collect::<Vec<_>>())
            .unwrap();
        Self {
            rng: StdRng::seed_from_u64(seed),
            router,
            kinds,
            hedging: Hedging::default(),
            copies_sent: 0,
        }
    }

    fn begin(&mut self, now: Instant) -> Call {
        let machine = self.hedging.begin("score", TARGET, now);
        // 0.2 to 1.5 s, most of them short.
        let skewed = self.rng.random::<f64>().powi(3);
        let work = Duration::from_millis(200 + (1_300.0 * skewed) as u64);
        let (began, copies) = (now, Vec::new());
        let mut call = Call {
            machine,
            began,
            work,
            copies,
        };
        self.send(&mut call, now);
        call
    }

    fn send(&mut self, call: &mut Call, now: Instant) {
        let tried: Vec<id::Upstream> = call.copies.iter().map(|c| c.upstream.clone()).collect();
        let request = Request::new(Class::Customer).exclude(&tried);
        let pick = self.router.pick(&request, now, &mut self.rng);
        let pick = pick.expect("a free replica");
        let takes = match self.kinds[&pick.upstream] {
            Kind::Healthy => call.work,
            Kind::Slow => call.work.mul_f64(3.5),
            Kind::Unresponsive => Duration::from_secs(1_000),
        };
        self.copies_sent += 1;
        call.copies.push(Copy {
            key: call.machine.on_sent(now),
            upstream: pick.upstream,
            ticket: pick.ticket,
            ends_at: now + takes,
        });
    }

    /// Advances a call. Returns whether it has ended.
    fn step(&mut self, call: &mut Call, now: Instant) -> bool {
        let winner = call.copies.iter().find(|copy| copy.ends_at <= now);
        let Some(winner) = winner.map(|winner| winner.key) else {
            assert!(
                now < call.began + CALL_TIME,
                "a call of {:?} was lost",
                call.work
            );
            if call.machine.try_hedge(&mut self.hedging, now) {
                self.send(call, now);
            }
            return false;
        };
        let failed = call.machine.on_response(winner, &mut self.hedging, now);
        for copy in call.copies.drain(..) {
            let outcome = match copy.key {
                key if key == winner => Outcome::Success,
                key if failed.contains(&key) => Outcome::Failure,
                _ => Outcome::Cancelled,
            };
            self.router.on_end(copy.ticket, outcome, now).unwrap();
        }
        true
    }

    /// Runs calls for 30 s, and returns when each replica was ejected first, and the number of
    /// calls.
    fn run(&mut self) -> (BTreeMap<id::Upstream, u64>, usize) {
        let (mut calls, mut ejected, mut count) = (Vec::new(), BTreeMap::new(), 0);
        let mut ms = 0;
        while ms < LAST_CALL_MS || !calls.is_empty() {
            if ms < LAST_CALL_MS && ms % CALL_INTERVAL_MS == 0 {
                calls.push(self.begin(at(ms)));
                count += 1;
            }
            calls.retain_mut(|call| !self.step(call, at(ms)));
            for upstream in self.kinds.keys().filter(|_| ms % 20 == 0) {
                if self.router.is_ejected(upstream, at(ms)) {
                    ejected.entry(upstream.clone()).or_insert(ms);
                }
            }
            ms += 1;
        }
        (ejected, count)
    }
}

/// Every call must be answered, no healthy replica may be ejected, unresponsive ones must be
/// detected within seconds, and the copies must stay within the budget: 10%, 3 each second, and 30
/// at the start.
#[rstest]
#[case::healthy(12, 0, 0)]
#[case::mixed(12, 4, 4)]
#[case::unresponsive(12, 3, 0)]
#[case::slow(12, 0, 8)]
#[case::all_slow(0, 0, 20)]
fn answered_calls(#[case] healthy: usize, #[case] unresponsive: usize, #[case] slow: usize) {
    let groups = [
        (Kind::Healthy, healthy),
        (Kind::Unresponsive, unresponsive),
        (Kind::Slow, slow),
    ];
    let kinds = groups.map(|(kind, count)| vec![kind; count]).concat();
    for seed in 1..=2 {
        let mut simulation = Simulation::new(seed, &kinds);
        let (ejected, calls) = simulation.run();
        for (upstream, kind) in &simulation.kinds {
            let first = ejected.get(upstream);
            match kind {
                Kind::Healthy => assert_eq!(first, None, "seed {seed}: {upstream} was ejected"),
                Kind::Unresponsive => assert!(
                    first.is_some_and(|ms| *ms < DETECTION_MS),
                    "seed {seed}: {upstream} was detected at {first:?}"
                ),
                Kind::Slow => {}
            }
        }
        let seconds = (LAST_CALL_MS + CALL_TIME.as_millis() as u64) / 1_000;
        let max_hedges = calls / 10 + 3 * seconds as usize + 30;
        let hedges = simulation.copies_sent - calls;
        assert!(
            hedges <= max_hedges,
            "seed {seed}: {hedges} hedges of {calls} calls"
        );
    }
}

/// A call whose hedge the budget refused must ask again, and at most three copies may run.
#[test]
fn exhausted_budget() {
    let mut hedging = Hedging::default();
    let mut calls: Vec<HedgedCall> = Vec::new();
    for _ in 0..100 {
        let mut call = hedging.begin("r", TARGET, at(0));
        call.on_sent(at(0));
        calls.push(call);
    }
    let mut hedged = Vec::new();
    for ms in [799, 800, 801, 1_600] {
        let due = calls.iter_mut().filter_map(|call| {
            let is_sent = call.try_hedge(&mut hedging, at(ms));
            is_sent.then(|| call.on_sent(at(ms)))
        });
        hedged.push(due.count());
    }
    // The capacity of the budget, and what it gains in 800 ms.
    assert_eq!(hedged, [0, 30, 0, 2]);
    let mut other = hedging.begin("other", TARGET, at(0));
    other.on_sent(at(0));
    for (ms, next) in [(800, Some(2_400)), (2_399, Some(2_400)), (2_400, None)] {
        if other.try_hedge(&mut hedging, at(ms)) {
            other.on_sent(at(ms));
        }
        assert_eq!(other.hedge_at().map(Instant::as_millis), next);
    }
}

/// Which outstanding copies count as failures once another one has responded.
#[rstest]
#[case::unresponsive(800, 200, true)]
#[case::twice_as_slow(800, 800, false)]
#[case::shortest_hedge(250, 10, true)]
fn failed_copies(#[case] hedge_ms: u64, #[case] work_ms: u64, #[case] is_failure: bool) {
    let mut hedging = Hedging::default();
    let target = Duration::from_millis(hedge_ms);
    let mut call = hedging.begin("r", target, at(0));
    let first = call.on_sent(at(0));
    assert!(call.try_hedge(&mut hedging, at(hedge_ms)));
    let second = call.on_sent(at(hedge_ms));
    let failed = call.on_response(second, &mut hedging, at(hedge_ms + work_ms));
    assert_eq!(failed.contains(&first), is_failure);
}

/// A replica that never answers must be detected also if its calls can't be hedged, but not by calls
/// that were given too little time or that others did not answer either.
#[rstest]
#[case::route_timeout(3_000, false, 1)]
#[case::impatient_caller(900, false, 0)]
#[case::hedged(3_000, true, 0)]
fn expired_calls(#[case] ms: u64, #[case] is_hedged: bool, #[case] failures: usize) {
    let mut hedging = Hedging::default();
    let mut call = hedging.begin("r", TARGET, at(0));
    call.on_sent(at(0));
    if is_hedged && call.try_hedge(&mut hedging, at(800)) {
        call.on_sent(at(800));
    }
    assert_eq!(call.on_expired(&mut hedging, at(ms)).len(), failures);
}

/// Without the lower bounds of cancelled calls, the estimate would never rise above the time at which
/// they are cancelled; former times must not count for ever.
#[test]
fn cancelled_calls() {
    let mut profile = LatencyProfile::default();
    for number in 0..100 {
        profile.record(Duration::from_millis(100 + number % 50), at(0));
    }
    for _ in 0..20 {
        profile.record_lower_bound(Duration::from_millis(300), at(0));
    }
    assert_eq!(
        profile.high_quantile(at(0)),
        Some(Duration::from_millis(300))
    );
    assert_eq!(profile.high_quantile(at(60_000)), None);
}
