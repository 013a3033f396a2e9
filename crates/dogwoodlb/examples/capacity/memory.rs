//! The resident memory of each state at the target's size.
//!
//! A counting allocator would need `unsafe`, which the workspace forbids. So a number of copies
//! is built and the growth of this process's resident set is divided by that number.

use crate::generated::{self, TARGET, TODAY};
use crate::{Report, Result};
use dogwoodlb_external::table::{Check, Outcome};
use dogwoodlb_ledger::{Content, Group, Ledger, Next, Settings, Start};
use dogwoodlb_manifest::from_str;
use dogwoodlb_member::{Membership, Peer};
use dogwoodlb_rollout::Planner;
use dogwoodlb_route::{CacheChange, CacheEvent, Replica, Router};
use dogwoodlb_swap::Swap;
use dogwoodlb_types::{id, Instant, Span};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::fs::read_to_string;

const PAGE_BYTES: f64 = 4_096.0;
/// The growth that is waited for, far above what the allocator keeps in reserve.
const GROWTH_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
const MAX_COPIES: usize = 20_000;

/// Returns the resident set of this process in bytes.
pub(crate) fn resident() -> Result<f64> {
    let statm = read_to_string("/proc/self/statm")?;
    let pages = statm.split(' ').nth(1).ok_or("statm has no second field")?;
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}

fn measure<T>(report: &mut Report, name: &str, build: impl Fn() -> Result<T>) -> Result<()> {
    let before = resident()?;
    let (mut copies, mut growth) = (Vec::new(), 0.0);
    while growth < GROWTH_BYTES && copies.len() < MAX_COPIES {
        copies.push(build()?);
        growth = resident()? - before;
    }
    let each = growth / copies.len() as f64;
    // Memory that is freed here would be used by the next state without any growth.
    std::mem::forget(copies);
    report.add(format!("memory.{name}.bytes"), each);
    Ok(())
}

pub(crate) fn run(report: &mut Report) -> Result<()> {
    for (name, size) in [("today", TODAY), ("target", TARGET)] {
        let text = generated::text(size, 0);
        measure(report, &format!("manifest.{name}"), || Ok(from_str(&text)?))?;
    }
    for nodes in [11, 320] {
        measure(report, &format!("members.{nodes}"), || members(nodes))?;
    }
    for count in [9, 136, 1_900] {
        measure(report, &format!("router.{count}"), || router(count))?;
        measure(report, &format!("swap.{count}"), || swap(count))?;
    }
    measure(report, "planner.3_steps_1024", planner)?;
    measure(report, "ledger.step_1024", ledger)
}

fn members(nodes: usize) -> Result<Membership> {
    let mut rng = SmallRng::seed_from_u64(1);
    let vm = id::Vm::clone(&"entry-0000".parse()?);
    let mut members = Membership::new(vm, id::Incarnation(1), &mut rng);
    let mut peers = Vec::new();
    for index in 0..nodes {
        peers.push(Peer {
            vm: format!("entry-{index:04}").parse()?,
            address: ([10, 0, 0, 1], 9_000).into(),
        });
    }
    members.set_peers(&peers, &mut rng)?;
    Ok(members)
}

/// Returns a router whose subset has full prefix caches.
fn router(count: usize) -> Result<Router> {
    let mut router = Router::new(dogwoodlb_route::Settings {
        vm: "entry-0000".parse()?,
        region: "region-0".parse()?,
        centre: "centre-00".parse()?,
    });
    let mut replicas = Vec::new();
    for index in 0..count {
        replicas.push(Replica {
            upstream: format!("engine-{index:04}").parse()?,
            region: format!("region-{}", index % 4).parse()?,
            centre: format!("centre-{:02}", index % 11).parse()?,
            slots: 32,
            leaving: false,
        });
    }
    router.update(&replicas)?;
    let subset: Vec<_> = router.subset().cloned().collect();
    for upstream in subset {
        for sequence in 0..128 {
            let change = CacheChange::Stored(sequence);
            router.on_cache_event(&upstream, CacheEvent { sequence, change })?;
        }
    }
    Ok(router)
}

fn swap(count: usize) -> Result<Swap> {
    let mut swap = Swap::new("scorer".parse()?, dogwoodlb_swap::Settings::default());
    let mut replicas = Vec::new();
    for index in 0..count {
        replicas.push(dogwoodlb_swap::Replica {
            upstream: format!("engine-{index:04}").parse()?,
            checks_fencing: true,
        });
    }
    swap.set_replicas(&replicas)?;
    Ok(swap)
}

fn planner() -> Result<Planner> {
    let settings = dogwoodlb_rollout::Settings {
        trainer: "trainer-01".parse()?,
        staleness_bound: 2,
        idle_weight: 0.5,
    };
    let mut planner = Planner::new(settings, id::Version(1));
    for step in 1..=3 {
        planner
            .submit(id::Step(step), &[8; 128])
            .map_err(|refusal| refusal.message)?;
    }
    planner.poll(Instant::from_millis(1), 1_024);
    Ok(planner)
}

/// Returns a ledger with a step of 1,024 samples that are accepted and stored.
fn ledger() -> Result<Ledger> {
    let settings = Settings {
        trainer: "trainer-01".parse()?,
        staleness_bound: 2,
        initial_version: id::Version(1),
        max_buffer_bytes: 64 << 20,
    };
    let key = "lease/trainer/trainer-01/fence".to_owned();
    let mut ledger = Ledger::load(settings, Check { key, version: 7 }, &[])?;
    let fail = |refusal: dogwoodlb_types::Refusal| refusal.message;
    let start = ledger.open_session(id::Operation(1)).map_err(fail)?;
    apply(&mut ledger, start)?;
    let group = || Group {
        prompt: "p".repeat(512),
        size: 8,
    };
    let content = Content {
        groups: (0..128).map(|_| group()).collect(),
        max_tokens: 1_024,
    };
    let start = ledger
        .submit(ledger.session(), id::Step(1), &content, id::Operation(2))
        .map_err(fail)?;
    apply(&mut ledger, start)?;
    for place in 0..1_024 {
        let sample = id::Sample::new("trainer-01".parse()?, id::Step(1), place / 8, place % 8);
        let span = Span {
            version: id::Version(1),
            from: 0,
            to: 1_024,
        };
        ledger
            .accept(dogwoodlb_ledger::FinishedAttempt {
                sample,
                attempt: 0,
                tokens: 1_024,
                spans: vec![span],
                body: "b".repeat(64),
            })
            .map_err(fail)?;
        let now = Instant::from_millis(u64::from(place) * 200);
        let operation = id::Operation(u128::from(place) + 10);
        if let Some(commit) = ledger.flush(now, operation) {
            apply(&mut ledger, Start::Commit(commit))?;
        }
    }
    Ok(ledger)
}

fn apply(ledger: &mut Ledger, start: Start) -> Result<()> {
    let Start::Commit(commit) = start else {
        return Err("no transaction".into());
    };
    match ledger.on_commit(commit.operation, Ok(Outcome::Applied { version: 8 })) {
        Next::Done(_) => Ok(()),
        _ => Err("the transaction had no effect".into()),
    }
}
