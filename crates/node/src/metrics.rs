use cadence::{
    Counted, CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

const PREFIX: &str = "dogwoodlb";

/// Metrics that wait for the sender's thread; further ones are dropped.
const QUEUE_CAPACITY: usize = 4096;

/// Sends metrics off the request path; docs/metrics.md lists the names.
#[derive(Debug)]
pub(crate) struct Metrics(StatsdClient);

impl Metrics {
    /// Sends metrics to `target`, or nowhere.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened.
    pub(crate) fn new(target: Option<SocketAddr>) -> io::Result<Self> {
        let Some(target) = target else {
            return Ok(Self(StatsdClient::from_sink(PREFIX, NopMetricSink)));
        };
        let local = if target.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(target, socket)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
        Ok(Self(StatsdClient::from_sink(PREFIX, sink)))
    }

    /// Counts one occurrence. A metric that can't be sent is dropped.
    pub(crate) fn count(&self, name: &str) {
        let _ = self.0.incr(name);
    }

    /// Counts one occurrence with tags.
    pub(crate) fn count_tags(&self, name: &str, tags: &[(&str, &str)]) {
        let mut metric = self.0.count_with_tags(name, 1);
        for (tag, value) in tags {
            metric = metric.with_tag(tag, value);
        }
        metric.send();
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.0.gauge(name, value);
    }

    /// Records how long something took.
    pub(crate) fn time(&self, name: &str, class: &str, elapsed: Duration) {
        self.0
            .time_with_tags(name, elapsed)
            .with_tag("class", class)
            .send();
    }
}
