use crate::{Limits, Route, Service};

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
}

impl Snapshot {
    /// Creates a snapshot.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        // The longest prefix comes first, so that the first match decides.
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self {
            version,
            routes,
            services,
            limits,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what callers send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the route of a request: the one with the longest prefix among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut routes = self.routes.iter();
        routes.find(|route| route.host == host && path.starts_with(&route.prefix))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns all services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the services that run models.
    pub fn engines(&self) -> impl Iterator<Item = &Service> {
        let services = self.services.iter();
        services.filter(|service| service.engine.is_some())
    }
}
