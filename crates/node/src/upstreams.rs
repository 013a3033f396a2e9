//! The replicas of all models and plain services of the manifest.

use crate::group::{Group, SLOTS};
use crate::lock;
use dogwoodlb_manifest::Manifest;
use dogwoodlb_route::{Replica, Settings};
use dogwoodlb_types::{id, Clock, Code, Refusal};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The groups of all models and plain services of the manifest.
pub(crate) struct Upstreams {
    settings: Settings,
    clock: Arc<dyn Clock>,
    seed: u64,
    groups: Mutex<Groups>,
}

#[derive(Default)]
struct Groups {
    models: HashMap<id::Model, Arc<Group>>,
    services: HashMap<id::Service, Arc<Group>>,
}

impl Upstreams {
    pub(crate) fn new(settings: Settings, clock: Arc<dyn Clock>, seed: u64) -> Self {
        Self {
            settings,
            clock,
            seed,
            groups: Mutex::default(),
        }
    }

    pub(crate) fn model(&self, model: &id::Model) -> Result<Arc<Group>, Refusal> {
        let groups = lock(&self.groups);
        groups.models.get(model).cloned().ok_or_else(|| {
            Refusal::not_run(Code::UnknownModel, format!("there is no model `{model}`"))
        })
    }

    pub(crate) fn service(&self, service: &id::Service) -> Result<Arc<Group>, Refusal> {
        let groups = lock(&self.groups);
        groups.services.get(service).cloned().ok_or_else(|| {
            Refusal::not_run(
                Code::UnknownService,
                format!("there is no service `{service}`"),
            )
        })
    }

    pub(crate) fn models(&self) -> Vec<Arc<Group>> {
        lock(&self.groups).models.values().cloned().collect()
    }

    /// Takes over the upstreams of a manifest.
    pub(crate) fn update(&self, manifest: &Manifest) {
        let mut groups = lock(&self.groups);
        let groups = &mut *groups;
        groups
            .models
            .retain(|model, _| manifest.models.iter().any(|one| one.model == *model));
        for model in &manifest.models {
            let replicas = engines(manifest, &model.model);
            self.group(&mut groups.models, &model.model)
                .update(&replicas);
        }
        let services = &manifest.services;
        groups
            .services
            .retain(|name, _| services.iter().any(|one| one.service == *name));
        for service in services {
            let replicas: Vec<_> = service
                .replicas
                .iter()
                .map(|one| {
                    let place = (&one.region, &one.centre);
                    (replica(&one.upstream, place, one.leaving), one.address)
                })
                .collect();
            self.group(&mut groups.services, &service.service)
                .update(&replicas);
        }
    }

    /// Marks the upstreams that get no new work, beside those that the manifest marks.
    pub(crate) fn set_leaving(&self, manifest: &Manifest, leaving: &HashSet<id::Upstream>) {
        let mut all = leaving.clone();
        all.extend(
            manifest
                .engines
                .iter()
                .filter(|one| one.leaving)
                .map(|one| one.upstream.clone()),
        );
        let replicas = manifest
            .services
            .iter()
            .flat_map(|service| &service.replicas);
        all.extend(
            replicas
                .filter(|one| one.leaving)
                .map(|one| one.upstream.clone()),
        );
        let groups = lock(&self.groups);
        for group in groups.models.values().chain(groups.services.values()) {
            group.set_leaving(&all);
        }
    }

    fn group<K: Clone + Eq + std::hash::Hash>(
        &self,
        groups: &mut HashMap<K, Arc<Group>>,
        name: &K,
    ) -> Arc<Group> {
        let new = || {
            Arc::new(Group::new(
                self.settings.clone(),
                self.clock.clone(),
                self.seed,
            ))
        };
        groups.entry(name.clone()).or_insert_with(new).clone()
    }
}

fn engines(manifest: &Manifest, model: &id::Model) -> Vec<(Replica, SocketAddr)> {
    let engines = manifest
        .engines
        .iter()
        .filter(|engine| engine.models.contains(model));
    let replicas = engines.map(|engine| {
        let place = (&engine.region, &engine.centre);
        (
            replica(&engine.upstream, place, engine.leaving),
            engine.address,
        )
    });
    replicas.collect()
}

fn replica(
    upstream: &id::Upstream,
    (region, centre): (&id::Region, &id::Centre),
    leaving: bool,
) -> Replica {
    Replica {
        upstream: upstream.clone(),
        region: region.clone(),
        centre: centre.clone(),
        slots: SLOTS,
        leaving,
    }
}
