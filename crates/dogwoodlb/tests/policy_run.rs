//! A short run of the experiment runner.

#[path = "../examples/policy/sim.rs"]
mod sim;

use sim::{run, Deployment, Results, Scenario, Setup, POLICIES, SWAP_MS};

fn short(deployment: &str, scenario: Scenario) -> Results {
    let setup = Setup {
        deployment: Deployment::named(deployment).unwrap(),
        policy: POLICIES[0],
        scenario,
        seed: 7,
        millis: 300_000,
        swap_ms: SWAP_MS,
        with_trainers: true,
    };
    run(setup).unwrap()
}

/// Guards against a runner whose results depend on anything but the seed, or that breaks the
/// staleness bound, delivers nothing or loses customers without a fault.
#[test]
fn seeded_run() {
    let scenario = Scenario::ALL[0];
    assert_eq!((scenario.name(), POLICIES[0].name), ("none", "ours"));
    for deployment in ["tok", "kauri"] {
        let results = short(deployment, scenario);
        assert_eq!(results, short(deployment, scenario));
        assert!(results.steps >= 1.0, "{deployment}: {results:?}");
        assert!(results.staleness_p99 <= 2.0, "{deployment}: {results:?}");
        assert!((0.0..1.0).contains(&results.idle_share));
        assert!(results.refused_share < 0.01, "{deployment}: {results:?}");
        assert!(results.answer_p99_ms >= results.answer_p50_ms);
    }
}
