use crate::{Centre, Order, View};
use dogwoodlb_types::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time within which all open work should have begun. The longest items of a training step take
/// most of the time until the step is due, so that an item which begins later finishes late.
const START_WITHIN: Duration = Duration::from_millis(1_500);
/// How long the peak of the work is retained. Steps follow each other after a few seconds, and a
/// new replica serves only after its boot time.
const PEAK_WINDOW: Duration = Duration::from_secs(15);
/// How long fewer replicas must have been enough before surplus ones are given back.
const QUIET_TIME: Duration = Duration::from_secs(30);
/// How long after its boot time an ordered replica may take to register.
const REGISTRATION_TIME: Duration = Duration::from_secs(3);
/// The pause after an order that could not be filled; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_secs(2);
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Replicas that were ordered and have not registered yet.
#[derive(Clone, Copy, Debug)]
struct Booting {
    count: u32,
    until: Instant,
}

/// An order that could not be filled.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    until: Instant,
}

/// Decides how many replicas of a service are ordered, and where.
///
/// It answers peaks of work and losses of replicas that leave too few slots for the steps in
/// progress. Replicas beyond those that the planner found are its surplus: it is ordered at once
/// when the work needs it, and given back by halves after a quiet time. The planner never gives
/// back replicas that it has not ordered, so that calm days cost what they cost without it.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    peak: Duration,
    peak_until: Instant,
    /// The surplus by data centre, as last ordered.
    surplus: BTreeMap<String, u32>,
    booting: BTreeMap<String, Booting>,
    backoff: BTreeMap<String, Backoff>,
    /// Since when the surplus has been larger than needed.
    idle_since: Option<Instant>,
}

impl Planner {
    /// Returns the orders to send now. Report what became of each with
    /// [`on_ordered`](Self::on_ordered) or [`on_unavailable`](Self::on_unavailable).
    pub fn plan(&mut self, view: &View<'_>, now: Instant) -> Vec<Order> {
        self.observe(view, now);
        let available: u32 = view.centres.iter().map(|one| self.available(one)).sum();
        let needed = self.needed(view.slots);
        if available < needed {
            self.idle_since = None;
            return self.scale_up(view, needed - available, now);
        }
        let surplus: u32 = self.surplus.values().sum();
        let removable = surplus.min(available - needed);
        if removable == 0 {
            self.idle_since = None;
            return Vec::new();
        }
        let since = *self.idle_since.get_or_insert(now);
        if now.saturating_since(since) < QUIET_TIME {
            return Vec::new();
        }
        self.idle_since = None;
        self.scale_down(view, removable.div_ceil(2))
    }

    /// Records that the provider accepted an order.
    pub fn on_ordered(&mut self, order: &Order, view: &View<'_>, now: Instant) {
        let present = view.centres.iter().find(|one| one.name == order.centre);
        let present = present.map_or(0, |one| present_of_kind(one, order.is_spot));
        let booting = Booting {
            count: order.count.saturating_sub(present),
            until: now + view.scaling.boot_time + REGISTRATION_TIME,
        };
        self.booting.insert(order.centre.clone(), booting);
        self.backoff.remove(&order.centre);
        let base = self.base(view, &order.centre);
        self.surplus
            .insert(order.centre.clone(), order.count.saturating_sub(base));
    }

    /// Records that the provider has no replicas in a data centre now, or did not respond.
    pub fn on_unavailable(&mut self, order: &Order, now: Instant) {
        let failures = self
            .backoff
            .get(&order.centre)
            .map_or(0, |last| last.failures);
        let pause = MIN_BACKOFF.saturating_mul(1 << failures.min(6));
        let backoff = Backoff {
            failures: failures + 1,
            until: now + pause.min(MAX_BACKOFF),
        };
        self.backoff.insert(order.centre.clone(), backoff);
    }

