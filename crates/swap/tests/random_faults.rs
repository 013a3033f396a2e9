//! After any combination of faults all replicas must converge on the newest version, and no order
//! may start in a quiet hour or after the end of a lease.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, STEP_MS};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const FAULTS_MS: u64 = 300_000;

/// Upper bound for the rest of a quiet hour, a takeover including its waiting time, two rounds of
/// at most 8 loads with 2 at a time, and the retries of orders sent during the faults.
const CONVERGENCE_MS: u64 = 150_000;

#[test]
fn converges_after_faults() {
    let (mut counts, mut slowest) = ([0; 4], 0);
    for seed in 0..150 {
        let mut fleet = Fleet::new(seed);
        let mut rng = SmallRng::seed_from_u64(seed ^ 0xfeed);
        let end = fleet.now_ms + FAULTS_MS;
        while fleet.now_ms < end {
            if rng.random_bool(STEP_MS as f64 / 40_000.0) {
                fleet.publish();
            }
            if rng.random_bool(STEP_MS as f64 / 15_000.0) {
                fleet.pause();
            }
            fleet.step();
        }
        fleet.has_faults = false;
        fleet.publish();
        let start = fleet.now_ms;
        while !fleet.is_converged() {
            fleet.step();
            let is_late = fleet.now_ms >= start + CONVERGENCE_MS;
            assert!(!is_late, "seed {seed}: not converged");
        }
        slowest = slowest.max(fleet.now_ms - start);
        for _ in 0..600 {
            fleet.step();
        }
        assert!(fleet.is_converged(), "seed {seed}: did not stay converged");
        for (sum, count) in counts.iter_mut().zip(fleet.counts) {
            *sum += count;
        }
    }
    let [orders, delayed, takeovers, exclusions] = counts;
    println!(
        "{orders} orders, {delayed} of them delayed beyond their expiry, {takeovers} takeovers, \
         {exclusions} exclusions, slowest convergence {slowest} ms"
    );
    assert!(orders > 5_000 && delayed > 100 && takeovers > 300 && exclusions > 20);
}
