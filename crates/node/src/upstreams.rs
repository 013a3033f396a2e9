//! The replica sets of all models and plain services in the manifest.

use crate::lock;
use crate::replica_set::{ReplicaSet, REPLICA_SLOTS};
use dogwoodlb_manifest::Manifest;
use dogwoodlb_route::{Replica, Settings};
use dogwoodlb_types::{id, Clock, Code, Refusal};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The replica sets of all models and plain services, with the router settings of the node.
pub(crate) struct Upstreams {
    settings: Settings,
    clock: Arc<dyn Clock>,
    seed: u64,
    sets: Mutex<ReplicaSets>,
}

#[derive(Default)]
struct ReplicaSets {
    models: HashMap<id::Model, Arc<ReplicaSet>>,
    services: HashMap<id::Service, Arc<ReplicaSet>>,
}

impl Upstreams {
    pub(crate) fn new(settings: Settings, clock: Arc<dyn Clock>, seed: u64) -> Self {
        Self {
            settings,
            clock,
            seed,
            sets: Mutex::default(),
        }
    }

    pub(crate) fn model(&self, model: &id::Model) -> Result<Arc<ReplicaSet>, Refusal> {
        let sets = lock(&self.sets);
        sets.models.get(model).cloned().ok_or_else(|| {
            Refusal::not_run(
                Code::UnknownModel,
                format!("model `{model}` is not in the manifest"),
            )
        })
    }

    pub(crate) fn service(&self, service: &id::Service) -> Result<Arc<ReplicaSet>, Refusal> {
        let sets = lock(&self.sets);
        sets.services.get(service).cloned().ok_or_else(|| {
            Refusal::not_run(
                Code::UnknownService,
                format!("service `{service}` is not in the manifest"),
            )
        })
    }

    pub(crate) fn models(&self) -> Vec<Arc<ReplicaSet>> {
        lock(&self.sets).models.values().cloned().collect()
    }

    /// Replaces the upstreams with those of a manifest.
    pub(crate) fn update(&self, manifest: &Manifest) {
        let mut sets = lock(&self.sets);
        let sets = &mut *sets;
        sets.models
            .retain(|model, _| manifest.models.iter().any(|entry| entry.model == *model));
        for model in &manifest.models {
            let replicas = engines(manifest, &model.model);
            self.replica_set(&mut sets.models, &model.model)
                .set_replicas(&replicas);
        }
        let services = &manifest.services;
        sets.services
            .retain(|name, _| services.iter().any(|entry| entry.service == *name));
        for service in services {
            let replicas: Vec<_> = service
                .replicas
                .iter()
                .map(|entry| {
                    let location = (&entry.region, &entry.centre);
                    (
                        replica(&entry.upstream, location, entry.leaving),
                        entry.address,
                    )
                })
                .collect();
            self.replica_set(&mut sets.services, &service.service)
                .set_replicas(&replicas);
        }
    }

    /// Sets the upstreams that receive no new requests, in addition to those that the manifest
    /// marks as leaving.
    pub(crate) fn set_leaving(&self, manifest: &Manifest, leaving: &HashSet<id::Upstream>) {
        let mut all = leaving.clone();
        all.extend(
            manifest
                .engines
                .iter()
                .filter(|entry| entry.leaving)
                .map(|entry| entry.upstream.clone()),
        );
        let replicas = manifest
            .services
            .iter()
            .flat_map(|service| &service.replicas);
        all.extend(
            replicas
                .filter(|entry| entry.leaving)
                .map(|entry| entry.upstream.clone()),
        );
        let sets = lock(&self.sets);
        for replica_set in sets.models.values().chain(sets.services.values()) {
            replica_set.set_leaving(&all);
        }
    }

    fn replica_set<K: Clone + Eq + std::hash::Hash>(
        &self,
        sets: &mut HashMap<K, Arc<ReplicaSet>>,
        name: &K,
    ) -> Arc<ReplicaSet> {
        let new = || {
            Arc::new(ReplicaSet::new(
                self.settings.clone(),
                self.clock.clone(),
                self.seed,
            ))
        };
        sets.entry(name.clone()).or_insert_with(new).clone()
    }
}

fn engines(manifest: &Manifest, model: &id::Model) -> Vec<(Replica, SocketAddr)> {
    let engines = manifest
        .engines
        .iter()
        .filter(|engine| engine.models.contains(model));
    let replicas = engines.map(|engine| {
        let location = (&engine.region, &engine.centre);
        (
            replica(&engine.upstream, location, engine.leaving),
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
        slots: REPLICA_SLOTS,
        leaving,
    }
}