    /// Updates the peak of the work and what has become of earlier orders.
    fn observe(&mut self, view: &View<'_>, now: Instant) {
        if view.work >= self.peak || self.peak_until <= now {
            self.peak = view.work;
            self.peak_until = now + PEAK_WINDOW;
        }
        let is_spot = orders_spot(view);
        for centre in view.centres {
            let Some(booting) = self.booting.get(&centre.name).copied() else {
                continue;
            };
            let base = self.base(view, &centre.name);
            let surplus = self.surplus.get(&centre.name).copied().unwrap_or(0);
            let wanted = base + surplus;
            let missing = wanted.saturating_sub(present_of_kind(centre, is_spot));
            if missing == 0 || booting.until <= now {
                self.booting.remove(&centre.name);
            } else if let Some(booting) = self.booting.get_mut(&centre.name) {
                booting.count = missing.min(booting.count);
            }
        }
        // What was reclaimed is no surplus any more.
        for centre in view.centres {
            let base = self.base(view, &centre.name);
            let booting = self.booting.get(&centre.name).map_or(0, |one| one.count);
            let present = present_of_kind(centre, is_spot) + booting;
            if let Some(surplus) = self.surplus.get_mut(&centre.name) {
                *surplus = (*surplus).min(present.saturating_sub(base));
            }
        }
    }

    /// Returns the replicas of a data centre that serve or will soon.
    fn available(&self, centre: &Centre) -> u32 {
        let booting = self.booting.get(&centre.name).map_or(0, |one| one.count);
        centre.regular + centre.spot + booting
    }

    /// Returns the number of replicas on which the peak of the work begins in time.
    fn needed(&self, slots: u32) -> u32 {
        let slots = self.peak.as_secs_f64() / START_WITHIN.as_secs_f64() / f64::from(slots.max(1));
        slots.ceil() as u32
    }

    /// Returns how many replicas of the ordered kind a data centre had before any surplus. Spot
    /// replicas are all surplus.
    fn base(&self, view: &View<'_>, centre: &str) -> u32 {
        if orders_spot(view) {
            return 0;
        }
        let found = view.centres.iter().find(|one| one.name == centre);
        let surplus = self.surplus.get(centre).copied().unwrap_or(0);
        let booting = self.booting.get(centre).map_or(0, |one| one.count);
        found.map_or(0, |one| (one.regular + booting).saturating_sub(surplus))
    }

    fn scale_up(&self, view: &View<'_>, missing: u32, now: Instant) -> Vec<Order> {
        let mut added: BTreeMap<&str, u32> = BTreeMap::new();
        for _ in 0..missing {
            let with_room = view.centres.iter().filter(|centre| {
                let more = added.get(centre.name.as_str()).copied().unwrap_or(0);
                let backoff = self.backoff.get(&centre.name);
                let is_available = backoff.is_none_or(|backoff| backoff.until <= now);
                is_available && self.available(centre) + more < view.scaling.max
            });
            let cost = |centre: &&Centre| {
                let more = added.get(centre.name.as_str()).copied().unwrap_or(0);
                let surplus = self.surplus.get(&centre.name).copied().unwrap_or(0);
                let price = view.scaling.centre_prices.get(&centre.name).copied();
                // A data centre that already has surplus counts as dearer, so that the loss of one
                // doesn't take all of it.
                price.unwrap_or(1.0) * f64::from(1 + surplus + more)
            };
            let best = with_room.min_by(|a, b| cost(a).total_cmp(&cost(b)));
            let Some(best) = best else { break };
            *added.entry(&best.name).or_insert(0) += 1;
        }
        let is_spot = orders_spot(view);
        let order = |(centre, more): (&str, u32)| {
            let found = view.centres.iter().find(|one| one.name == centre);
            let present = found.map_or(0, |one| present_of_kind(one, is_spot));
            let booting = self.booting.get(centre).map_or(0, |one| one.count);
            Order {
                centre: centre.to_owned(),
                is_spot,
                count: present + booting + more,
            }
        };
        added.into_iter().map(order).collect()
    }

    fn scale_down(&mut self, view: &View<'_>, count: u32) -> Vec<Order> {
        let is_spot = orders_spot(view);
        let mut left = count;
        let mut orders = Vec::new();
        let price = |name: &str| view.scaling.centre_prices.get(name).copied().unwrap_or(1.0);
        let mut centres: Vec<&Centre> = view.centres.iter().collect();
        centres.sort_by(|a, b| price(&b.name).total_cmp(&price(&a.name)));
        for centre in centres {
            let surplus = self.surplus.get(&centre.name).copied().unwrap_or(0);
            let fewer = surplus.min(left);
            let present = present_of_kind(centre, is_spot);
            let regular = if is_spot { centre.regular } else { 0 };
            let min = view.scaling.min.saturating_sub(regular);
            let target = present.saturating_sub(fewer).max(min);
            if fewer == 0 || target == present {
                continue;
            }
            left -= fewer;
            orders.push(Order {
                centre: centre.name.clone(),
                is_spot,
                count: target,
            });
        }
        orders
    }
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
