//! Rate limiting of the node's traffic between regions.

use crate::lock;
use crate::shared::Shared;
use dogwoodlb_limit::{LinkDecision, LinkLimiter};
use dogwoodlb_manifest::Manifest;
use dogwoodlb_route::Locality;
use dogwoodlb_types::{Class, Code, Instant, Refusal};
use std::time::Duration;

/// Capacity of the inter-region link in each direction, 450 Mb/s.
const LINK_BYTES_PER_S: u64 = 450_000_000 / 8;

/// Longest sleep before the limiter is asked again.
const MAX_SLEEP: Duration = Duration::from_millis(100);

impl Shared {
    /// Sets the node's share of the link: the capacity divided equally among the entry VMs of
    /// its region.
    pub(crate) fn set_link_share(&self, manifest: &Manifest) {
        let region = &self.settings.region;
        let in_region = manifest
            .entry_vms
            .iter()
            .filter(|entry| entry.region == *region);
        let nodes = in_region.count().max(1) as u64;
        let mut link = lock(&self.link);
        if link.0 != nodes {
            *link = (
                nodes,
                LinkLimiter::new(LINK_BYTES_PER_S / nodes, self.now()),
            );
        }
    }

    /// Reserves link capacity for `bytes` and blocks until they may be sent.
    ///
    /// Only calls to another region are limited.
    ///
    /// # Errors
    ///
    /// Refuses background work while the link is saturated, and other work that would have to
    /// wait past `deadline`. Nothing has been sent in either case.
    pub(crate) fn reserve_link(
        &self,
        locality: Locality,
        class: Class,
        bytes: usize,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        if locality != Locality::Remote {
            return Ok(());
        }
        let bytes = bytes as u64;
        loop {
            let now = self.now();
            let decision = lock(&self.link).1.admit(class, bytes, now);
            match decision {
                LinkDecision::Send => return Ok(()),
                LinkDecision::Refuse(refusal) => return Err(refusal),
                LinkDecision::Wait(wait) if now + wait <= deadline => {
                    std::thread::sleep(wait.min(MAX_SLEEP));
                }
                LinkDecision::Wait(wait) => {
                    let message = "inter-region link is saturated beyond the request deadline";
                    let refusal = Refusal::not_run(Code::Overloaded, message);
                    return Err(refusal.retry_after(wait));
                }
            }
        }
    }
}
