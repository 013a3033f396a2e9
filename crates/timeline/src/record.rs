//! The JSON representation of an event.

use crate::error::Inner;
use crate::{Error, Event, Kind, Result, Stamp};
use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Deserialize, Serialize)]
pub(crate) struct Record {
    millis: i64,
    logical: u32,
    vm: id::Vm,
    kind: String,
    #[serde(default)]
    request: Option<String>,
    #[serde(default)]
    sample: Option<String>,
    #[serde(default)]
    trainer: Option<id::Trainer>,
    #[serde(default)]
    lease: Option<id::Lease>,
    #[serde(default)]
    detail: BTreeMap<String, String>,
}

impl From<Event> for Record {
    fn from(event: Event) -> Self {
        Self {
            millis: event.stamp.millis,
            logical: event.stamp.logical,
            vm: event.vm,
            kind: event.kind.as_str().to_owned(),
            request: event.request,
            sample: event.sample.map(|sample| sample.to_string()),
            trainer: event.trainer,
            lease: event.lease,
            detail: event.detail,
        }
    }
}

impl TryFrom<Record> for Event {
    type Error = Error;

    fn try_from(record: Record) -> Result<Self> {
        let stamp = Stamp {
            millis: record.millis,
            logical: record.logical,
        };
        let mut event = Event::new(stamp, record.vm, Kind::try_from(record.kind)?);
        if let Some(request) = record.request {
            event = event.request(request);
        }
        event.sample = record.sample.as_deref().map(parse_sample).transpose()?;
        event.trainer = record.trainer;
        event.lease = record.lease;
        for (key, value) in record.detail {
            event = event.with(&key, value);
        }
        Ok(event)
    }
}

fn parse_sample(text: &str) -> Result<id::Sample> {
    // Split off a fifth part, so that a text with too many parts is rejected.
    let parts: Vec<&str> = text.splitn(5, '/').collect();
    let [trainer, step, group, index] = parts[..] else {
        return Err(malformed());
    };
    Ok(id::Sample::new(
        trainer.parse().map_err(|_| malformed())?,
        id::Step(step.parse().map_err(|_| malformed())?),
        group.parse().map_err(|_| malformed())?,
        index.parse().map_err(|_| malformed())?,
    ))
}

fn malformed() -> Error {
    Inner::Malformed { field: "sample" }.into()
}
