//! The sections of a manifest.

use dogwoodlb_types::{id, Class};
use jiff::tz::TimeZone;
use serde::{Serialize, Serializer};
use std::fmt;
use std::net::SocketAddr;

/// An entry VM: one node of the system.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The name of the VM.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its data centre.
    pub centre: id::Centre,
    /// The HTTP address for callers.
    pub address: SocketAddr,
    /// The UDP and TCP address for other nodes.
    pub peer: SocketAddr,
}

/// A model and its initial weights.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Model {
    /// The name of the model.
    pub model: id::Model,
    /// The version of its weights.
    pub version: id::Version,
    /// The name of the weights in the weight store.
    pub object: String,
}

/// A trainer and the requirements of its samples.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Trainer {
    /// The name of the trainer.
    pub trainer: id::Trainer,
    /// The model that generates its samples.
    pub model: id::Model,
    /// The maximum number of versions by which a delivered sample may be behind the newest.
    pub staleness_bound: u32,
    /// The number of samples per group.
    pub group_size: u32,
    /// The maximum number of samples per step, a multiple of the group size.
    pub step_samples: u32,
    /// The weight of idle time against staleness, from 0 to 1.
    pub idle_weight: f64,
    /// The service that scores its samples.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub scorer: Option<id::Service>,
}

/// A caller and its permissions.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Caller {
    /// The name of the caller.
    pub caller: id::Caller,
    /// The priority class of its requests.
    pub class: Class,
    /// The models that it may use.
    pub models: Vec<id::Model>,
    /// The plain services that it may use.
    pub services: Vec<id::Service>,
}

/// A recurring period in which no disruptive changes are made.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct QuietHours {
    /// The name of the period.
    pub name: String,
    /// The time zone of `start` and `end`.
    pub time_zone: Zone,
    /// The weekdays on which the period starts.
    pub days: Vec<Day>,
    /// The start time.
    pub start: Time,
    /// The end time; it is on the next day unless it is after the start time.
    pub end: Time,
    /// The protected models; empty for all models.
    pub models: Vec<id::Model>,
}

/// One replica of a model engine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Engine {
    /// The name of the upstream.
    pub upstream: id::Upstream,
    /// The VM that it runs on.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its data centre.
    pub centre: id::Centre,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// The models that it may load.
    pub models: Vec<id::Model>,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Whether it is being removed and gets no new work.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// A plain service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Service {
    /// The name of the service.
    pub service: id::Service,
    /// The calls that must run at most once.
    pub non_idempotent: Vec<Call>,
    /// The replicas of the service.
    pub replicas: Vec<Replica>,
}

/// A method and a path prefix of a plain service.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Call {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path prefix.
    pub path: String,
}

/// One replica of a plain service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// The name of the upstream.
    pub upstream: id::Upstream,
    /// The VM that it runs on.
    pub vm: id::Vm,
    /// Its region.
    pub region: id::Region,
    /// Its data centre.
    pub centre: id::Centre,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Whether it is being removed and gets no new work.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// A weekday.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Day {
    /// Monday.
    Mon,
    /// Tuesday.
    Tue,
    /// Wednesday.
    Wed,
    /// Thursday.
    Thu,
    /// Friday.
    Fri,
    /// Saturday.
    Sat,
    /// Sunday.
    Sun,
}

impl Day {
    /// All weekdays, Monday first.
    pub const ALL: [Self; 7] = [
        Self::Mon,
        Self::Tue,
        Self::Wed,
        Self::Thu,
        Self::Fri,
        Self::Sat,
        Self::Sun,
    ];

    /// Returns the name used in the manifest.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Mon => "mon",
            Self::Tue => "tue",
            Self::Wed => "wed",
            Self::Thu => "thu",
            Self::Fri => "fri",
            Self::Sat => "sat",
            Self::Sun => "sun",
        }
    }
}

/// A time of day with minute resolution, from 00:00 to 24:00 inclusive.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Time(u16);

impl Time {
    /// The number of minutes per day.
    pub(crate) const MINUTES_PER_DAY: u16 = 24 * 60;

    /// Parses `HH:MM`, from 00:00 to 24:00.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (hour, minute) = text.split_once(':')?;
        let is_two_digits =
            |part: &str| part.len() == 2 && part.bytes().all(|b| b.is_ascii_digit());
        if !is_two_digits(hour) || !is_two_digits(minute) {
            return None;
        }
        let (hour, minute): (u16, u16) = (hour.parse().ok()?, minute.parse().ok()?);
        let minutes = hour * 60 + minute;
        (minute < 60 && minutes <= Self::MINUTES_PER_DAY).then_some(Self(minutes))
    }

    /// Returns the number of minutes since midnight.
    pub const fn minutes(self) -> u16 {
        self.0
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02}:{:02}", self.0 / 60, self.0 % 60)
    }
}

impl Serialize for Time {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// A time zone of the IANA time zone database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Zone(TimeZone);

impl Zone {
    /// Looks up a zone in the time zone database that is compiled into the program.
    pub(crate) fn get(name: &str) -> Option<Self> {
        let zone = jiff::tz::TimeZoneDatabase::bundled().get(name).ok()?;
        zone.iana_name()?;
        Some(Self(zone))
    }

    /// Returns the IANA name of the zone.
    pub fn as_str(&self) -> &str {
        self.0.iana_name().unwrap_or("UTC")
    }

    pub(crate) fn time_zone(&self) -> &TimeZone {
        &self.0
    }
}

impl Serialize for Zone {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}
