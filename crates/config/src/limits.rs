use std::time::Duration;

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The maximum time to receive a request head.
    pub head_timeout: Duration,
    /// The maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}
