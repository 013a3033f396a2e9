//! Guards against a request that runs with a key of nobody, one that is rejected although its key is
//! valid, and a key in the debug output.

use dogwoodlb_config::{ApiKey, Organisation, Organisations};
use dogwoodlb_edge::identity::{identify, Caller, Rejection, MAX_CONFIG_AGE};
use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION};
use rstest::rstest;
use std::time::Duration;

/// A key with bytes beyond ASCII, and one with a space.
const ODD_KEYS: [&str; 2] = ["schlüssel", "two words"];

fn organisations(keys: &[&str]) -> Organisations {
    let organisation = |name: &str| Organisation {
        name: name.to_owned(),
        priority: None,
    };
    let acme = keys.iter().chain(&ODD_KEYS).map(|key| ApiKey::new(key));
    let initech = ["k2", "k1", ""].map(ApiKey::new);
    Organisations::new([
        (organisation("acme"), acme.collect()),
        (organisation("initech"), initech.to_vec()),
        (organisation("no keys"), Vec::new()),
    ])
}

fn headers(values: &[impl AsRef<[u8]>]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value.as_ref()).unwrap();
        headers.append(AUTHORIZATION, value);
    }
    headers
}

#[rstest]
#[case::valid(&["Bearer k1"], Ok("acme"))]
#[case::other_organisation(&["Bearer k2"], Ok("initech"))]
#[case::lower_case(&["bearer k1"], Ok("acme"))]
#[case::mixed_case(&["bEaReR k1"], Ok("acme"))]
#[case::two_spaces(&["Bearer  k1"], Ok("acme"))]
#[case::key_beyond_ascii(&["Bearer schlüssel"], Ok("acme"))]
#[case::key_with_space(&["Bearer two words"], Ok("acme"))]
#[case::missing(&[], Err(Rejection::Missing))]
#[case::empty(&[""], Err(Rejection::Malformed))]
#[case::scheme_alone(&["Bearer"], Err(Rejection::Malformed))]
#[case::empty_key(&["Bearer "], Err(Rejection::Malformed))]
#[case::key_alone(&["k1"], Err(Rejection::Malformed))]
#[case::no_space(&["Bearerk1"], Err(Rejection::Malformed))]
#[case::tab(&["Bearer\tk1"], Err(Rejection::Malformed))]
#[case::other_scheme(&["Basic k1"], Err(Rejection::Malformed))]
#[case::longer_scheme(&["Bearers k1"], Err(Rejection::Malformed))]
#[case::cut_within_character(&["Beareü k1"], Err(Rejection::Malformed))]
#[case::twice_the_same(&["Bearer k1", "Bearer k1"], Err(Rejection::Malformed))]
#[case::valid_and_unknown(&["Bearer k1", "Bearer no"], Err(Rejection::Malformed))]
#[case::unknown(&["Bearer no"], Err(Rejection::Unknown))]
#[case::start_of_key(&["Bearer k"], Err(Rejection::Unknown))]
#[case::longer_key(&["Bearer k11"], Err(Rejection::Unknown))]
#[case::other_case_of_key(&["Bearer K1"], Err(Rejection::Unknown))]
#[case::list(&["Bearer k1, Bearer k2"], Err(Rejection::Unknown))]
fn authorization(#[case] values: &[&str], #[case] expected: Result<&str, Rejection>) {
    let organisations = organisations(&["k1"]);
    let headers = headers(values);
    let name = |caller: Caller| caller.organisation().map(|known| known.name.clone());
    let identify = |is_public, age| identify(Some(&organisations), is_public, &headers, age);
    let fresh = Some(MAX_CONFIG_AGE - Duration::from_millis(1));
    let expected_name = expected.map(|name| Some(name.to_owned()));
    assert_eq!(identify(false, fresh).map(name), expected_name);
    // A newer configuration may have the key, or none of the organisations.
    for age in [None, Some(MAX_CONFIG_AGE)] {
        let expected = expected_name.clone().map_err(|_| Rejection::Outdated);
        assert_eq!(identify(false, age).map(name), expected);
    }
    let on_public = identify(true, None).map(name);
    assert_eq!(on_public, Ok(expected.ok().map(str::to_owned)));
    assert_eq!(without_organisations(&headers), Ok(Caller::Unrestricted));
    let output = format!("{organisations:?} {:?}", identify(false, fresh));
    assert!(!output.contains("k1") && !output.contains("k2"), "{output}");
}

fn without_organisations(headers: &HeaderMap) -> Result<Caller, Rejection> {
    identify(None, false, headers, None)
}

#[test]
fn bytes_of_keys() {
    let organisations = organisations(&["k1"]);
    let very_long = [b"Bearer ", [b'k'; 70_000].as_slice()].concat();
    for (value, expected) in [
        (very_long, Rejection::Unknown),
        (b"Bearer \xff\xfek1".to_vec(), Rejection::Malformed),
    ] {
        let age = Some(Duration::ZERO);
        let caller = identify(Some(&organisations), false, &headers(&[value]), age);
        assert_eq!(caller, Err(expected));
    }
}

/// A storm of versions adds and revokes keys. Each request is judged by the version in force, also
/// that of an organisation without keys.
#[test]
fn storm_of_versions() {
    let request = |number: usize| headers(&[format!("Bearer s{number}")]);
    for version in 0..200_usize {
        // Every tenth version revokes the last key of the organisation.
        let keys: Vec<String> = match version % 10 {
            9 => Vec::new(),
            _ => (version..version + 2)
                .map(|key| format!("s{key}"))
                .collect(),
        };
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        let organisations = organisations(&keys);
        for number in version.saturating_sub(3)..version + 4 {
            let age = Some(Duration::ZERO);
            let caller = identify(Some(&organisations), false, &request(number), age);
            let is_listed = keys.contains(&format!("s{number}").as_str());
            assert_eq!(caller.is_ok(), is_listed, "s{number} in version {version}");
        }
    }
}
