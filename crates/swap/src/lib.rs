//! Placeholder for the `swap` library.
