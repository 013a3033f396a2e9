//! A stand-in for the object store.

use crate::fault::{FaultPlan, Faults};
use crate::server::{endpoint_not_found, error_response, percent_decode, Backend, StandinServer};
use crate::Result;
use dogwoodlb_http::{Request, Response};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Limit on the total size of all objects, far below the memory of a test machine.
const MAX_TOTAL_BYTES: usize = 1024 * 1024 * 1024;

/// An in-memory object store.
///
/// Serves `PUT` and `GET` of `/objects/<name>`. Objects are immutable: a `PUT` of different
/// content under an existing name is refused with status 409.
pub struct Objects {
    server: StandinServer,
    store: Arc<Store>,
}

#[derive(Default)]
struct Store(Mutex<ObjectMap>);

#[derive(Default)]
struct ObjectMap {
    objects: BTreeMap<String, Vec<u8>>,
    bytes: usize,
    refused_overwrites: u64,
}

impl Objects {
    /// Starts an empty object store.
    ///
    /// # Errors
    ///
    /// [`Category::Io`](crate::Category::Io) if the server can't be started.
    pub fn start(listener: TcpListener) -> Result<Self> {
        let store = Arc::new(Store::default());
        let server = StandinServer::start(listener, store.clone())?;
        Ok(Self { server, store })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns the content of an object.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.store.lock().objects.get(name).cloned()
    }

    /// Returns the names of all objects that start with `prefix`.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let names = self.store.lock();
        let names = names.objects.keys().filter(|name| name.starts_with(prefix));
        names.cloned().collect()
    }

    /// Returns the number of refused attempts to overwrite an object with different content.
    pub fn refused_overwrites(&self) -> u64 {
        self.store.lock().refused_overwrites
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, ObjectMap> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ObjectMap {
    fn put(&mut self, name: String, body: &[u8]) -> Response {
        if let Some(existing) = self.objects.get(&name) {
            if existing == body {
                return Response::json(200, &json!({}));
            }
            self.refused_overwrites += 1;
            return error_response(
                409,
                "conflict",
                "the object already exists with different content",
            );
        }
        if self.bytes + body.len() > MAX_TOTAL_BYTES {
            return error_response(507, "full", "the object store has reached its size limit");
        }
        self.bytes += body.len();
        self.objects.insert(name, body.to_vec());
        Response::json(200, &json!({}))
    }
}

impl Backend for Store {
    fn execute(&self, request: &Request, _plan: &FaultPlan) -> Response {
        let Some(name) = request.path.strip_prefix("/objects/").map(percent_decode) else {
            return endpoint_not_found();
        };
        match request.method.as_str() {
            "PUT" => self.lock().put(name, &request.body),
            "GET" => match self.lock().objects.get(&name) {
                Some(body) => Response::new(200, "application/octet-stream", body.clone()),
                None => error_response(404, "not_found", "the object does not exist"),
            },
            _ => endpoint_not_found(),
        }
    }
}
