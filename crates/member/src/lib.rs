//! Placeholder for the `member` library.
