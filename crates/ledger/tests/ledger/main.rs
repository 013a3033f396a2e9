//! Tests of the ledger core, one module for each feature.

mod lost_reply;
mod owner;
mod sample_acceptance;
mod step_delivery;
mod step_submission;
mod table;
