//! A manifest as a build pipeline would generate it, one entry to a line.

use std::fmt::Write;

/// How much a generated manifest lists.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) nodes: usize,
    pub(crate) engines: usize,
    pub(crate) service_replicas: usize,
    pub(crate) models: usize,
    pub(crate) trainers: usize,
    pub(crate) regions: usize,
    pub(crate) centres: usize,
}

/// The sizes of docs/design.md, section 1.4: Livarna Tok's today and the
/// target, and half of the target.
pub(crate) const TODAY: Size = Size {
    nodes: 11,
    engines: 9,
    service_replicas: 3,
    models: 1,
    trainers: 1,
    regions: 2,
    centres: 3,
};
pub(crate) const TARGET: Size = Size {
    nodes: 320,
    engines: 1_600,
    service_replicas: 300,
    models: 14,
    trainers: 14,
    regions: 4,
    centres: 11,
};

fn push(text: &mut String, first: bool, entry: std::fmt::Arguments<'_>) {
    text.push_str(if first { "\n    " } else { ",\n    " });
    let _ = text.write_fmt(entry);
}

fn list<'a>(text: &mut String, name: &str, entries: impl IntoIterator<Item = String> + 'a) {
    let _ = write!(text, "  \"{name}\": [");
    for (index, entry) in entries.into_iter().enumerate() {
        push(text, index == 0, format_args!("{entry}"));
    }
    text.push_str("\n  ],\n");
}

fn place(size: Size, index: usize) -> String {
    let centre = index % size.centres;
    let region = centre % size.regions;
    format!("\"region\": \"region-{region}\", \"centre\": \"centre-{centre:02}\"")
}

fn address(net: usize, index: usize) -> String {
    format!("10.{net}.{}.{}:7001", index / 250, index % 250 + 1)
}

pub(crate) const HALF: Size = Size {
    nodes: 160,
    engines: 800,
    service_replicas: 150,
    ..TARGET
};

/// Returns the text of a manifest; `change` makes two of them differ in one engine.
pub(crate) fn text(size: Size, change: usize) -> String {
    let mut text = String::from("{\n");
    let entry = |index| {
        let (caller, peer) = (address(1, index), address(1, index).replace(":7", ":9"));
        let place = place(size, index);
        format!("{{\"vm\": \"entry-{index:04}\", {place}, \"address\": \"{caller}\", \"peer\": \"{peer}\"}}")
    };
    list(&mut text, "entry_vms", (0..size.nodes).map(entry));
    let model = |index| {
        format!("{{\"model\": \"model-{index:02}\", \"version\": 1, \"object\": \"weights/model-{index:02}/1\"}}")
    };
    list(&mut text, "models", (0..size.models).map(model));
    let trainer = |index| {
        let model = index % size.models;
        format!("{{\"trainer\": \"trainer-{index:02}\", \"model\": \"model-{model:02}\", \"staleness_bound\": 2, \"group_size\": 8, \"step_samples\": 1024, \"idle_weight\": 0.5}}")
    };
    list(&mut text, "trainers", (0..size.trainers).map(trainer));
    let caller = |index| {
        let model = index % size.models;
        format!("{{\"caller\": \"caller-{index:02}\", \"class\": \"customer\", \"models\": [\"model-{model:02}\"], \"services\": [\"service-0\"]}}")
    };
    list(&mut text, "callers", (0..20).map(caller));
    let quiet = "{\"name\": \"night\", \"time_zone\": \"Europe/Ljubljana\", \"days\": [\"mon\", \"tue\"], \"start\": \"01:30\", \"end\": \"03:30\", \"models\": []}";
    list(&mut text, "quiet_hours", [quiet.to_owned()]);
    let engine = |index| {
        let (place, address, model) = (place(size, index), address(2, index), index % size.models);
        let leaving = if index < change {
            ", \"leaving\": true"
        } else {
            ""
        };
        format!("{{\"upstream\": \"engine-{index:04}\", \"vm\": \"gpu-{index:04}\", {place}, \"address\": \"{address}\", \"models\": [\"model-{model:02}\"], \"checks_fencing\": true{leaving}}}")
    };
    list(&mut text, "engines", (0..size.engines).map(engine));
    let replica = |index| {
        let (place, address) = (place(size, index), address(3, index));
        format!("{{\"upstream\": \"replica-{index:04}\", \"vm\": \"app-{index:04}\", {place}, \"address\": \"{address}\"}}")
    };
    let replicas: Vec<String> = (0..size.service_replicas).map(replica).collect();
    let replicas = replicas.join(",\n    ");
    let _ = write!(text, "  \"services\": [{{\"service\": \"service-0\", \"non_idempotent\": [], \"replicas\": [\n    {replicas}]}}]\n}}\n");
    text
}
