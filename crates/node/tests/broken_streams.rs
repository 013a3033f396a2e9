//! Guards against a model stream that broke off at an engine and that the caller takes for whole, or
//! in which it finds the error of the next engine.

#[path = "support/scripted_engine.rs"]
mod scripted_engine;

use dogwoodlb_external::Category;
use rstest::rstest;
use scripted_engine::{call_model, Attempt};

const FIRST: &str = r#"{"choices":[{"index":0,"text":"first"}]}"#;
const SECOND: &str = r#"{"choices":[{"index":0,"text":"second"}]}"#;
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns the response to a streamed call.
fn stream(script: &[(&'static [&'static str], Option<Category>)]) -> String {
    let attempts = script.iter();
    let attempts = attempts.map(|(events, failure)| Attempt {
        events,
        failure: *failure,
    });
    let attempts: Vec<Attempt> = attempts.collect();
    call_model(
        &attempts,
        r#"{"model":"scorer","prompt":"a","stream":true}"#,
    )
}

/// The engines after the first one fail before their first event.
#[rstest]
#[case::refused(Category::Refused)]
#[case::failed(Category::Ambiguous)]
#[case::not_sent(Category::NotSent)]
#[case::invalid(Category::InvalidResponse)]
fn next_engine_fails(#[case] category: Category) {
    let next: (&[&str], _) = (&[], Some(category));
    let text = stream(&[(&[FIRST], Some(Category::Ambiguous)), next, next]);
    // The node may cut the connection before it has written anything.
    assert!(
        text.is_empty() || text.starts_with("HTTP/1.1 200"),
        "{text}"
    );
    assert!(text.matches("data: ").count() <= 1, "{text}");
    assert!(text.matches("HTTP/1.1").count() <= 1, "{text}");
    assert!(!text.contains("error"), "{text}");
    assert!(!text.ends_with(LAST_CHUNK), "{text}");
}

#[test]
fn next_engine_continues() {
    let text = stream(&[
        (&[FIRST], Some(Category::Ambiguous)),
        (&[], Some(Category::Refused)),
        (&[SECOND], None),
    ]);
    let data: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    assert_eq!(data, [FIRST, SECOND, "[DONE]"], "{text}");
    assert!(text.ends_with(LAST_CHUNK), "{text}");
}
