//! Placeholder for the `limit` library.
