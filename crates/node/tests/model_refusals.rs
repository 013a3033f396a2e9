//! Guards against a wrong `ran` value in the refusal of a model call that failed on every
//! attempt.

#[path = "support/scripted_engine.rs"]
mod scripted_engine;

use dogwoodlb_external::Category;
use scripted_engine::{call_model, Attempt};

/// Returns the response to a model call whose attempts fail with the given categories.
fn failed_call(script: &[Category]) -> String {
    let attempt = |category: &Category| Attempt {
        events: &[],
        failure: Some(*category),
    };
    let script: Vec<Attempt> = script.iter().map(attempt).collect();
    call_model(&script, r#"{"model":"scorer","prompt":"a"}"#)
}

/// The first attempt may have run and the last one certainly did not: reporting "not run" would
/// make callers repeat a call that may have taken effect.
#[test]
fn earlier_attempt_may_have_run() {
    let script = [Category::Ambiguous, Category::Refused, Category::Refused];
    let text = failed_call(&script);
    assert!(text.contains(r#""ran":"may_have_run""#), "{text}");
    let text = failed_call(&[Category::Ambiguous, Category::NotSent, Category::NotSent]);
    assert!(text.contains(r#""ran":"may_have_run""#), "{text}");
}

/// No attempt can have run: reporting "may have run" would keep callers from retrying elsewhere.
#[test]
fn no_attempt_has_run() {
    let text = failed_call(&[Category::NotSent, Category::Refused, Category::NotSent]);
    assert!(text.contains(r#""ran":"not_run""#), "{text}");
}
