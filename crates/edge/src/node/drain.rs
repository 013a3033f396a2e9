//! The shutdown of a node.

use crate::clock;
use crate::context::NodeContext;
use crate::front::FrontHandler;
use crate::leader::LedServices;
use dogwoodlb_types::Instant;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// The maximum time for which callers keep a list of addresses, as a multiple of the stated time
/// to live.
const ADDRESS_TTL_FACTOR: u32 = 3;
/// Reserved at the end of the grace period, so that the process exits before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Reserved for requests in flight if the services can't be handed over earlier.
const FINISH_TIME: Duration = Duration::from_millis(500);
/// The time before the exit in which requests still pending are answered with a time-out.
const ABORT_MARGIN: Duration = Duration::from_millis(200);
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Shuts the node down: stops announcing it to callers, hands over its services, then finishes
/// the requests in flight.
pub(super) async fn run(
    context: &NodeContext,
    front: &FrontHandler,
    led_services: &LedServices,
    shutdown: &watch::Sender<bool>,
) {
    let began = clock::now();
    context.peers.set_leaving();
    tracing::info!(in_flight = front.in_flight.get(), "draining");
    let address_lifetime = context.settings.address_ttl() * ADDRESS_TTL_FACTOR;
    let grace = context.settings.grace().saturating_sub(EXIT_MARGIN);
    let until = began + grace;
    front.forwarder.begin_drain(until - ABORT_MARGIN);
    sleep(address_lifetime.min(grace.saturating_sub(FINISH_TIME))).await;
    // While the store can't be reached, services can't be handed over.
    wait_until(until - FINISH_TIME, || led_services.is_empty()).await;
    context.peers.set_closing();
    context.cluster.notify_changed();
    shutdown.send_replace(true);
    // A forwarded request may take as long as its route allows, and its caller may read the
    // response slowly.
    wait_until_drained(front, until - ABORT_MARGIN).await;
    front.aborting.send_replace(true);
    wait_until_drained(front, until).await;
    tracing::info!(
        in_flight = front.in_flight.get(),
        pending_ends = front.pending_ends.get(),
        connections = front.open_connections.get(),
        took_ms = clock::now().saturating_since(began).as_millis(),
        "stopped"
    );
}

/// Waits until no work for callers remains or the deadline `until` has passed.
///
/// If the thread was delayed, connections may wait to be accepted, so the listener gets a turn
/// before the node counts as drained.
async fn wait_until_drained(front: &FrontHandler, until: Instant) {
    loop {
        wait_until(until, || front.is_drained()).await;
        sleep(DRAIN_POLL.min(until.saturating_since(clock::now()))).await;
        if front.is_drained() || clock::now() >= until {
            return;
        }
    }
}

/// Waits until `is_over` returns true or the deadline `until` has passed.
async fn wait_until(until: Instant, is_over: impl Fn() -> bool) {
    while !is_over() && clock::now() < until {
        sleep(DRAIN_POLL).await;
    }
}
