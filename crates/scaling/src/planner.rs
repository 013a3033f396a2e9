use crate::peak::Peak;
use crate::{Centre, Order, View};
use dogwoodlb_types::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time within which all open work should have begun. The longest items of a training step start
/// first, so that those which begin last are short and still finish before the step is due.
const START_WITHIN: Duration = Duration::from_millis(3_000);
/// How long fewer replicas must have been enough before surplus ones are given back.
const QUIET_TIME: Duration = Duration::from_secs(30);
/// How long after its boot time an ordered replica may take to register.
const REGISTRATION_TIME: Duration = Duration::from_secs(3);
/// The pause after an order that could not be filled; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_secs(2);
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// An order that the provider accepted and that the directory doesn't show yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    target: u32,
    /// The ordered replicas that have not registered.
    missing: u32,
    until: Instant,
}

/// An order that could not be filled.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    until: Instant,
}

/// A time in which there was always surplus that was not needed.
#[derive(Clone, Copy, Debug)]
struct Quiet {
    since: Instant,
    /// The fewest replicas that were not needed.
    removable: u32,
}

/// Decides how many replicas of a service are ordered, and where.
///
/// It answers peaks of work and losses of replicas that leave too few slots for the steps in
/// progress. Spot replicas, and others beyond those that the planner found, are surplus: it is
/// ordered at once when the work needs it, and given back by halves after a quiet time. Other
/// replicas are never given back, so that calm days cost what they cost without the planner.
///
/// The orders of one plan may be sent one by one, with a new plan after each.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    peak: Peak,
    /// The regular replicas that were ordered, by data centre.
    ordered: BTreeMap<String, u32>,
    pending: BTreeMap<String, Pending>,
    backoff: BTreeMap<String, Backoff>,
    quiet: Option<Quiet>,
    /// How many replicas are being given back.
    to_remove: u32,
}

impl Planner {
    /// Returns the orders to send now. Report what became of each with
    /// [`on_ordered`](Self::on_ordered) or [`on_unavailable`](Self::on_unavailable).
    pub fn plan(&mut self, view: &View<'_>, now: Instant) -> Vec<Order> {
        self.peak.observe(view.work, now);
        self.update_pending(view, now);
        let (available, needed) = (self.available(view), self.needed(view));
        if available < needed {
            self.quiet = None;
            self.to_remove = 0;
            return self.scale_up(view, needed - available, now);
        }
        let surplus = view.centres.iter().map(|one| self.surplus(view, one));
        let removable = surplus.sum::<u32>().min(available - needed);
        self.to_remove = self.to_remove.min(removable);
        if removable == 0 {
            self.quiet = None;
            return Vec::new();
        }
        if self.to_remove == 0 {
            let quiet = self.quiet.get_or_insert(Quiet {
                since: now,
                removable,
            });
            // Between two steps, most replicas are not needed for a moment.
            quiet.removable = quiet.removable.min(removable);
            if now.saturating_since(quiet.since) < QUIET_TIME {
                return Vec::new();
            }
            self.to_remove = quiet.removable.div_ceil(2);
            self.quiet = None;
        }
        let orders = self.scale_down(view, now);
        if orders.is_empty() {
            self.to_remove = 0;
        }
        orders
    }

    /// Records that the provider accepted an order.
    pub fn on_ordered(&mut self, order: &Order, view: &View<'_>, now: Instant) {
        self.backoff.remove(&order.centre);
        let centre = view.centres.iter().find(|one| one.name == order.centre);
        let Some(centre) = centre else { return };
        let before = self.expected(view, centre);
        self.to_remove = self
            .to_remove
            .saturating_sub(before.saturating_sub(order.count));
        if !order.is_spot {
            let base = before.saturating_sub(self.surplus(view, centre));
            let surplus = order.count.saturating_sub(base);
            self.ordered.insert(order.centre.clone(), surplus);
        }
        let present = present_of_kind(centre, order.is_spot);
        let pending = Pending {
            target: order.count,
            missing: order.count.saturating_sub(present),
            until: now + view.scaling.boot_time + REGISTRATION_TIME,
        };
        self.pending.insert(order.centre.clone(), pending);
    }

    /// Records that the provider has no replicas in a data centre now, or did not respond.
    pub fn on_unavailable(&mut self, order: &Order, now: Instant) {
        let failures = self
            .backoff
            .get(&order.centre)
            .map_or(0, |last| last.failures);
        let pause = MIN_BACKOFF.saturating_mul(1 << failures.min(6));
        let backoff = Backoff {
            failures: failures.saturating_add(1),
            until: now + pause.min(MAX_BACKOFF),
        };
        self.backoff.insert(order.centre.clone(), backoff);
    }

    /// Returns the number of replicas on which the peak of the work begins in time.
    pub fn needed(&self, view: &View<'_>) -> u32 {
        let slots = self.peak.max().as_secs_f64() / START_WITHIN.as_secs_f64();
        (slots / f64::from(view.slots.max(1))).ceil() as u32
    }

