use crate::lock;
use dogwoodlb_timeline::{Clock, Event, Kind, Ring, Stamp};
use dogwoodlb_types::{id, Timestamp};
use std::sync::Mutex;
use std::time::Duration;

/// The events that a node keeps; docs/api.md states the number.
const EVENT_CAPACITY: usize = 4096;

/// A clock that is further ahead than this is wrong and must not move other clocks.
const MAX_AHEAD: Duration = Duration::from_secs(60);

/// Stamps events, logs them and keeps the most recent ones.
#[derive(Debug)]
pub(crate) struct Recorder {
    vm: id::Vm,
    inner: Mutex<(Clock, Ring)>,
}

impl Recorder {
    pub(crate) fn new(vm: id::Vm) -> Self {
        let inner = Mutex::new((Clock::new(MAX_AHEAD), Ring::new(EVENT_CAPACITY)));
        Self { vm, inner }
    }

    /// Returns the stamp of a frame about to be sent.
    pub(crate) fn stamp(&self, wall: Timestamp) -> Stamp {
        lock(&self.inner).0.tick(wall)
    }

    /// Takes in the stamp of a received frame; returns whether it was plausible.
    pub(crate) fn observe(&self, stamp: Stamp, wall: Timestamp) -> bool {
        lock(&self.inner).0.observe(stamp, wall).is_ok()
    }

    /// Records an event, which `describe` completes.
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
