//! How long after its write a manifest is in force on all nodes, in virtual time.

use crate::generated::{self, Size, TODAY};
use crate::{Report, Result};
use dogwoodlb_external::table::Row;
use dogwoodlb_manifest::adopt::{Action, Adoption, Event, Proposal};
use dogwoodlb_manifest::record::{self, Record, CURRENT};
use dogwoodlb_types::{id, Instant};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
/// How long a read of the pointer and one of the text take; both are assumed.
const POINTER_READ: Duration = Duration::from_millis(40);
const TEXT_READ: Duration = Duration::from_millis(200);

struct Node {
    adoption: Adoption,
    due: Vec<(Instant, Event)>,
}

/// The rows of a revision.
struct Rows {
    pointer: Row,
    text: Row,
}

pub(crate) fn run(report: &mut Report) -> Result<()> {
    for nodes in [11, 320] {
        for promised in [nodes, nodes / 5, 0] {
            let worst = simulate(nodes, promised)?;
            let name = format!("adoption.in_force_ms.{nodes}_nodes_{promised}_asked");
            report.add(name, worst);
        }
    }
    Ok(())
}

fn rows(revision: u64, size: Size) -> Result<Rows> {
    let record = Record {
        revision: id::Revision(revision),
        operation: id::Operation(u128::from(revision)),
        operator: "ana".parse()?,
        text: generated::text(size, revision as usize),
    };
    let txn = record.commit(revision - 1);
    let row = |key: &str| -> Result<Row> {
        let put = txn.puts.iter().find(|put| put.key == key);
        let put = put.ok_or("a row is missing")?;
        Ok(Row {
            key: put.key.clone(),
            version: revision,
            value: put.value.clone(),
        })
    };
    Ok(Rows {
        pointer: row(CURRENT)?,
        text: row(&record::key(id::Revision(revision)))?,
    })
}

fn simulate(count: usize, promised: usize) -> Result<f64> {
    let mut rng = SmallRng::seed_from_u64(1);
    // The size of the text doesn't matter here: the time of its read is a constant.
    let size = Size {
        nodes: count,
        ..TODAY
    };
    let (old, new) = (rows(1, size)?, rows(2, size)?);
    let mut nodes = Vec::new();
    for index in 0..count {
        let started = Instant::from_millis(rng.next_u64() % 500);
        let vm = format!("entry-{index:04}").parse()?;
        nodes.push(Node {
            adoption: Adoption::new(vm, started),
            due: Vec::new(),
        });
    }
    let mut now = Instant::from_millis(0);
    let proposed = Instant::from_millis(3_000);
    let written = proposed + Duration::from_millis(100);
    loop {
        now = now + TICK;
        if now == proposed {
            for node in nodes.iter_mut().take(promised) {
                let proposal = Proposal {
                    operation: id::Operation(2),
                    operator: "ana".parse()?,
                    base: id::Revision(1),
                    row_version: 1,
                    text: generated::text(size, 2),
                };
                node.adoption.on_proposal(&proposal, now, &mut rng);
            }
        }
        let current = if now >= written { &new } else { &old };
        for node in &mut nodes {
            step(node, now, current, &mut rng);
        }
        let lagging = nodes
            .iter()
            .filter(|node| node.adoption.revision() < id::Revision(2));
        if lagging.count() == 0 {
            return Ok(now.saturating_since(written).as_millis() as f64);
        }
        if now > written + Duration::from_secs(10) {
            return Err("a node doesn't adopt the manifest".into());
        }
    }
}

/// Hands on the replies that are due; a reply shows the rows of the moment it was sent for.
fn step(node: &mut Node, now: Instant, current: &Rows, rng: &mut SmallRng) {
    let (due, later) = std::mem::take(&mut node.due)
        .into_iter()
        .partition(|(at, _)| *at <= now);
    node.due = later;
    let mut events: Vec<Event> = Vec::from_iter(due)
        .into_iter()
        .map(|(_, event): (Instant, Event)| event)
        .collect();
    events.push(Event::Tick);
    for event in events {
        for action in node.adoption.on_event(event, now, rng) {
            match action {
                Action::Read => {
                    let row = Some(current.pointer.clone());
                    let event = Event::Read { sent_at: now, row };
                    node.due.push((now + POINTER_READ, event));
                }
                Action::ReadRevision(_) => {
                    let row = Some(current.text.clone());
                    node.due.push((now + TEXT_READ, Event::Revision { row }));
                }
                Action::Close(_) | Action::Adopted(_) => {}
            }
        }
    }
}
