//! Reads JSON with comments and collects all faults with their positions.

use crate::error::{Category, Cause, Error, Fault};
use crate::syntax;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::str::FromStr;

/// The maximum length in characters of a quoted value in an error message.
const MAX_QUOTED_CHARS: usize = 80;

/// The namespace of a name. Names are unique within their namespace.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum NameKind {
    Address,
    Caller,
    Model,
    QuietHours,
    Service,
    Trainer,
    Upstream,
    Vm,
}

impl NameKind {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Address => "address",
            Self::Caller => "caller",
            Self::Model => "model",
            Self::QuietHours => "quiet hour",
            Self::Service => "service",
            Self::Trainer => "trainer",
            Self::Upstream => "upstream",
            Self::Vm => "entry VM",
        }
    }
}

/// A JSON value with its path and its byte offset in the document.
#[derive(Clone, Debug)]
pub(crate) struct Item<'a> {
    pub(crate) path: String,
    pub(crate) offset: usize,
    value: &'a Value<'a>,
}

/// The known fields of an object.
pub(crate) struct Fields<'a> {
    path: String,
    offset: usize,
    values: BTreeMap<&'a str, &'a Value<'a>>,
}

/// Collects faults, definitions and references while a document is read.
#[derive(Default)]
pub(crate) struct Reader {
    /// The faults with the offset and the path of their values.
    faults: Vec<(usize, String, Cause)>,
    /// The paths at which names are defined.
    defined: BTreeMap<(NameKind, String), String>,
    /// The kind, the name, the path and the offset of each reference.
    referenced: Vec<(NameKind, String, String, usize)>,
}

