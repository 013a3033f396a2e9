use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The lowest priority that still halves the weight.
const MAX_PRIORITY: u32 = 9;

/// The weight of an organisation's share.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Weight(f64);

impl Weight {
    /// Returns the weight of a priority, 0 being the highest. It halves with each level, down to
    /// priority 9, so that more urgent work gets more and none gets nothing.
    pub fn of_priority(priority: u32) -> Self {
        let halvings = priority.min(MAX_PRIORITY);
        Self(1.0 / f64::from(1_u32 << halvings))
    }

    pub(crate) fn get(self) -> f64 {
        self.0
    }
}

/// How far an organisation is ahead of its share. The lowest rank is served first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rank {
    excess: f64,
}

impl Rank {
    /// Returns whether the organisation has got more than its share. All that have not are equal.
    pub fn is_over_share(self) -> bool {
        self.excess > 0.0
    }
}

impl Eq for Rank {}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.excess.total_cmp(&other.excess)
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Clone, Debug)]
struct Account {
    weight: f64,
    /// The service received, divided by the weight.
    service: f64,
    /// The service that running work is expected to take, not divided by the weight.
    reserved: f64,
    is_waiting: bool,
}

impl Account {
    fn position(&self) -> f64 {
        self.service + self.reserved / self.weight
    }
}

/// Weighted max-min fair shares of one service, for the load in which some organisations ask for
/// more than their share and others do not.
///
/// Each organisation has a position: the service that it has got and that its running work is
/// expected to take, divided by its weight. The virtual time is the lowest position of those with
/// waiting work, and never decreases (start-time fair queueing). Who is at the virtual time or
/// before it is within its share; who is past it waits behind the others. What one does not use
/// goes to the others, because only those with waiting work determine the virtual time.
///
/// An organisation that returns starts at most the burst allowance before the virtual time, so that
/// it can run ahead by this much. Service that nobody else waits for is free once the allowance is
/// used up. An organisation owes at most one allowance, so that one that was served while others
/// could not be is not shut out later.
///
/// # Examples
///
/// ```
/// use dogwoodlb_fair::{Shares, Weight};
///
/// let mut shares = Shares::new(10.0);
/// let weight = Weight::of_priority(0);
/// for organisation in ["aspen", "birch"] {
///     shares.set_waiting(organisation, weight);
/// }
/// shares.charge("birch", weight, 11.0);
/// assert!(shares.rank("birch").is_over_share());
/// assert!(!shares.rank("aspen").is_over_share());
/// ```
#[derive(Clone, Debug)]
pub struct Shares {
    allowance: f64,
    virtual_time: f64,
    accounts: BTreeMap<Box<str>, Account>,
}

impl Shares {
    /// Creates shares with a burst allowance, in units of service.
    pub fn new(allowance: f64) -> Self {
        Self {
            allowance,
            virtual_time: 0.0,
            accounts: BTreeMap::new(),
        }
    }

    /// Changes the burst allowance, for instance because the service has grown.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Records that an organisation has waiting work.
    pub fn set_waiting(&mut self, organisation: &str, weight: Weight) {
        let earliest = self.virtual_time - self.allowance / weight.0;
        self.update(organisation, weight, |account| {
            if !account.is_waiting {
                account.service = account.service.max(earliest);
                account.is_waiting = true;
            }
        });
    }

    /// Records that an organisation has no waiting work, or none that could start.
    pub fn set_idle(&mut self, organisation: &str) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.is_waiting = false;
        }
        self.advance();
    }

    /// Records service that an organisation got. It counts only while any work waits.
    pub fn charge(&mut self, organisation: &str, weight: Weight, amount: f64) {
        if !self.accounts.values().any(|account| account.is_waiting) {
            return;
        }
        let latest = self.virtual_time + self.allowance / weight.0;
        self.update(organisation, weight, |account| {
            let service = account.service + amount / weight.0;
            account.service = service.min(latest.max(account.service));
        });
    }

    /// Adds to the service that running work of an organisation is expected to take. A negative
    /// amount releases it.
    pub fn reserve(&mut self, organisation: &str, weight: Weight, amount: f64) {
        self.update(organisation, weight, |account| {
            account.reserved = (account.reserved + amount).max(0.0);
        });
    }

    /// Releases all reservations.
    pub fn release_all(&mut self) {
        for account in self.accounts.values_mut() {
            account.reserved = 0.0;
        }
    }

    /// Returns how far an organisation is ahead of its share.
    pub fn rank(&self, organisation: &str) -> Rank {
        let account = self.accounts.get(organisation);
        let position = account.map_or(self.virtual_time, Account::position);
        Rank {
            excess: (position - self.virtual_time).max(0.0),
        }
    }

    /// Returns the organisations that the shares know, waiting or not.
    pub fn organisations(&self) -> impl Iterator<Item = &str> {
        self.accounts.keys().map(|name| &**name)
    }

    /// Removes the organisations without work whose allowance is whole again, or that owe nothing
    /// because nobody waits. They start like new ones when they return.
    pub fn forget(&mut self) {
        let (now, allowance) = (self.virtual_time, self.allowance);
        let is_contended = self.accounts.values().any(|account| account.is_waiting);
        self.accounts.retain(|_, account| {
            let is_recovered = account.service <= now - allowance / account.weight;
            let is_idle = !account.is_waiting && account.reserved <= 0.0;
            !is_idle || (is_contended && !is_recovered)
        });
    }

    /// Returns the position of an organisation from which its next work would start.
    pub(crate) fn position(&self, organisation: &str, weight: Weight) -> f64 {
        let earliest = self.virtual_time - self.allowance / weight.0;
        let account = self.accounts.get(organisation);
        account.map_or(earliest, |account| account.position().max(earliest))
    }

    fn update(&mut self, organisation: &str, weight: Weight, change: impl FnOnce(&mut Account)) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.weight = weight.0;
            change(account);
        } else {
            let mut account = Account {
                weight: weight.0,
                service: self.virtual_time - self.allowance / weight.0,
                reserved: 0.0,
                is_waiting: false,
            };
            change(&mut account);
            self.accounts.insert(organisation.into(), account);
        }
        self.advance();
    }

    fn advance(&mut self) {
        let waiting = self.accounts.values().filter(|account| account.is_waiting);
        let lowest = waiting.map(Account::position).min_by(f64::total_cmp);
        self.virtual_time = lowest.map_or(self.virtual_time, |low| low.max(self.virtual_time));
    }
}
