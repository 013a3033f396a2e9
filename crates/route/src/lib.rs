//! Placeholder for the `route` library.
