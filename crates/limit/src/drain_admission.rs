use dogwoodlb_types::Instant;

/// Decides which requests a process that shuts down still accepts.
///
/// The exit cuts off whatever is unfinished. A request that was cut off may be lost to its caller,
/// while one that was refused can be sent to another process at once. How long a request will take
/// isn't known before it ends, whatever others took. So the deadline of its caller decides: if it
/// comes before the exit, the exit can't cut the request off.
///
/// The answer for a request doesn't change as time passes, so that a request that was accepted is
/// not refused later. See docs/incidents/guessed-stream-lengths.md.
///
/// # Examples
///
/// ```
/// use dogwoodlb_limit::DrainAdmission;
/// use dogwoodlb_types::Instant;
///
/// let at = Instant::from_millis;
/// let mut admission = DrainAdmission::default();
/// assert!(admission.admits(Some(at(20_000))));
///
/// admission.begin(at(10_000));
/// assert!(admission.admits(Some(at(10_000))));
/// assert!(!admission.admits(Some(at(10_001))));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainAdmission {
    /// When requests that are still unfinished are cut off.
    exit_at: Option<Instant>,
}

impl DrainAdmission {
    /// Begins the shutdown; requests that are unfinished at `exit_at` are cut off.
    pub fn begin(&mut self, exit_at: Instant) {
        self.exit_at = Some(exit_at);
    }

    /// Returns whether to accept a request: the process doesn't shut down, or the caller waits no
    /// longer than until the exit. A request without a deadline may take any time.
    pub fn admits(&self, deadline: Option<Instant>) -> bool {
        let Some(exit_at) = self.exit_at else {
            return true;
        };
        deadline.is_some_and(|deadline| deadline <= exit_at)
    }
}
