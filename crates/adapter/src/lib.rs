//! Placeholder for the `adapter` library.
