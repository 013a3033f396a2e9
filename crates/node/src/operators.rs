//! The HTTP endpoints for operators.

use crate::lock;
use crate::shared::Shared;
use crate::trainers::parse_body;
use crate::{commit, peers};
use dogwoodlb_http::{Request, Response};
use dogwoodlb_manifest::record::{self, Record};
use dogwoodlb_types::{id, Code, Refusal};
use dogwoodlb_wire::State;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CommitBody {
    base: id::Revision,
    operator: id::Operator,
    text: String,
}

#[derive(Serialize)]
struct Status {
    vm: id::Vm,
    incarnation: id::Incarnation,
    revision: id::Revision,
    authority: &'static str,
    leaving: bool,
    in_flight: usize,
    leases: Vec<Lease>,
    members: Vec<Member>,
}

#[derive(Serialize)]
struct Lease {
    lease: id::Lease,
    fence: id::Fence,
}

#[derive(Serialize)]
struct Member {
    vm: id::Vm,
    state: &'static str,
    revision: id::Revision,
}

const fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
        State::Dead => "dead",
    }
}

pub(crate) fn status(shared: &Shared) -> Response {
    let now = shared.now();
    let leases = lock(&shared.leases).clone();
    let leases = leases.iter().filter_map(|lease| {
        let fence = lease.guard(now)?.fence;
        Some(Lease {
            lease: lease.label().clone(),
            fence,
        })
    });
    let entries = lock(&shared.adoption)
        .manifest()
        .map(|manifest| manifest.entry_vms.clone());
    let revision = lock(&shared.adoption).revision();
    let revisions = lock(&shared.revisions).clone();
    let members = {
        let members = lock(&shared.members);
        let entries = entries.unwrap_or_default().into_iter();
        let entries = entries.map(|entry| Member {
            state: members.state(&entry.vm).map_or("unknown", state_name),
            revision: match entry.vm == shared.settings.vm {
                true => revision,
                false => revisions.get(&entry.vm).copied().unwrap_or_default(),
            },
            vm: entry.vm,
        });
        entries.collect()
    };
    let leaving = !lock(&shared.drain).is_listed();
    Response::json(
        200,
        &Status {
            vm: shared.settings.vm.clone(),
            incarnation: shared.incarnation,
            revision,
            authority: shared.authority(),
            leaving,
            // Excludes this request.
            in_flight: shared.in_flight.load(Ordering::SeqCst).saturating_sub(1),
            leases: leases.collect(),
            members,
        },
    )
}

pub(crate) fn timeline(shared: &Shared) -> Response {
    Response::json(200, &json!({ "events": shared.recorder.events() }))
}

/// Returns the text of the manifest revision that this node holds.
pub(crate) fn manifest(shared: &Shared) -> Result<Response, Refusal> {
    let revision = lock(&shared.adoption).revision();
    if revision == id::Revision(0) {
        return Ok(Response::json(200, &json!({ "revision": 0, "text": "" })));
    }
    let row = shared
        .platform
        .table
        .read(&record::key(revision), CALL_TIMEOUT);
    shared.count_store_failure(&row);
    let row = row.map_err(|error| Refusal::not_run(Code::StoreUnavailable, error.to_string()))?;
    let Some(record) = row.as_ref().and_then(Record::from_row) else {
        return Err(shared.invariant_violated(
            "manifest_row",
            format!("table has no text for manifest revision {revision}"),
        ));
    };
    Ok(Response::json(
        200,
        &json!({ "revision": revision, "text": record.text }),
    ))
}

pub(crate) fn commit(shared: &Arc<Shared>, request: &Request) -> Result<Response, Refusal> {
    let CommitBody {
        base,
        operator,
        text,
    } = parse_body(request)?;
    let revision = commit::run(
        shared,
        commit::CommitRequest {
            base,
            operator,
            text,
        },
    )?;
    Ok(Response::json(200, &json!({ "revision": revision })))
}

pub(crate) fn drain(shared: &Shared) -> Response {
    peers::begin_drain(shared);
    Response::json(200, &json!({}))
}