/// Parses a document and reads it with `read`. Returns the value if there are no faults.
pub(crate) fn read<T>(
    text: &str,
    read: impl FnOnce(&mut Reader, Item<'_>) -> Option<T>,
) -> Result<T, Error> {
    let value = syntax::parse(text)?;
    let mut reader = Reader::default();
    let root = Item {
        path: String::new(),
        offset: value.range().start,
        value: &value,
    };
    let result = read(&mut reader, root);
    reader.check_references();
    match result {
        Some(value) if reader.faults.is_empty() => Ok(value),
        _ => Err(Error::new(
            Category::Invalid,
            syntax::locate(text, reader.faults),
        )),
    }
}

impl Reader {
    pub(crate) fn add_fault(&mut self, item: &Item<'_>, cause: Cause) {
        self.faults.push((item.offset, item.path.clone(), cause));
    }

    fn type_mismatch(&mut self, item: &Item<'_>, expected: &'static str) {
        let found = match item.value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "a boolean",
            Value::Object(_) => "an object",
            Value::Array(_) => "an array",
            Value::NullKeyword(_) => "null",
        };
        self.add_fault(item, Cause::Type { expected, found });
    }

    pub(crate) fn object<'a>(&mut self, item: &Item<'a>, known: &[&str]) -> Option<Fields<'a>> {
        let Value::Object(object) = item.value else {
            self.type_mismatch(item, "an object");
            return None;
        };
        Some(self.fields(item, object, known))
    }

    fn fields<'a>(
        &mut self,
        item: &Item<'a>,
        object: &'a Object<'a>,
        known: &[&str],
    ) -> Fields<'a> {
        let mut fields = Fields {
            path: item.path.clone(),
            offset: item.offset,
            values: BTreeMap::new(),
        };
        for property in &object.properties {
            let name = property.name.as_str();
            let path = join(&item.path, &truncate(name));
            let offset = property.range.start;
            if !known.contains(&name) {
                let cause = Cause::UnknownField(known.join(", "));
                self.faults.push((offset, path, cause));
            } else if fields.values.insert(name, &property.value).is_some() {
                self.faults.push((offset, path, Cause::RepeatedField));
            }
        }
        fields
    }

    pub(crate) fn required<'a>(&mut self, fields: &Fields<'a>, name: &str) -> Option<Item<'a>> {
        let item = fields.optional(name);
        if item.is_none() {
            let path = join(&fields.path, name);
            self.faults.push((fields.offset, path, Cause::Missing));
        }
        item
    }

    /// Reads a required field.
    pub(crate) fn required_field<'a, T>(
        &mut self,
        fields: &Fields<'a>,
        name: &str,
        read: impl FnOnce(&mut Self, &Item<'a>) -> Option<T>,
    ) -> Option<T> {
        let item = self.required(fields, name)?;
        read(self, &item)
    }

    pub(crate) fn list<'a>(&mut self, item: &Item<'a>) -> Vec<Item<'a>> {
        let Value::Array(array) = item.value else {
            self.type_mismatch(item, "an array");
            return Vec::new();
        };
        let element = |(index, value): (usize, &'a Value<'a>)| Item {
            path: format!("{}[{index}]", item.path),
            offset: value.range().start,
            value,
        };
        array.elements.iter().enumerate().map(element).collect()
    }

    pub(crate) fn text<'a>(&mut self, item: &Item<'a>) -> Option<&'a str> {
        let Value::StringLit(text) = item.value else {
            self.type_mismatch(item, "a string");
            return None;
        };
        Some(&text.value)
    }

    pub(crate) fn boolean(&mut self, item: &Item<'_>) -> Option<bool> {
        let Value::BooleanLit(value) = item.value else {
            self.type_mismatch(item, "a boolean");
            return None;
        };
        Some(value.value)
    }

    pub(crate) fn integer(&mut self, item: &Item<'_>, low: u64, high: u64) -> Option<u64> {
        let Value::NumberLit(number) = item.value else {
            self.type_mismatch(item, "an integer");
            return None;
        };
        let digits = number.value.strip_prefix('-').unwrap_or(number.value);
        if !digits.bytes().all(|b| b.is_ascii_digit()) {
            self.type_mismatch(item, "an integer");
            return None;
        }
        match number.value.parse::<u64>() {
            Ok(value) if (low..=high).contains(&value) => Some(value),
            _ => {
                let found = truncate(number.value);
                self.add_fault(item, Cause::Range { found, low, high });
                None
            }
        }
    }

    /// Reads a number from 0 to 1.
    pub(crate) fn fraction(&mut self, item: &Item<'_>) -> Option<f64> {
        let Value::NumberLit(number) = item.value else {
            self.type_mismatch(item, "a number");
            return None;
        };
        match number.value.parse::<f64>() {
            // The absolute value replaces -0.0 by 0.0.
            Ok(value) if (0.0..=1.0).contains(&value) => Some(value.abs()),
            _ => {
                let found = truncate(number.value);
                let (low, high) = (0, 1);
                self.add_fault(item, Cause::Range { found, low, high });
                None
            }
        }
    }

    /// Reads a string in the format that `parse` accepts.
    pub(crate) fn parse<T>(
        &mut self,
        item: &Item<'_>,
        expected: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.text(item)?;
        let value = parse(text);
        if value.is_none() {
            let found = truncate(text);
            self.add_fault(item, Cause::Format { found, expected });
        }
        value
    }

    pub(crate) fn name<T: FromStr>(&mut self, item: &Item<'_>) -> Option<T> {
        let expected = "a name: use 1 to 64 of a-z, 0-9, `.`, `_` and `-`";
        self.parse(item, expected, |text| text.parse().ok())
    }

    pub(crate) fn address(&mut self, item: &Item<'_>) -> Option<SocketAddr> {
        self.parse(
            item,
            "an address `ip:port` with a port from 1 to 65535",
            |text| {
                let address: SocketAddr = text.parse().ok()?;
                (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
            },
        )
    }

    /// Reads a name and registers its definition.
    pub(crate) fn define<T>(&mut self, item: &Item<'_>, kind: NameKind) -> Option<T>
    where
        T: FromStr + ToString,
    {
        let name: T = self.name(item)?;
        self.register(item, kind, name.to_string());
        Some(name)
    }

    /// Reads an address that must not be used elsewhere in the document.
    pub(crate) fn unique_address(&mut self, item: &Item<'_>) -> Option<SocketAddr> {
        let address = self.address(item)?;
        self.register(item, NameKind::Address, address.to_string());
        Some(address)
    }

    fn register(&mut self, item: &Item<'_>, kind: NameKind, name: String) {
        let key = (kind, name);
        if let Some(first) = self.defined.get(&key).cloned() {
            let (kind, name) = (kind.as_str(), key.1);
            self.add_fault(item, Cause::Duplicate { kind, name, first });
        } else {
            self.defined.insert(key, item.path.clone());
        }
    }

    /// Reads a name that must be defined elsewhere in the document.
    pub(crate) fn reference<T>(&mut self, item: &Item<'_>, kind: NameKind) -> Option<T>
    where
        T: FromStr + ToString,
    {
        let name: T = self.name(item)?;
        self.referenced
            .push((kind, name.to_string(), item.path.clone(), item.offset));
        Some(name)
    }

    /// Reads an array of distinct names that must be defined elsewhere in the document.
    pub(crate) fn references<T>(&mut self, list: &Item<'_>, kind: NameKind) -> Vec<T>
    where
        T: Clone + FromStr + Ord + ToString,
    {
        let mut seen = BTreeSet::new();
        let mut names = Vec::new();
        for item in self.list(list) {
            let Some(name) = self.reference::<T>(&item, kind) else {
                continue;
            };
            if seen.insert(name.clone()) {
                names.push(name);
            } else {
                self.add_duplicate(&item, list, kind.as_str(), name.to_string());
            }
        }
        names
    }

    /// Reports a repeated element of an array.
    pub(crate) fn add_duplicate(
        &mut self,
        item: &Item<'_>,
        list: &Item<'_>,
        kind: &'static str,
        name: String,
    ) {
        let first = list.path.clone();
        self.add_fault(item, Cause::Duplicate { kind, name, first });
    }

    /// Reports references to names that are not defined.
    fn check_references(&mut self) {
        for (kind, name, path, offset) in std::mem::take(&mut self.referenced) {
            if !self.defined.contains_key(&(kind, name.clone())) {
                let kind = kind.as_str();
                self.faults
                    .push((offset, path, Cause::Undefined { kind, name }));
            }
        }
    }
}

impl Item<'_> {
    pub(crate) fn is_empty_list(&self) -> bool {
        matches!(self.value, Value::Array(array) if array.elements.is_empty())
    }
}

impl<'a> Fields<'a> {
    pub(crate) fn optional(&self, name: &str) -> Option<Item<'a>> {
        let value = *self.values.get(name)?;
        Some(Item {
            path: join(&self.path, name),
            offset: value.range().start,
            value,
        })
    }
}

impl Fault {
    pub(crate) fn at(path: String, position: (usize, usize), cause: Cause) -> Self {
        Self {
            path,
            line: position.0,
            column: position.1,
            cause,
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn truncate(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}
