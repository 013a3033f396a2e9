//! The guarantees of a batch, from the configuration and the store's clock.

use super::Coordinator;
use crate::batch_store::Error;
use dogwoodlb_batch::BatchHeader;
use dogwoodlb_config::RouteKind;
use std::time::Duration;

/// The lifetime of items whose route sets none.
const DEFAULT_ITEM_LIFETIME: Duration = Duration::from_secs(30);

/// What the route, the service and the age of a batch guarantee for its items.
pub(super) struct Guarantees {
    /// Whether the configuration still has the route of the batch. Otherwise no item is started.
    pub(super) has_route: bool,
    /// Whether all events of a text must come from one weight version. A text that the batch already
    /// has may have been promised so if the route is gone.
    pub(super) single_version: bool,
    pub(super) max_attempts: u32,
    pub(super) event_tokens: u64,
    /// The version of the configuration.
    pub(super) config_version: u64,
    pub(super) age: Duration,
    /// The time until unfinished items are abandoned.
    pub(super) time_left: Duration,
}

impl Coordinator {
    /// Returns the guarantees of a batch, which are kept as long as it runs here. The configuration
    /// must have been refreshed after the batch was accepted: a node that has not read it for a
    /// while may not know a new route, and a default in its place would break what the caller was
    /// promised.
    pub(super) fn guarantees(&self, header: &BatchHeader) -> Result<Guarantees, Error> {
        let config = self.context.cluster.config();
        let config = config.ok_or(Error::NotKnown("configuration"))?;
        let service = config.service(&self.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let engine = engine.ok_or(Error::NotKnown("service"))?;
        let now_ms = self.context.storage.earliest_time_ms();
        let now_ms = now_ms.ok_or(Error::NotKnown("age"))?;
        let age = Duration::from_millis(now_ms.saturating_sub(header.submitted_ms));
        let route = config.route(&header.host, &header.path);
        let route = route.filter(|route| route.kind == RouteKind::Rollout);
        let lifetime = route.and_then(|route| route.item_ttl);
        Ok(Guarantees {
            has_route: route.is_some(),
            single_version: route.is_none_or(|route| route.single_version),
            max_attempts: route.map_or(1, |route| route.max_attempts),
            event_tokens: engine.event_tokens,
            config_version: config.version(),
            age,
            time_left: lifetime
                .unwrap_or(DEFAULT_ITEM_LIFETIME)
                .saturating_sub(age),
        })
    }
}
