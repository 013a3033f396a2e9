//! Which organisation a request belongs to, and whether the request may run.
//!
//! [`identify`] is a pure decision over the configuration in force, the headers of a request and the
//! age of the configuration. It addresses a load in which keys are added and revoked several times
//! per second while callers keep their connections open, so it is made anew for each request.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_config::{ApiKey, Organisation, Organisations};
//! use dogwoodlb_edge::identity::{identify, Caller, Rejection};
//! use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION};
//! use std::time::Duration;
//!
//! let acme = Organisation { name: "acme".into(), priority: None };
//! let organisations = Organisations::new([(acme, vec![ApiKey::new("k1")])]);
//! let mut headers = HeaderMap::new();
//! headers.insert(AUTHORIZATION, HeaderValue::from_static("Bearer k1"));
//! let age = Some(Duration::ZERO);
//! let caller = identify(Some(&organisations), false, &headers, age);
//! assert_eq!(caller.unwrap().organisation().unwrap().name, "acme");
//! headers.clear();
//! let caller = identify(Some(&organisations), false, &headers, age);
//! assert_eq!(caller, Err(Rejection::Missing));
//! assert_eq!(identify(None, false, &headers, age), Ok(Caller::Unrestricted));
//! ```

use crate::protocol::HeaderNames;
use dogwoodlb_config::{ApiKey, Organisation, Organisations};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION};
use std::sync::Arc;
use std::time::Duration;

/// A node whose configuration was confirmed longer ago than this must not answer that a route or a
/// key does not exist: a newer configuration may have it.
pub const MAX_CONFIG_AGE: Duration = Duration::from_millis(2_000);
/// The authentication scheme. It is compared case-insensitively.
const SCHEME: &[u8] = b"bearer";

/// Who sent a request, as far as the configuration tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// The configuration has no organisations, so that callers are not told apart.
    Unrestricted,
    /// A caller of a public route without a key of an organisation.
    Anonymous,
    /// A caller with a key of the organisation.
    Member(Arc<Organisation>),
}

/// Why a request is not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The request has no `Authorization` header.
    Missing,
    /// The `Authorization` header is not a single one with a bearer key.
    Malformed,
    /// No organisation has the key.
    Unknown,
    /// One of the above, but the configuration may be out of date.
    Outdated,
}

impl Rejection {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Malformed => "malformed",
            Self::Unknown => "unknown",
            Self::Outdated => "outdated",
        }
    }
}

impl Caller {
    /// Returns the organisation of the caller, if it is known.
    pub fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Self::Member(organisation) => Some(organisation),
            Self::Unrestricted | Self::Anonymous => None,
        }
    }

    /// Returns whether the caller may read or end a batch of an organisation. A batch without one
    /// was submitted before the configuration had organisations, or through a public route.
    pub fn may_access(&self, owner: Option<&str>) -> bool {
        match (self, owner) {
            (Self::Unrestricted, _) | (_, None) => true,
            (Self::Member(organisation), Some(owner)) => organisation.name == owner,
            (Self::Anonymous, Some(_)) => false,
        }
    }
}

/// Decides who sent a request. `config_age` is the time since the configuration was last confirmed
/// to be the newest one, if it ever was.
///
/// # Errors
///
/// [`Rejection`] if the route is not public and the request has no key of an organisation.
pub fn identify(
    organisations: Option<&Organisations>,
    is_public: bool,
    headers: &HeaderMap,
    config_age: Option<Duration>,
) -> Result<Caller, Rejection> {
    let Some(organisations) = organisations else {
        return Ok(Caller::Unrestricted);
    };
    let member = key(headers).and_then(|key| {
        let member = organisations.holder(&key).cloned();
        member.ok_or(Rejection::Unknown)
    });
    match member {
        Ok(organisation) => Ok(Caller::Member(organisation)),
        Err(_) if is_public => Ok(Caller::Anonymous),
        Err(rejection) => match config_age {
            Some(age) if age < MAX_CONFIG_AGE => Err(rejection),
            _ => Err(Rejection::Outdated),
        },
    }
}

/// Returns the key of a request. Of two headers, proxies before the node may have checked either
/// one, so none counts.
fn key(headers: &HeaderMap) -> Result<ApiKey, Rejection> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or(Rejection::Missing)?;
    if values.next().is_some() {
        return Err(Rejection::Malformed);
    }
    bearer_key(value).ok_or(Rejection::Malformed)
}

/// Returns what follows the scheme and one or more spaces. An empty key never counts, even if a
/// configuration lists it.
fn bearer_key(value: &HeaderValue) -> Option<ApiKey> {
    let (scheme, rest) = value.as_bytes().split_at_checked(SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(SCHEME) || !rest.starts_with(b" ") {
        return None;
    }
    let key = std::str::from_utf8(rest).ok()?.trim_start_matches(' ');
    (!key.is_empty()).then(|| ApiKey::new(key))
}

/// Which headers a request to a replica has about its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Forwarding<'a> {
    /// Both headers are passed on as they are, because the configuration has no organisations.
    Unchanged,
    /// The key is removed, and the organisation is set, or removed if there is none.
    Set(Option<&'a str>),
}

impl<'a> From<&'a Caller> for Forwarding<'a> {
    fn from(caller: &'a Caller) -> Self {
        match caller {
            Caller::Unrestricted => Self::Unchanged,
            Caller::Anonymous => Self::Set(None),
            Caller::Member(organisation) => Self::Set(Some(&organisation.name)),
        }
    }
}

impl<'a> Forwarding<'a> {
    /// Returns the headers for the items of a batch, given its organisation and whether the
    /// configuration has organisations.
    pub fn of_batch(organisation: Option<&'a str>, is_restricted: bool) -> Self {
        match (organisation, is_restricted) {
            (None, false) => Self::Unchanged,
            (organisation, _) => Self::Set(organisation),
        }
    }

    /// Changes the headers of a request to a replica accordingly. This comes last, so that nothing
    /// in a caller's headers can undo it.
    pub fn apply(self, headers: &mut HeaderMap, names: &HeaderNames) {
        let Self::Set(organisation) = self else {
            return;
        };
        headers.remove(AUTHORIZATION);
        let name: &HeaderName = &names.organisation;
        headers.remove(name);
        // Names that can't be sent are reported when the configuration is adopted.
        let value =
            organisation.map(|organisation| HeaderValue::from_bytes(organisation.as_bytes()));
        if let Some(Ok(value)) = value {
            headers.insert(name.clone(), value);
        }
    }
}
