use crate::{Event, Kind, Stamp};
use dogwoodlb_types::id;

/// Selects events; a field that is `None` matches every event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// Only events of this VM.
    pub vm: Option<id::Vm>,
    /// Only events of this kind.
    pub kind: Option<Kind>,
    /// Only events that concern this request.
    pub request: Option<String>,
    /// Only events that concern this sample.
    pub sample: Option<id::Sample>,
    /// Only events that concern this trainer.
    pub trainer: Option<id::Trainer>,
    /// Only events that concern this lease.
    pub lease: Option<id::Lease>,
    /// Only events after this stamp, to continue from the last event seen.
    pub after: Option<Stamp>,
}

impl Filter {
    /// Returns whether the event matches all fields of the filter.
    pub fn matches(&self, event: &Event) -> bool {
        self.vm.as_ref().is_none_or(|vm| *vm == event.vm)
            && self.kind.as_ref().is_none_or(|kind| *kind == event.kind)
            && field_matches(&self.request, &event.request)
            && field_matches(&self.sample, &event.sample)
            && field_matches(&self.trainer, &event.trainer)
            && field_matches(&self.lease, &event.lease)
            && self.after.is_none_or(|after| event.stamp > after)
    }
}

fn field_matches<T: PartialEq>(wanted: &Option<T>, found: &Option<T>) -> bool {
    wanted.is_none() || wanted == found
}
