//! Tests of the engine's request queue, cancellation, load reports and generated text.

use dogwoodlb_adapter::{EngineClient, ServiceClient};
use dogwoodlb_external::engine::CompletionRequest;
use dogwoodlb_external::{service, Category, Engine as _, Service as _};
use dogwoodlb_standin::engine::{self, Config};
use dogwoodlb_standin::{bind_loopback, Effect, Fault};
use dogwoodlb_types::id;
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::thread;
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_secs(60);

fn server(slots: usize, queue: usize) -> engine::Engine {
    let config = Config {
        models: vec![("scorer".parse().unwrap(), id::Version(1))],
        slots,
        queue_capacity: queue,
        ..Config::default()
    };
    engine::Engine::start(bind_loopback().unwrap(), config).unwrap()
}

fn generate(address: SocketAddr, request: &str, priority: i64) -> Result<String, Category> {
    let body = format!(r#"{{"prompt":"a","max_tokens":3,"stream":true,"priority":{priority}}}"#);
    let call = CompletionRequest {
        address,
        path: "/v1/completions",
        request_id: request,
        body: &body,
        idle_timeout: DEADLINE,
        timeout: DEADLINE,
    };
    let mut finish = String::new();
    let report = EngineClient::new().generate(&call, &mut |event| {
        let event: Value = serde_json::from_str(event).unwrap_or_default();
        if let Some(reason) = event["choices"][0]["finish_reason"].as_str() {
            finish = reason.to_owned();
        }
        ControlFlow::Continue(())
    });
    report.map(|_| finish).map_err(|error| error.classify())
}

fn complete(address: SocketAddr, body: &str) -> Value {
    let reply = ServiceClient::new().call(&service::Call {
        address,
        method: "POST",
        path: "/v1/completions",
        request_id: "r",
        content_type: Some("application/json"),
        body: body.as_bytes(),
        timeout: DEADLINE,
    });
    serde_json::from_slice(&reply.unwrap().body).unwrap()
}

/// Waits until the condition holds; panics after the deadline.
fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + DEADLINE;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "the condition did not hold within {DEADLINE:?}"
        );
        thread::yield_now();
    }
}

/// Guards against a queue that ignores priorities or its capacity.
#[test]
fn queue_respects_priority_and_capacity() {
    let server = server(1, 2);
    server.set_token_budget(Some(0));
    let address = server.address();
    thread::scope(|scope| {
        for (index, priority) in [0, 9, 1].into_iter().enumerate() {
            scope.spawn(move || {
                generate(address, &format!("p{priority}"), priority).unwrap();
            });
            wait_until(|| server.load().running + server.load().waiting == index as u32 + 1);
            wait_until(|| server.load().running == 1);
        }
        assert_eq!(generate(address, "full", 0), Err(Category::Refused));
        server.set_token_budget(Some(3));
        wait_until(|| server.generations("p1") == 1);
        assert_eq!(server.generations("p9"), 0);
        server.set_token_budget(None);
    });
    assert_eq!(
        (server.generations("p9"), server.generations("full")),
        (1, 0)
    );
    assert_eq!(server.total_generations(), 3);
}

/// Guards against a cancelled request that keeps its slot or queue position.
#[test]
fn cancelled_request_frees_its_slot() {
    let server = server(1, 4);
    server.set_token_budget(Some(1));
    let (address, engine) = (server.address(), EngineClient::new());
    thread::scope(|scope| {
        let running = scope.spawn(move || generate(address, "running", 0));
        wait_until(|| server.load().running == 1);
        let waiting = scope.spawn(move || generate(address, "waiting", 0));
        wait_until(|| server.load().waiting == 1);
        engine.cancel(address, "waiting", DEADLINE).unwrap();
        assert_eq!(waiting.join().unwrap(), Err(Category::Ambiguous));
        engine.cancel(address, "running", DEADLINE).unwrap();
        assert_eq!(running.join().unwrap().as_deref(), Ok("abort"));
    });
    wait_until(|| server.load() == Default::default());
    let unknown = engine.cancel(address, "unknown", DEADLINE).unwrap_err();
    assert_eq!(unknown.classify(), Category::Refused, "{unknown}");
    assert_eq!(server.generations("waiting"), 0);
}

/// Guards against load reports that ignore an injected lag, or do not recover after a lost one.
#[test]
fn load_reports_lag_and_fail() {
    let server = server(1, 4);
    server.set_token_budget(Some(0));
    let (address, engine) = (server.address(), EngineClient::new());
    let lag = Effect::Lag { lag_ms: 3_600_000 };
    server.faults().inject(Fault::once("/v1/load", lag));
    thread::scope(|scope| {
        scope.spawn(move || generate(address, "r", 0).unwrap());
        wait_until(|| server.load().running == 1);
        assert_eq!(engine.read_load(address, DEADLINE).unwrap().running, 0);
        assert_eq!(engine.read_load(address, DEADLINE).unwrap().running, 1);
        server
            .faults()
            .inject(Fault::once("/v1/load", Effect::LoseRequest));
        let lost = engine.read_load(address, DEADLINE).unwrap_err();
        assert_eq!(lost.classify(), Category::Ambiguous, "{lost}");
        assert_eq!(engine.read_load(address, DEADLINE).unwrap().running, 1);
        server.set_token_budget(None);
    });
}

/// Guards against text that differs between engines with the same seed, and against lengths
/// without a heavy tail.
#[test]
fn text_is_reproducible() {
    let (first, second) = (server(4, 64), server(4, 64));
    let mut lengths = Vec::new();
    for seed in 0..300 {
        let body = format!(r#"{{"prompt":"a","max_tokens":100000,"seed":{seed}}}"#);
        let answer = complete(first.address(), &body);
        let tokens = answer["usage"]["completion_tokens"].as_u64().unwrap();
        assert_eq!(
            answer["choices"],
            complete(second.address(), &body)["choices"]
        );
        let text = answer["choices"][0]["text"].as_str().unwrap();
        assert_eq!(text.split(' ').count() as u64, tokens);
        assert_eq!(answer["dogwood"]["tokens"], tokens);
        lengths.push(tokens);
    }
    lengths.sort_unstable();
    assert!(lengths[299] > 10 * lengths[150], "{lengths:?}");
    assert!(lengths[0] >= 4, "{lengths:?}");
}
