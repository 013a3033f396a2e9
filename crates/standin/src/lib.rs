//! Placeholder for the `standin` library.
