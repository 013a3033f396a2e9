use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::filter::dynamic_filter_fn;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer};

/// Starts logging one key=value line for each event to standard error.
pub(crate) fn start(level: &str) {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_logfmt::builder().with_target(false).layer();
    let lines = lines.with_writer(std::io::stderr);
    // Fails only if logging was started before, as in tests.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init();
}

/// The lines that a node may log in a second, and in a burst.
const LINES_PER_SECOND: f64 = 400.0;
const LINES_AT_ONCE: f64 = 1_200.0;

/// Lets a bounded rate of lines pass and counts the rest.
struct Rate {
    left: f64,
    filled: Instant,
    left_out: u64,
}

impl Rate {
    /// Returns whether a line may be written, and how many before it were left out.
    fn take(&mut self, now: Instant) -> Option<u64> {
        let gained = now.duration_since(self.filled).as_secs_f64() * LINES_PER_SECOND;
        self.left = (self.left + gained).min(LINES_AT_ONCE);
        self.filled = now;
        if self.left < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }
}

/// Starts logging one key=value line for each event to standard output, at a bounded rate and
/// without ever waiting for the reader. Keep the guard, which writes the last lines.
pub(crate) fn start_bounded(level: &str) -> WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking(std::io::stdout());
    let rate = Mutex::new(Rate {
        left: LINES_AT_ONCE,
        filled: Instant::now(),
        left_out: 0,
    });
    let notice = writer.clone();
    let bounded = dynamic_filter_fn(move |_, _| {
        let mut rate = rate.lock().unwrap_or_else(PoisonError::into_inner);
        match rate.take(Instant::now()) {
            Some(0) => true,
            Some(left_out) => {
                // The writer drops a line rather than wait.
                let _ = writeln!(notice.clone(), "message=lines_left_out count={left_out}");
                true
            }
            None => false,
        }
    });
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_logfmt::builder().with_target(false).layer();
    let lines = lines.with_writer(writer).with_filter(bounded);
    // Fails only if logging was started before, as in tests.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init();
    guard
}
