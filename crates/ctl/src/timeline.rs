use crate::args;
use crate::client::Client;
use crate::error::{Category, Error};
use crate::log_lines;
use crate::node;
use crate::output::Output;
use crate::view::require_any_response;
use crate::Result;
use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The response to `GET /v1/timeline`.
#[derive(Debug, Deserialize)]
struct TimelineResponse {
    events: Vec<Event>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Event {
    millis: i64,
    logical: u32,
    vm: String,
    kind: String,
    #[serde(default)]
    request: Value,
    #[serde(default)]
    sample: Value,
    #[serde(default)]
    trainer: Value,
    #[serde(default)]
    lease: Value,
    #[serde(default)]
    detail: Value,
}

pub(crate) fn run(
    args: &args::Timeline,
    nodes: &[SocketAddr],
    client: &dyn Client,
    output: &mut Output<'_>,
) -> Result<()> {
    if let Some(filter) = args.unsupported_filter() {
        let advice = "--sample, --trainer and --lease apply to events of nodes, --request to both \
                      sources, and the other filters to log files.";
        return Err(Error::new(
            Category::Usage,
            "filter rejected",
            "timeline",
            format!("{filter} does not apply to the source of the events"),
            advice,
        ));
    }
    if !args.log.is_empty() {
        return log_lines::run(args, output);
    }
    let targets = node::targets(client, nodes)?;
    let responses = node::get_all::<TimelineResponse>(client, &targets, "/v1/timeline");
    require_any_response(&targets, &responses)?;
    let mut events = Vec::new();
    for ((name, address), response) in targets.iter().zip(responses) {
        match response {
            Ok(response) => events.extend(response.events),
            Err(error) => {
                output.note(&format!(
                    "events of {name} ({address}) are missing: {error}"
                ));
            }
        }
    }
    events.retain(|event| event.matches(args));
    events.sort_by(|a, b| (a.millis, a.logical, &a.vm).cmp(&(b.millis, b.logical, &b.vm)));
    output.write(&json!({"events": events}), || {
        let lines = events.iter().map(Event::to_text);
        lines.collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

impl Event {
    fn matches(&self, args: &args::Timeline) -> bool {
        let filters = [
            (&args.request, &self.request),
            (&args.sample, &self.sample),
            (&args.trainer, &self.trainer),
            (&args.lease, &self.lease),
        ];
        let passes = |wanted: &Option<String>, value: &Value| match wanted {
            Some(wanted) => value_to_text(value).as_ref() == Some(wanted),
            None => true,
        };
        filters.iter().all(|(wanted, value)| passes(wanted, value))
    }

    fn to_text(&self) -> String {
        let mut line = format!("{}.{} {} {}", self.millis, self.logical, self.vm, self.kind);
        let fields = [
            ("request", &self.request),
            ("sample", &self.sample),
            ("trainer", &self.trainer),
            ("lease", &self.lease),
            ("detail", &self.detail),
        ];
        for (name, value) in fields {
            if let Some(value) = value_to_text(value) {
                line.push_str(&format!(" {name}={value}"));
            }
        }
        line
    }
}

/// Formats a value as text, a sample as `trainer/step/group/index`; returns `None` for null.
fn value_to_text(value: &Value) -> Option<String> {
    match value {
        Value::Null => None,
        Value::String(text) => Some(text.clone()),
        _ => {
            let sample = serde_json::from_value::<id::Sample>(value.clone());
            Some(sample.map_or_else(|_| value.to_string(), |sample| sample.to_string()))
        }
    }
}
