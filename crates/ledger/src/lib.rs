//! Placeholder for the `ledger` library.
