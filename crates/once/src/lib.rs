//! Placeholder for the `once` library.
