//! Guards against a response that counts as proof though it may belong to another request, and
//! against a second request where a response is proof by itself.

use dogwoodlb_client::{Evidence, Origin, Verdict};

const FIRST_UNNAMED: Origin = Origin::Unnamed {
    is_first_unnamed: true,
};
const LATER_UNNAMED: Origin = Origin::Unnamed {
    is_first_unnamed: false,
};
const ORIGINS: [Origin; 5] = [
    Origin::Named,
    Origin::First,
    FIRST_UNNAMED,
    LATER_UNNAMED,
    Origin::Foreign,
];

fn evidence(origin: Origin, status: u16, is_refusal: bool) -> Evidence {
    Evidence {
        origin,
        status,
        is_refusal,
        is_last: false,
    }
}

#[test]
fn single_responses() {
    use Verdict::{Answered, Doubtful, NotRun, Unknown};
    // By origin, for other responses, refusals, and refusals that end the connection.
    let expected = [
        [Answered, NotRun, NotRun],
        [Unknown, NotRun, NotRun],
        [Doubtful, Doubtful, NotRun],
        [Doubtful, Doubtful, NotRun],
        [Doubtful, Doubtful, Doubtful],
    ];
    for (origin, expected) in ORIGINS.into_iter().zip(expected) {
        let refusal = evidence(origin, 503, true);
        let last = Evidence {
            is_last: true,
            ..refusal
        };
        let verdicts = [evidence(origin, 200, false), refusal, last].map(|one| one.judge());
        assert_eq!(verdicts, expected, "{origin:?}");
    }
}

/// Of all pairs of responses, only two refusals without an id confirm one, and only if the second one
/// can't be a copy of an earlier response.
#[test]
fn pairs_of_responses() {
    let mut confirmed = Vec::new();
    for origin in ORIGINS {
        for next_origin in ORIGINS {
            for status in [421, 503] {
                for (is_refusal, next_is_refusal) in [(true, true), (true, false), (false, true)] {
                    let first = evidence(origin, 503, is_refusal);
                    let next = evidence(next_origin, status, next_is_refusal);
                    if first.is_confirmed_by(&next) {
                        assert!(is_refusal && next_is_refusal);
                        confirmed.push((origin, next_origin, status));
                    }
                }
            }
        }
    }
    let expected = [
        (FIRST_UNNAMED, FIRST_UNNAMED, 421),
        (FIRST_UNNAMED, FIRST_UNNAMED, 503),
        (FIRST_UNNAMED, LATER_UNNAMED, 421),
        (FIRST_UNNAMED, LATER_UNNAMED, 503),
        (LATER_UNNAMED, FIRST_UNNAMED, 421),
        (LATER_UNNAMED, LATER_UNNAMED, 421),
    ];
    assert_eq!(confirmed, expected);
}
