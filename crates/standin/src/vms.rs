//! A stand-in for the platform's VM list.

use crate::fault::{FaultPlan, Faults};
use crate::server::{endpoint_not_found, error_response, parse, Backend, StandinServer};
use crate::Result;
use dogwoodlb_external::vms::{State, Vm};
use dogwoodlb_http::{Request, Response};
use dogwoodlb_types::id;
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A VM list whose content tests set.
///
/// `GET /vms` returns the list; `PUT /vms/<name>` with `{"state"}` sets the state of a VM and
/// `DELETE /vms/<name>` removes it. Tests simulate a lagging list by updating it late.
pub struct Vms {
    server: StandinServer,
    list: Arc<List>,
}

#[derive(Default)]
struct List(Mutex<BTreeMap<id::Vm, State>>);

#[derive(Deserialize)]
struct Change {
    state: State,
}

impl Vms {
    /// Starts a server whose list contains `vms`.
    ///
    /// # Errors
    ///
    /// [`Category::Io`](crate::Category::Io) if the server can't be started.
    pub fn start(listener: TcpListener, vms: &[Vm]) -> Result<Self> {
        let vms = vms.iter().map(|vm| (vm.name.clone(), vm.state));
        let list = Arc::new(List(Mutex::new(vms.collect())));
        let server = StandinServer::start(listener, list.clone())?;
        Ok(Self { server, list })
    }

    /// Returns the address that the list is served on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Sets the state of a VM; `None` removes it from the list.
    pub fn set_state(&self, name: &id::Vm, state: Option<State>) {
        let mut vms = self.list.lock();
        match state {
            Some(state) => vms.insert(name.clone(), state),
            None => vms.remove(name),
        };
    }
}

impl List {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<id::Vm, State>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, request: &Request, name: &str) -> Response {
        let Ok(name) = name.parse::<id::Vm>() else {
            return error_response(400, "bad_request", "invalid VM name");
        };
        match request.method.as_str() {
            "PUT" => match parse::<Change>(request) {
                Ok(change) => self.lock().insert(name, change.state),
                Err(response) => return response,
            },
            "DELETE" => self.lock().remove(&name),
            _ => return endpoint_not_found(),
        };
        Response::json(200, &json!({}))
    }
}

impl Backend for List {
    fn execute(&self, request: &Request, _plan: &FaultPlan) -> Response {
        match (request.method.as_str(), request.path_segments().as_slice()) {
            ("GET", ["vms"]) => {
                let vms = self.lock();
                let vms = vms.iter().map(|(name, state)| Vm {
                    name: name.clone(),
                    state: *state,
                });
                Response::json(200, &json!({ "vms": vms.collect::<Vec<_>>() }))
            }
            (_, ["vms", name]) => self.change(request, name),
            _ => endpoint_not_found(),
        }
    }
}
