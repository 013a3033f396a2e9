//! Tests that the engine reports the correct versions and enforces fencing of orders.

use dogwoodlb_adapter::EngineClient;
use dogwoodlb_external::engine::{Action, CompletionRequest, Order, Report};
use dogwoodlb_external::{Category, Engine as _, Result};
use dogwoodlb_standin::engine::{self, Config};
use dogwoodlb_standin::{bind_loopback, Effect, Fault};
use dogwoodlb_types::{check_spans, id, Timestamp};
use rstest::rstest;
use std::ops::ControlFlow;
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(60);
const FAR_FUTURE: Timestamp = Timestamp::from_millis(i64::MAX);

fn model() -> id::Model {
    "scorer".parse().unwrap()
}

fn server(config: Config) -> engine::Engine {
    let config = Config {
        models: vec![(model(), id::Version(1))],
        min_tokens: 10,
        ..config
    };
    engine::Engine::start(bind_loopback().unwrap(), config).unwrap()
}

fn order(number: u128, fence: u64, version: u64, not_after_ms: Timestamp) -> Order {
    Order {
        order: id::Operation(number),
        fence: id::Fence(fence),
        not_after_ms,
        action: Action::LoadVersion {
            model: model(),
            version: id::Version(version),
            object: format!("weights/scorer/{version}"),
        },
    }
}

/// Runs a generation and calls `on_third_token` when the third token has arrived.
fn generate(server: &engine::Engine, on_third_token: &dyn Fn()) -> Result<Report> {
    let call = CompletionRequest {
        address: server.address(),
        path: "/v1/chat/completions",
        request_id: "r-1",
        body: r#"{"messages":[{"role":"user","content":"a"}],"max_tokens":8,"stream":true}"#,
        idle_timeout: DEADLINE,
        timeout: DEADLINE,
    };
    let mut events = 0;
    server.set_token_budget(Some(3));
    EngineClient::new().generate(&call, &mut |_| {
        events += 1;
        if events == 3 {
            on_third_token();
            server.set_token_budget(None);
        }
        ControlFlow::Continue(())
    })
}

/// Guards against a report that names only one of the versions that generated a completion.
#[test]
fn swap_during_generation_splits_spans() {
    let server = server(Config::default());
    let engine = EngineClient::new();
    let report = generate(&server, &|| {
        let order = order(1, 1, 2, FAR_FUTURE);
        engine
            .send_order(server.address(), &order, DEADLINE)
            .unwrap();
    });
    let report = report.unwrap();
    check_spans(&report.spans, report.tokens).unwrap();
    let spans: Vec<_> = report
        .spans
        .iter()
        .map(|s| (s.version.0, s.from, s.to))
        .collect();
    assert_eq!(spans, [(1, 0, 3), (2, 3, 8)]);
}

/// Guards against a completion that succeeds although the weights were lost.
#[test]
fn failed_swap_aborts_generation() {
    let server = server(Config::default());
    let engine = EngineClient::new();
    server
        .faults()
        .inject(Fault::once("/v1/orders", Effect::FailSwap));
    let error = generate(&server, &|| {
        let order = order(1, 1, 2, FAR_FUTURE);
        engine
            .send_order(server.address(), &order, DEADLINE)
            .unwrap();
    });
    assert_eq!(error.unwrap_err().classify(), Category::Ambiguous);
    let weights = engine.read_weights(server.address(), DEADLINE).unwrap();
    assert_eq!((weights[0].version, weights[0].loading), (None, None));
    let refused = generate(&server, &|| {}).unwrap_err();
    assert_eq!(refused.classify(), Category::Refused, "{refused}");
    engine
        .send_order(server.address(), &order(2, 1, 2, FAR_FUTURE), DEADLINE)
        .unwrap();
    assert_eq!(server.weights()[0].version, Some(id::Version(2)));
}

/// Guards against an engine that accepts orders of a former lease holder, or refuses them although
/// fencing checks are disabled.
#[rstest]
#[case(true, Err(Category::Refused), 5)]
#[case(false, Ok(()), 4)]
fn stale_fence_is_refused(
    #[case] checks_fencing: bool,
    #[case] expected: std::result::Result<(), Category>,
    #[case] version: u64,
) {
    let server = server(Config {
        checks_fencing,
        ..Config::default()
    });
    let engine = EngineClient::new();
    let send = |order: &Order| engine.send_order(server.address(), order, DEADLINE);
    send(&order(1, 7, 5, FAR_FUTURE)).unwrap();
    let old = send(&order(2, 6, 4, FAR_FUTURE));
    assert_eq!(old.map_err(|error| error.classify()), expected);
    assert_eq!(server.weights()[0].version, Some(id::Version(version)));
}

/// Guards against an order that is executed twice or after its expiry.
#[test]
fn repeated_or_expired_order_is_not_executed() {
    let server = server(Config::default());
    let engine = EngineClient::new();
    let send = |order: &Order| engine.send_order(server.address(), order, DEADLINE);
    send(&order(1, 1, 2, FAR_FUTURE)).unwrap();
    send(&order(2, 1, 3, FAR_FUTURE)).unwrap();
    send(&order(1, 1, 2, FAR_FUTURE)).unwrap();
    let expired = send(&order(3, 1, 4, Timestamp::from_millis(1))).unwrap_err();
    assert_eq!(expired.classify(), Category::Refused, "{expired}");
    assert_eq!(server.weights()[0].version, Some(id::Version(3)));
    assert_eq!(server.order_count(), 2);
}

/// Guards against a version that is reported as served while it is still loading.
#[test]
fn loading_version_is_not_served() {
    let server = server(Config {
        swap_duration: Duration::from_secs(3600),
        ..Config::default()
    });
    let engine = EngineClient::new();
    engine
        .send_order(server.address(), &order(1, 1, 2, FAR_FUTURE), DEADLINE)
        .unwrap();
    let weights = engine.read_weights(server.address(), DEADLINE).unwrap();
    assert_eq!(weights[0].version, Some(id::Version(1)));
    assert_eq!(weights[0].loading, Some(id::Version(2)));
    let report = generate(&server, &|| {}).unwrap();
    assert_eq!(report.spans[0].version, id::Version(1));
}
