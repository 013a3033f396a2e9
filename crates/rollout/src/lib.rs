//! Placeholder for the `rollout` library.
