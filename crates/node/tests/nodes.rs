//! Tests of a whole node with stand-ins of the platform.

mod nodes {
    mod cluster;
    mod readded_trainer;
    mod unwanted_calls;
}
