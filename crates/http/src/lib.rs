//! Placeholder for the `http` library.
