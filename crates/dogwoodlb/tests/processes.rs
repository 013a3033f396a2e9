//! Tests with every part in a process of its own, over real sockets.

#[path = "processes/bad_input.rs"]
mod bad_input;
#[path = "processes/capture.rs"]
mod capture;
#[path = "processes/closed_ports.rs"]
mod closed_ports;
#[path = "processes/cluster.rs"]
mod cluster;
#[path = "processes/early_signal.rs"]
mod early_signal;
#[path = "processes/edge.rs"]
mod edge;
#[path = "processes/engine_faults.rs"]
mod engine_faults;
#[path = "processes/frozen_owner.rs"]
mod frozen_owner;
#[path = "processes/graceful_drain.rs"]
mod graceful_drain;
#[path = "processes/killed_owner.rs"]
mod killed_owner;
#[path = "processes/late_wait.rs"]
mod late_wait;
#[path = "processes/lost_replies.rs"]
mod lost_replies;
#[path = "processes/process.rs"]
mod process;
#[path = "processes/refused_submit.rs"]
mod refused_submit;
#[path = "processes/state.rs"]
mod state;
#[path = "processes/store_outage.rs"]
mod store_outage;
#[path = "processes/two_operators.rs"]
mod two_operators;
#[path = "processes/whole_path.rs"]
mod whole_path;
