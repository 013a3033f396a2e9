//! A node with a scripted engine.

use dogwoodlb_adapter as adapter;
use dogwoodlb_external::engine::{CompletionRequest, Load, Order, Report, Weights};
use dogwoodlb_external::service::{self, Service as _};
use dogwoodlb_external::{Category, Cause, Engine, Error, Result};
use dogwoodlb_manifest::settings::Settings;
use dogwoodlb_node::{Node, Platform, SystemClock};
use dogwoodlb_standin::{bind_loopback, free_address, objects, table, vms};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(60);
const REFUSAL: Attempt = Attempt {
    events: &[],
    failure: Some(Category::Refused),
};

/// The events and the end of one attempt at a model call.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// The events that the engine sends.
    pub(crate) events: &'static [&'static str],
    /// The category of the error, or `None` if the stream is complete.
    pub(crate) failure: Option<Category>,
}

/// An engine whose attempts follow a script; further ones fail with [`Category::Refused`].
struct ScriptedEngine(Mutex<Vec<Attempt>>);

impl Engine for ScriptedEngine {
    fn generate(
        &self,
        call: &CompletionRequest<'_>,
        on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
    ) -> Result<Report> {
        let mut script = self.0.lock().unwrap();
        let attempt = match script.is_empty() {
            true => REFUSAL,
            false => script.remove(0),
        };
        for event in attempt.events {
            assert!(on_event(event).is_continue());
        }
        if let Some(category) = attempt.failure {
            return Err(Error::new(category, "engine", Cause::Truncated));
        }
        let _ = on_event("[DONE]");
        Ok(Report {
            request_id: call.request_id.to_owned(),
            spans: Vec::new(),
            tokens: 0,
            queue: 0,
        })
    }

    fn cancel(&self, _address: SocketAddr, _request: &str, _timeout: Duration) -> Result<()> {
        Ok(())
    }

    fn read_load(&self, _address: SocketAddr, _timeout: Duration) -> Result<Load> {
        Ok(Load::default())
    }

    fn read_weights(&self, _address: SocketAddr, _timeout: Duration) -> Result<Vec<Weights>> {
        Ok(Vec::new())
    }

    fn send_order(&self, _address: SocketAddr, _order: &Order, _timeout: Duration) -> Result<()> {
        Ok(())
    }
}

fn call(address: SocketAddr, path: &str, body: &str) -> service::Reply {
    let client = adapter::ServiceClient::new();
    let call = service::Call {
        address,
        method: "POST",
        path,
        request_id: "one",
        content_type: Some("application/json"),
        body: body.as_bytes(),
        timeout: TIMEOUT,
    };
    client.call(&call).unwrap()
}

/// Starts a node with one scripted engine and returns its response to a model call.
pub(crate) fn call_model(script: &[Attempt], body: &str) -> String {
    let table = table::Table::start(bind_loopback().unwrap()).unwrap();
    let objects = objects::Objects::start(bind_loopback().unwrap()).unwrap();
    let vms = vms::Vms::start(bind_loopback().unwrap(), &[]).unwrap();
    let settings = Settings {
        vm: "entry-1".parse().unwrap(),
        region: "ljubljana".parse().unwrap(),
        centre: "lj-a".parse().unwrap(),
        address: free_address(),
        peer: free_address(),
        table: table.address(),
        objects: objects.address(),
        vms: vms.address(),
        statsd: None,
        log: None,
    };
    let platform = Platform {
        clock: Arc::new(SystemClock::new()),
        engine: Arc::new(ScriptedEngine(Mutex::new(script.to_vec()))),
        objects: Arc::new(adapter::ObjectStoreClient::new(settings.objects)),
        service: Arc::new(adapter::ServiceClient::new()),
        table: Arc::new(adapter::TableClient::new(settings.table)),
        vms: Arc::new(adapter::VmListClient::new(settings.vms)),
    };
    let (address, peer) = (settings.address, settings.peer);
    let node = Node::start(settings, platform, 1).unwrap();
    let manifest = format!(
        r#"{{"entry_vms":[{{"vm":"entry-1","region":"ljubljana","centre":"lj-a","address":"{address}","peer":"{peer}"}}],
        "models":[{{"model":"scorer","version":1,"object":"weights/1"}}],
        "callers":[{{"caller":"quotes","class":"customer","models":["scorer"],"services":[]}}],
        "engines":[{{"upstream":"engine-1","vm":"gpu-1","region":"ljubljana","centre":"lj-a","address":"{}","models":["scorer"],"checks_fencing":true}}]}}"#,
        free_address()
    );
    let commit_body = serde_json::json!({ "base": 0, "operator": "ana", "text": manifest });
    assert_eq!(
        call(address, "/v1/manifest", &commit_body.to_string()).status,
        200
    );
    let text = loop {
        let reply = send(address, body);
        if !reply.contains("manifest_unknown") {
            break reply;
        }
        std::thread::yield_now();
    };
    node.kill();
    text
}

fn send(address: SocketAddr, body: &str) -> String {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-caller: quotes";
    write!(
        stream,
        "{head}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    let mut response = Vec::new();
    // A broken connection ends the response, too.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8(response).unwrap()
}
