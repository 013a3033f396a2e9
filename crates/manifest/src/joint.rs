use crate::section::{Caller, Engine, Model, Replica, Service, Trainer};
use crate::Manifest;
use dogwoodlb_types::id;

/// Returns a manifest that permits only what both manifests permit.
///
/// A node acts on the joint manifest while it does not know whether a proposed manifest was
/// committed; see docs/design.md, section 4.5. An entry is kept if both manifests contain it under
/// the same name, at the same address and on the same VM. Quiet hours, leaving upstreams and
/// non-idempotent calls of either manifest are kept. If the versions of a model's weights differ,
/// the older one is kept, because a swap must wait for the outcome.
pub fn joint(a: &Manifest, b: &Manifest) -> Manifest {
    let models = intersect(&a.models, &b.models, model);
    let services = intersect(&a.services, &b.services, service);
    let has_model = |name: &id::Model| models.iter().any(|model| model.model == *name);
    let has_service = |name: &id::Service| services.iter().any(|one| one.service == *name);
    let mut trainers = intersect(&a.trainers, &b.trainers, trainer);
    trainers.retain(|trainer| {
        has_model(&trainer.model) && trainer.scorer.as_ref().is_none_or(has_service)
    });
    let mut callers = intersect(&a.callers, &b.callers, caller);
    for caller in &mut callers {
        caller.models.retain(has_model);
        caller.services.retain(has_service);
    }
    let mut engines = intersect(&a.engines, &b.engines, engine);
    for engine in &mut engines {
        engine.models.retain(has_model);
    }
    let mut quiet_hours = a.quiet_hours.clone();
    let is_only_in_b = |quiet: &&_| !a.quiet_hours.contains(quiet);
    quiet_hours.extend(b.quiet_hours.iter().filter(is_only_in_b).cloned());
    let same = |a: &_, b: &_| (a == b).then(|| Clone::clone(a));
    Manifest {
        entry_vms: intersect(&a.entry_vms, &b.entry_vms, same),
        models,
        trainers,
        callers,
        quiet_hours,
        engines,
        services,
    }
}

/// An element of a manifest section, identified by its name.
trait Named {
    type Name: Ord;

    fn name(&self) -> &Self::Name;
}

macro_rules! named {
    ($($entry:ty, $field:ident, $name:ty;)*) => {$(
        impl Named for $entry {
            type Name = $name;

            fn name(&self) -> &$name {
                &self.$field
            }
        }
    )*};
}

named! {
    Caller, caller, id::Caller;
    crate::section::Entry, vm, id::Vm;
    Engine, upstream, id::Upstream;
    Model, model, id::Model;
    Replica, upstream, id::Upstream;
    Service, service, id::Service;
    Trainer, trainer, id::Trainer;
}

fn intersect<T: Named>(a: &[T], b: &[T], join: impl Fn(&T, &T) -> Option<T>) -> Vec<T> {
    let others: std::collections::BTreeMap<_, _> = b.iter().map(|b| (b.name(), b)).collect();
    let joined = a.iter().filter_map(|a| join(a, others.get(a.name())?));
    joined.collect()
}

fn common_elements<T: Clone + PartialEq>(a: &[T], b: &[T]) -> Vec<T> {
    a.iter().filter(|one| b.contains(one)).cloned().collect()
}

fn model(a: &Model, b: &Model) -> Option<Model> {
    Some(if a.version <= b.version { a } else { b }.clone())
}

fn trainer(a: &Trainer, b: &Trainer) -> Option<Trainer> {
    let is_compatible = a.model == b.model && a.group_size == b.group_size && a.scorer == b.scorer;
    is_compatible.then(|| Trainer {
        staleness_bound: a.staleness_bound.min(b.staleness_bound),
        step_samples: a.step_samples.min(b.step_samples),
        idle_weight: a.idle_weight.min(b.idle_weight),
        ..a.clone()
    })
}

fn caller(a: &Caller, b: &Caller) -> Option<Caller> {
    Some(Caller {
        caller: a.caller.clone(),
        class: a.class.max(b.class),
        models: common_elements(&a.models, &b.models),
        services: common_elements(&a.services, &b.services),
    })
}

fn engine(a: &Engine, b: &Engine) -> Option<Engine> {
    let is_same_replica = (a.address, &a.vm) == (b.address, &b.vm);
    is_same_replica.then(|| Engine {
        models: common_elements(&a.models, &b.models),
        checks_fencing: a.checks_fencing && b.checks_fencing,
        leaving: a.leaving || b.leaving,
        ..a.clone()
    })
}

fn service(a: &Service, b: &Service) -> Option<Service> {
    let mut calls = a.non_idempotent.clone();
    calls.extend_from_slice(&b.non_idempotent);
    calls.sort_unstable();
    calls.dedup();
    Some(Service {
        service: a.service.clone(),
        non_idempotent: calls,
        replicas: intersect(&a.replicas, &b.replicas, replica),
    })
}

fn replica(a: &Replica, b: &Replica) -> Option<Replica> {
    let is_same_replica = (a.address, &a.vm) == (b.address, &b.vm);
    is_same_replica.then(|| Replica {
        leaving: a.leaving || b.leaving,
        ..a.clone()
    })
}
