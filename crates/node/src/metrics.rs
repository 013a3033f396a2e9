use cadence::{
    Counted, CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

const PREFIX: &str = "dogwoodlb";

/// Metrics queued for the sender thread; metrics beyond this are dropped.
const QUEUE_CAPACITY: usize = 4096;

/// StatsD client that sends from its own thread; docs/metrics.md lists the metrics.
#[derive(Debug)]
pub(crate) struct Metrics(StatsdClient);

impl Metrics {
    /// Creates a client that sends to `target`, or discards metrics if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket can be opened.
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

    /// Increments a counter. Send errors are ignored.
    pub(crate) fn count(&self, name: &str) {
        let _ = self.0.incr(name);
    }

    /// Increments a counter with tags.
    pub(crate) fn count_tags(&self, name: &str, tags: &[(&str, &str)]) {
        let mut metric = self.0.count_with_tags(name, 1);
        for (tag, value) in tags {
            metric = metric.with_tag(tag, value);
        }
        metric.send();
    }

    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.0.gauge(name, value);
    }

    /// Records a duration, tagged with the request class.
    pub(crate) fn time(&self, name: &str, class: &str, elapsed: Duration) {
        self.0
            .time_with_tags(name, elapsed)
            .with_tag("class", class)
            .send();
    }
}
