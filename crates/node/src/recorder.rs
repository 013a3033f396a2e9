use crate::lock;
use dogwoodlb_timeline::{Clock, Event, Kind, RingBuffer, Stamp};
use dogwoodlb_types::{id, Timestamp};
use std::sync::Mutex;
use std::time::Duration;

/// Number of timeline events that a node retains; docs/api.md documents it.
const EVENT_CAPACITY: usize = 4096;

/// Remote stamps further ahead than this are rejected, so that a wrong wall clock on one VM
/// doesn't advance the clocks of the others.
const MAX_AHEAD: Duration = Duration::from_secs(60);

/// Stamps and logs timeline events and retains the most recent ones.
#[derive(Debug)]
pub(crate) struct Recorder {
    vm: id::Vm,
    inner: Mutex<(Clock, RingBuffer)>,
}

impl Recorder {
    pub(crate) fn new(vm: id::Vm) -> Self {
        let inner = Mutex::new((Clock::new(MAX_AHEAD), RingBuffer::new(EVENT_CAPACITY)));
        Self { vm, inner }
    }

    /// Advances the clock and returns the stamp for an outgoing frame.
    pub(crate) fn stamp(&self, wall: Timestamp) -> Stamp {
        lock(&self.inner).0.tick(wall)
    }

    /// Merges the stamp of a received frame into the clock.
    ///
    /// Returns `false` if the stamp was rejected because it is too far ahead.
    pub(crate) fn observe(&self, stamp: Stamp, wall: Timestamp) -> bool {
        lock(&self.inner).0.observe(stamp, wall).is_ok()
    }

    /// Records an event of this kind; `describe` adds its details.
    pub(crate) fn record(
        &self,
        wall: Timestamp,
        kind: &'static str,
        describe: impl FnOnce(Event) -> Event,
    ) {
        let mut inner = lock(&self.inner);
        let stamp = inner.0.tick(wall);
        let event = describe(Event::new(stamp, self.vm.clone(), Kind::new(kind)));
        log(&event);
        inner.1.push(event);
    }

    pub(crate) fn events(&self) -> Vec<Event> {
        lock(&self.inner).1.to_vec()
    }
}

fn log(event: &Event) {
    if !tracing::enabled!(tracing::Level::INFO) {
        return;
    }
    let mut detail = String::new();
    for (key, value) in &event.detail {
        if !detail.is_empty() {
            detail.push(' ');
        }
        detail.push_str(key);
        detail.push(':');
        detail.push_str(value);
    }
    tracing::info!(
        vm = %event.vm,
        event = %event.kind,
        request = event.request.as_deref(),
        sample = event.sample.as_ref().map(tracing::field::display),
        trainer = event.trainer.as_ref().map(tracing::field::display),
        lease = event.lease.as_ref().map(tracing::field::display),
        detail,
    );
}
