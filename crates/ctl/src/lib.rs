//! Placeholder for the `ctl` library.
