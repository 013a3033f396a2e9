use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::EnvFilter;

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
