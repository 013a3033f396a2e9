//! The rows of a trainer; see docs/design.md, section 3.

use crate::error::Inner;
use crate::Result;
use dogwoodlb_types::{id, Span};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// `trainer/<t>/head`: the session, the published version and the last delivery.
///
/// Rows of steps up to the acknowledged one are obsolete.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HeadRow {
    pub(crate) operation: id::Operation,
    pub(crate) session: id::Session,
    pub(crate) version: id::Version,
    /// The name of the published weights in the weight store.
    pub(crate) object: Option<String>,
    /// The number of the most recent delivery.
    pub(crate) delivery: id::Delivery,
    /// The delivery that the trainer has not acknowledged yet.
    pub(crate) delivered: Option<DeliveredStep>,
    /// The last acknowledged delivery; all earlier steps are acknowledged too.
    pub(crate) acknowledged: Option<DeliveredStep>,
}

/// A delivery, as recorded in the head row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct DeliveredStep {
    pub(crate) step: id::Step,
    pub(crate) delivery: id::Delivery,
    /// The published version at delivery, from which the staleness of the samples is computed.
    pub(crate) version: id::Version,
}

/// `trainer/<t>/step/<n>`: a submitted step.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StepRow {
    pub(crate) operation: id::Operation,
    pub(crate) digest: String,
    /// The number of samples in each group.
    pub(crate) sizes: Vec<u32>,
    pub(crate) max_tokens: u32,
    /// The object that holds the content of the step.
    pub(crate) object: String,
    /// The number of the batch that holds the delivered attempt of each sample; empty before the
    /// delivery.
    ///
    /// Without this field, a later owner could select other attempts, for instance after the
    /// manifest raised the staleness bound.
    pub(crate) assigned: Vec<u32>,
}

impl StepRow {
    pub(crate) fn sample_count(&self) -> usize {
        self.sizes.iter().map(|size| *size as usize).sum()
    }
}

/// `trainer/<t>/step/<n>/batch/<k>`: accepted samples committed by one flush.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct BatchRow {
    pub(crate) operation: id::Operation,
    /// The object that holds the sample bodies.
    pub(crate) object: String,
    pub(crate) records: Vec<SampleRecord>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct SampleRecord {
    pub(crate) group: u32,
    pub(crate) index: u32,
    pub(crate) attempt: u32,
    /// The index of the body in the batch's object.
    pub(crate) position: u32,
    pub(crate) tokens: u32,
    pub(crate) spans: Vec<Span>,
}

/// The field that all rows share: the operation that last wrote the row.
#[derive(Debug, Deserialize)]
pub(crate) struct RowWriter {
    pub(crate) operation: id::Operation,
}

pub(crate) fn parse<T: DeserializeOwned>(key: &str, value: &str) -> Result<T> {
    serde_json::from_str(value).map_err(|cause| {
        Inner::Row {
            key: key.to_owned(),
            cause,
        }
        .into()
    })
}

pub(crate) fn to_json<T: Serialize + ?Sized>(value: &T) -> String {
    // Serialising structs of numbers and strings cannot fail.
    serde_json::to_string(value).unwrap_or_default()
}

/// A parsed row key of a trainer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Key {
    Head,
    Step(id::Step),
    Batch(id::Step, u32),
}

/// Builds and parses the row keys and object names of one trainer.
#[derive(Clone, Debug)]
pub(crate) struct Keys {
    prefix: String,
}

impl Keys {
    pub(crate) fn new(trainer: &id::Trainer) -> Self {
        Self {
            prefix: format!("trainer/{trainer}/"),
        }
    }

    pub(crate) fn prefix(&self) -> &str {
        &self.prefix
    }

    pub(crate) fn head(&self) -> String {
        format!("{}head", self.prefix)
    }

    pub(crate) fn step(&self, step: id::Step) -> String {
        format!("{}step/{step}", self.prefix)
    }

    pub(crate) fn batch(&self, step: id::Step, batch: u32) -> String {
        format!("{}step/{step}/batch/{batch}", self.prefix)
    }

    pub(crate) fn prompts_object(&self, step: id::Step, operation: id::Operation) -> String {
        format!("{}step/{step}/prompts/{operation}", self.prefix)
    }

    pub(crate) fn batch_object(&self, operation: id::Operation) -> String {
        format!("{}batch/{operation}", self.prefix)
    }

    pub(crate) fn parse(&self, key: &str) -> Result<Key> {
        let parts: Vec<&str> = key
            .strip_prefix(&self.prefix)
            .unwrap_or_default()
            .split('/')
            .collect();
        let parsed = match parts[..] {
            ["head"] => Some(Key::Head),
            ["step", step] => step.parse().ok().map(|step| Key::Step(id::Step(step))),
            ["step", step, "batch", batch] => match (step.parse(), batch.parse()) {
                (Ok(step), Ok(batch)) => Some(Key::Batch(id::Step(step), batch)),
                _ => None,
            },
            _ => None,
        };
        let unknown = || Inner::Key {
            key: key.to_owned(),
        };
        parsed.ok_or_else(|| unknown().into())
    }
}
