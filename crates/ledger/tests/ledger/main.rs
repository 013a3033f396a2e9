//! Tests of the sample ledger, one module per feature.

mod exactly_once;
mod lost_reply;
mod owner;
mod sample_acceptance;
mod step_delivery;
mod step_submission;
#[path = "../../../lease/tests/fake/table.rs"]
mod table;
