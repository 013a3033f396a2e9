//! Placeholder for the `timeline` library.
