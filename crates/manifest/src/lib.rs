//! Placeholder for the `manifest` library.
