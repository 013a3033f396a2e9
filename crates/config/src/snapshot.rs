use crate::{Limits, Organisations, Route, RouteKind, Service};

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
    organisations: Option<Organisations>,
}

impl Snapshot {
    /// Creates a snapshot.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        // Sorted by descending prefix length, so that the first match is the longest.
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self {
            version,
            routes,
            services,
            limits,
            organisations: None,
        }
    }

    /// Sets the organisations. From then on, requests on routes that are not public need a key.
    pub fn with_organisations(self, organisations: Organisations) -> Self {
        Self {
            organisations: Some(organisations),
            ..self
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on the requests of callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the organisations, or `None` if callers need no keys.
    pub fn organisations(&self) -> Option<&Organisations> {
        self.organisations.as_ref()
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut routes = self.routes.iter();
        routes.find(|route| route.host == host && path.starts_with(&route.prefix))
    }

    /// Returns whether batches can be submitted without a key although there are organisations.
    pub fn has_public_batches(&self) -> bool {
        let is_public = |route: &Route| route.is_public && route.kind == RouteKind::Rollout;
        self.routes.iter().any(is_public)
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns all services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the services that run models.
    pub fn model_services(&self) -> impl Iterator<Item = &Service> {
        let services = self.services.iter();
        services.filter(|service| service.engine.is_some())
    }
}
