//! Tests of a whole node with stand-ins of the platform.

mod nodes {
    mod cluster;
    mod readded_trainer;
    mod unapplied_manifest;
    mod unwanted_calls;
}
