//! Placeholder for the `node` library.
