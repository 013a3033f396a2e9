//! Placeholder for the `lease` library.