    /// Returns the number of replicas that serve or will soon.
    pub fn available(&self, view: &View<'_>) -> u32 {
        let centres = view.centres.iter();
        centres.map(|one| self.available_in(view, one)).sum()
    }

    /// Updates what has become of earlier orders.
    fn update_pending(&mut self, view: &View<'_>, now: Instant) {
        let is_spot = orders_spot(view);
        for centre in view.centres {
            let Some(pending) = self.pending.get_mut(&centre.name) else {
                continue;
            };
            let present = present_of_kind(centre, is_spot);
            pending.missing = pending.target.saturating_sub(present).min(pending.missing);
            let missing = pending.missing;
            if pending.until <= now || pending.target == present {
                self.pending.remove(&centre.name);
                // What never came is no surplus: giving it back would remove other replicas.
                if let Some(ordered) = self.ordered.get_mut(&centre.name) {
                    *ordered = ordered.saturating_sub(missing);
                }
            }
        }
    }

    /// Returns how many replicas of the ordered kind a data centre has once the last order has
    /// taken effect.
    fn expected(&self, view: &View<'_>, centre: &Centre) -> u32 {
        let present = present_of_kind(centre, orders_spot(view));
        match self.pending.get(&centre.name) {
            Some(pending) => present.min(pending.target) + pending.missing,
            None => present,
        }
    }

    /// Returns the replicas of a data centre that serve or will soon.
    fn available_in(&self, view: &View<'_>, centre: &Centre) -> u32 {
        self.expected(view, centre) + present_of_kind(centre, !orders_spot(view))
    }

    /// Returns the replicas of a data centre that may be given back.
    fn surplus(&self, view: &View<'_>, centre: &Centre) -> u32 {
        let expected = self.expected(view, centre);
        if orders_spot(view) {
            // An earlier leader has ordered those that this planner has not.
            return expected;
        }
        let ordered = self.ordered.get(&centre.name).copied().unwrap_or(0);
        ordered.min(expected)
    }

    fn is_in_backoff(&self, centre: &Centre, now: Instant) -> bool {
        let backoff = self.backoff.get(&centre.name);
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    fn scale_up(&self, view: &View<'_>, missing: u32, now: Instant) -> Vec<Order> {
        let mut added: BTreeMap<&str, u32> = BTreeMap::new();
        for _ in 0..missing {
            let with_room = view.centres.iter().filter(|centre| {
                let more = added.get(centre.name.as_str()).copied().unwrap_or(0);
                let has_room = self.available_in(view, centre) + more < view.scaling.max;
                has_room && !self.is_in_backoff(centre, now)
            });
            let cost = |centre: &&Centre| {
                let more = added.get(centre.name.as_str()).copied().unwrap_or(0);
                // A data centre that already has surplus counts as dearer, so that the loss of one
                // doesn't take all of it.
                let spread = f64::from(1 + self.surplus(view, centre) + more);
                price(view, centre) * spread
            };
            let best = with_room.min_by(|a, b| cost(a).total_cmp(&cost(b)));
            let Some(best) = best else { break };
            *added.entry(&best.name).or_insert(0) += 1;
        }
        let more = |centre: &&Centre| added.get(centre.name.as_str()).copied();
        let centres = view
            .centres
            .iter()
            .filter_map(|one| Some((one, more(&one)?)));
        let order = |(centre, more): (&Centre, u32)| Order {
            centre: centre.name.clone(),
            is_spot: orders_spot(view),
            count: self.expected(view, centre) + more,
        };
        centres.map(order).collect()
    }

    fn scale_down(&self, view: &View<'_>, now: Instant) -> Vec<Order> {
        let mut left = self.to_remove;
        let mut orders = Vec::new();
        let mut centres: Vec<&Centre> = view.centres.iter().collect();
        centres.sort_by(|a, b| price(view, b).total_cmp(&price(view, a)));
        for centre in centres {
            let expected = self.expected(view, centre);
            let others = self.available_in(view, centre) - expected;
            let min = view.scaling.min.saturating_sub(others);
            let fewer = self.surplus(view, centre).min(left);
            let fewer = fewer.min(expected.saturating_sub(min));
            if fewer == 0 || self.is_in_backoff(centre, now) {
                continue;
            }
            left -= fewer;
            orders.push(Order {
                centre: centre.name.clone(),
                is_spot: orders_spot(view),
                count: expected - fewer,
            });
        }
        orders
    }
}

fn price(view: &View<'_>, centre: &Centre) -> f64 {
    let price = view.scaling.centre_prices.get(&centre.name);
    price.copied().unwrap_or(1.0)
}

/// Returns whether surplus is ordered as spot replicas, which cost less. They are taken away first
/// when replicas run short, which leaves the service as it was without surplus.
fn orders_spot(view: &View<'_>) -> bool {
    view.scaling.spot_price.is_some_and(|price| price < 1.0)
}

fn present_of_kind(centre: &Centre, is_spot: bool) -> u32 {
    if is_spot {
        centre.spot
    } else {
        centre.regular
    }
}
