use crate::reader::{self, Fields, Item, NameKind, Reader};
use crate::section::{
    Call, Caller, Engine, Entry, Model, QuietHours, Replica, Service, Trainer, Zone,
};
use crate::section::{Day, Time};
use crate::{Cause, Error, Result};
use dogwoodlb_types::{id, Class};
use serde::Serialize;

/// The maximum of `staleness_bound`. A larger bound would let a trainer run ahead by more steps
/// than the ledger is designed for.
const MAX_STALENESS: u64 = 64;
/// The maximum of `step_samples` and `group_size`.
const MAX_STEP_SAMPLES: u64 = 65_536;
/// The maximum weight version. JSON numbers above 2^53 - 1 lose precision in many of the tools that
/// generate manifests.
const MAX_VERSION: u64 = (1 << 53) - 1;
/// The maximum length of object names and path prefixes in bytes.
const MAX_STRING_BYTES: usize = 512;

/// A valid manifest: the entry VMs, models, clients and upstreams, as operators configure them.
///
/// Manifests are created by [`from_str`](crate::from_str) or [`joint`](crate::joint()) only, so
/// every value is within its range and every reference is defined.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Manifest {
    /// The entry VMs.
    pub entry_vms: Vec<Entry>,
    /// The models.
    pub models: Vec<Model>,
    /// The trainers.
    pub trainers: Vec<Trainer>,
    /// The callers.
    pub callers: Vec<Caller>,
    /// The quiet hours.
    pub quiet_hours: Vec<QuietHours>,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The plain services.
    pub services: Vec<Service>,
}

impl Manifest {
    /// Returns the number of entry VMs that form a majority (quorum).
    pub fn quorum(&self) -> usize {
        self.entry_vms.len() / 2 + 1
    }

    /// Returns whether the manifest lists an entry VM.
    pub fn contains_vm(&self, vm: &id::Vm) -> bool {
        self.entry_vms.iter().any(|entry| entry.vm == *vm)
    }
}

impl std::str::FromStr for Manifest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        reader::read(text, manifest)
    }
}

fn manifest(reader: &mut Reader, root: Item<'_>) -> Option<Manifest> {
    let known = [
        "entry_vms",
        "models",
        "trainers",
        "callers",
        "quiet_hours",
        "engines",
        "services",
    ];
    let fields = reader.object(&root, &known)?;
    if let Some(item) = reader.required(&fields, "entry_vms") {
        require_non_empty(reader, &item);
    }
    Some(Manifest {
        entry_vms: section(reader, &fields, "entry_vms", entry),
        models: section(reader, &fields, "models", model),
        trainers: section(reader, &fields, "trainers", trainer),
        callers: section(reader, &fields, "callers", caller),
        quiet_hours: section(reader, &fields, "quiet_hours", quiet_hours),
        engines: section(reader, &fields, "engines", engine),
        services: section(reader, &fields, "services", service),
    })
}

fn require_non_empty(reader: &mut Reader, item: &Item<'_>) {
    if item.is_empty_list() {
        reader.add_fault(item, Cause::Empty);
    }
}

fn section<'a, T>(
    reader: &mut Reader,
    fields: &Fields<'a>,
    name: &str,
    read: impl Fn(&mut Reader, &Item<'a>) -> Option<T>,
) -> Vec<T> {
    let Some(list) = fields.optional(name) else {
        return Vec::new();
    };
    let items = reader.list(&list);
    items.iter().filter_map(|item| read(reader, item)).collect()
}

fn entry(reader: &mut Reader, item: &Item<'_>) -> Option<Entry> {
    let known = ["vm", "region", "centre", "address", "peer"];
    let fields = reader.object(item, &known)?;
    let vm = reader.required_field(&fields, "vm", |reader, item| {
        reader.define(item, NameKind::Vm)
    });
    let region = reader.required_field(&fields, "region", Reader::name);
    let centre = reader.required_field(&fields, "centre", Reader::name);
    let address = reader.required_field(&fields, "address", Reader::unique_address);
    let peer = reader.required_field(&fields, "peer", Reader::unique_address);
    Some(Entry {
        vm: vm?,
        region: region?,
        centre: centre?,
        address: address?,
        peer: peer?,
    })
}

