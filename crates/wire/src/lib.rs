//! Placeholder for the `wire` library.