fn model(reader: &mut Reader, item: &Item<'_>) -> Option<Model> {
    let fields = reader.object(item, &["model", "version", "object"])?;
    let model = reader.required(&fields, "model");
    let version = reader.required(&fields, "version");
    let object = reader.required(&fields, "object");
    let model = model.and_then(|item| reader.define(&item, NameKind::Model));
    let version = version.and_then(|item| reader.integer(&item, 0, MAX_VERSION));
    let object = object.and_then(|item| {
        reader.parse(&item, "an object name of 1 to 512 bytes", |text| {
            let is_printable = text.bytes().all(|b| b.is_ascii_graphic());
            (is_printable && (1..=MAX_STRING_BYTES).contains(&text.len())).then(|| text.to_owned())
        })
    });
    Some(Model {
        model: model?,
        version: id::Version(version?),
        object: object?,
    })
}

fn trainer(reader: &mut Reader, item: &Item<'_>) -> Option<Trainer> {
    let known = [
        "trainer",
        "model",
        "staleness_bound",
        "group_size",
        "step_samples",
        "idle_weight",
        "scorer",
    ];
    let fields = reader.object(item, &known)?;
    let trainer = reader.required(&fields, "trainer");
    let trainer = trainer.and_then(|item| reader.define(&item, NameKind::Trainer));
    let model = reader.required(&fields, "model");
    let model = model.and_then(|item| reader.reference(&item, NameKind::Model));
    let staleness_bound = bounded_integer(reader, &fields, "staleness_bound", (0, MAX_STALENESS));
    let group_size = bounded_integer(reader, &fields, "group_size", (1, MAX_STEP_SAMPLES));
    let step_samples = bounded_integer(reader, &fields, "step_samples", (1, MAX_STEP_SAMPLES));
    if let (Some(group), Some(samples)) = (group_size, step_samples) {
        if let (false, Some(item)) = (samples % group == 0, fields.optional("step_samples")) {
            let (group, samples) = (u64::from(group), u64::from(samples));
            reader.add_fault(&item, Cause::NotMultiple { samples, group });
        }
    }
    let idle_weight = reader.required_field(&fields, "idle_weight", Reader::fraction);
    let scorer = fields.optional("scorer");
    let scorer = scorer.and_then(|item| reader.reference(&item, NameKind::Service));
    Some(Trainer {
        trainer: trainer?,
        model: model?,
        staleness_bound: staleness_bound?,
        group_size: group_size?,
        step_samples: step_samples?,
        idle_weight: idle_weight?,
        scorer,
    })
}

fn bounded_integer(
    reader: &mut Reader,
    fields: &Fields<'_>,
    name: &str,
    (low, high): (u64, u64),
) -> Option<u32> {
    let item = reader.required(fields, name)?;
    let value = reader.integer(&item, low, high)?;
    u32::try_from(value).ok()
}

fn caller(reader: &mut Reader, item: &Item<'_>) -> Option<Caller> {
    let fields = reader.object(item, &["caller", "class", "models", "services"])?;
    let caller = reader.required(&fields, "caller");
    let caller = caller.and_then(|item| reader.define(&item, NameKind::Caller));
    let class = reader.required(&fields, "class");
    let class = class.and_then(|item| {
        reader.parse(&item, "`customer`, `trainer` or `background`", |text| {
            Class::ALL.into_iter().find(|class| class.as_str() == text)
        })
    });
    let models = names(reader, &fields, "models", NameKind::Model);
    let services = names(reader, &fields, "services", NameKind::Service);
    Some(Caller {
        caller: caller?,
        class: class?,
        models,
        services,
    })
}

fn names<T>(reader: &mut Reader, fields: &Fields<'_>, name: &str, kind: NameKind) -> Vec<T>
where
    T: Clone + std::str::FromStr + Ord + ToString,
{
    let list = fields.optional(name);
    list.map(|list| reader.references(&list, kind))
        .unwrap_or_default()
}

fn quiet_hours(reader: &mut Reader, item: &Item<'_>) -> Option<QuietHours> {
    let known = ["name", "time_zone", "days", "start", "end", "models"];
    let fields = reader.object(item, &known)?;
    let name = reader.required(&fields, "name");
    // Quiet hours have no id type; `id::Lease` only checks the format, which all names share.
    let name = name.and_then(|item| reader.define::<id::Lease>(&item, NameKind::QuietHours));
    let zone = reader.required_field(&fields, "time_zone", time_zone);
    let days = reader.required(&fields, "days");
    let days = days.map(|item| weekdays(reader, &item));
    let start = reader.required_field(&fields, "start", time);
    let end = reader.required_field(&fields, "end", time);
    if let (true, Some(item)) = (start.is_some() && start == end, fields.optional("end")) {
        let found = end.map(|end| end.to_string()).unwrap_or_default();
        let expected = "different from the start; use 00:00 and 24:00 for a whole day";
        reader.add_fault(&item, Cause::Format { found, expected });
    }
    let models = names(reader, &fields, "models", NameKind::Model);
    Some(QuietHours {
        name: name?.to_string(),
        time_zone: zone?,
        days: days?,
        start: start?,
        end: end?,
        models,
    })
}

fn time(reader: &mut Reader, item: &Item<'_>) -> Option<Time> {
    reader.parse(item, "a time `HH:MM` from 00:00 to 24:00", Time::parse)
}

fn time_zone(reader: &mut Reader, item: &Item<'_>) -> Option<Zone> {
    let text = reader.text(item)?;
    let zone = Zone::get(text);
    if zone.is_none() {
        let name = text.chars().take(64).collect();
        reader.add_fault(item, Cause::TimeZone(name));
    }
    zone
}

fn weekdays(reader: &mut Reader, list: &Item<'_>) -> Vec<Day> {
    require_non_empty(reader, list);
    let mut days: Vec<Day> = Vec::new();
    for item in reader.list(list) {
        let day = reader.parse(&item, "a day from `mon` to `sun`", |text| {
            Day::ALL.into_iter().find(|day| day.as_str() == text)
        });
        match day {
            Some(day) if days.contains(&day) => {
                reader.add_duplicate(&item, list, "day", day.as_str().to_owned());
            }
            Some(day) => days.push(day),
            None => {}
        }
    }
    days
}

fn replica(reader: &mut Reader, fields: &Fields<'_>) -> Option<Replica> {
    let upstream = reader.required(fields, "upstream");
    let upstream = upstream.and_then(|item| reader.define(&item, NameKind::Upstream));
    let vm = reader.required_field(fields, "vm", Reader::name);
    let region = reader.required_field(fields, "region", Reader::name);
    let centre = reader.required_field(fields, "centre", Reader::name);
    let address = reader.required_field(fields, "address", Reader::unique_address);
    let leaving = fields.optional("leaving");
    let leaving = leaving.and_then(|item| reader.boolean(&item));
    Some(Replica {
        upstream: upstream?,
        vm: vm?,
        region: region?,
        centre: centre?,
        address: address?,
        leaving: leaving.unwrap_or(false),
    })
}

fn engine(reader: &mut Reader, item: &Item<'_>) -> Option<Engine> {
    let known = [
        "upstream",
        "vm",
        "region",
        "centre",
        "address",
        "models",
        "checks_fencing",
        "leaving",
    ];
    let fields = reader.object(item, &known)?;
    let replica = replica(reader, &fields);
    let models = reader.required(&fields, "models");
    let models = models.map(|item| reader.references(&item, NameKind::Model));
    let checks_fencing = reader.required_field(&fields, "checks_fencing", Reader::boolean);
    let replica = replica?;
    Some(Engine {
        upstream: replica.upstream,
        vm: replica.vm,
        region: replica.region,
        centre: replica.centre,
        address: replica.address,
        models: models?,
        checks_fencing: checks_fencing?,
        leaving: replica.leaving,
    })
}

fn service(reader: &mut Reader, item: &Item<'_>) -> Option<Service> {
    let fields = reader.object(item, &["service", "non_idempotent", "replicas"])?;
    let service = reader.required(&fields, "service");
    let service = service.and_then(|item| reader.define(&item, NameKind::Service));
    reader.required(&fields, "replicas");
    let known = ["upstream", "vm", "region", "centre", "address", "leaving"];
    let replicas = section(reader, &fields, "replicas", |reader, item| {
        let fields = reader.object(item, &known)?;
        replica(reader, &fields)
    });
    Some(Service {
        service: service?,
        non_idempotent: section(reader, &fields, "non_idempotent", call),
        replicas,
    })
}

fn call(reader: &mut Reader, item: &Item<'_>) -> Option<Call> {
    let fields = reader.object(item, &["method", "path"])?;
    let method = reader.required(&fields, "method");
    let method = method.and_then(|item| {
        reader.parse(&item, "a method of 1 to 16 capital letters", |text| {
            let is_upper_case = text.bytes().all(|b| b.is_ascii_uppercase());
            (is_upper_case && (1..=16).contains(&text.len())).then(|| text.to_owned())
        })
    });
    let path = reader.required(&fields, "path");
    let path = path.and_then(|item| {
        reader.parse(
            &item,
            "a path of at most 512 bytes that starts with `/`",
            |text| {
                (text.starts_with('/') && text.len() <= MAX_STRING_BYTES).then(|| text.to_owned())
            },
        )
    });
    Some(Call {
        method: method?,
        path: path?,
    })
}
