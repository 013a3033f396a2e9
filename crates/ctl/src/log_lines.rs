//! Merges the logs of several processes, lines of `key=value` pairs, by time.

use crate::error::{Category, Error};
use crate::output::Output;
use crate::{args, Result};
use serde_json::{json, Map, Value};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

/// The message of a process's first line, which carries its name in `node`.
const STARTED_MESSAGE: &str = "started";

/// One log line of one process.
struct LogLine {
    time: String,
    process: String,
    fields: Vec<(String, String)>,
}

/// Prints the matching lines of all files, merged by time.
pub(crate) fn run(args: &args::Timeline, output: &mut Output<'_>) -> Result<()> {
    let mut lines = Vec::new();
    for path in &args.log {
        let skipped = read(path, args, &mut lines)?;
        if skipped > 0 {
            output.note(&format!("{skipped} lines of {path} are not log lines"));
        }
    }
    // The sort is stable, so that lines of a process with equal times keep their order.
    lines.sort_by(|a, b| a.sort_key().cmp(b.sort_key()));
    let events: Vec<_> = lines.iter().map(LogLine::to_json).collect();
    output.write(&json!({ "events": events }), || {
        let lines = lines.iter().map(LogLine::to_text);
        lines.collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

/// Appends the matching lines of a file. Returns the number of lines that are not log lines.
fn read(path: &str, args: &args::Timeline, lines: &mut Vec<LogLine>) -> Result<usize> {
    let failed = |error| {
        let advice = "Pass a file with the standard output of one process.";
        Error::new(Category::Usage, "cannot read the log", path, error, advice)
    };
    let stem = Path::new(path).file_stem().unwrap_or_default();
    let mut process = stem.to_string_lossy().into_owned();
    let mut time = String::new();
    let mut skipped = 0;
    let mut reader = BufReader::new(File::open(path).map_err(failed)?);
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes).map_err(failed)? > 0 {
        // The last line of a killed process may end within a multi-byte character.
        let fields = parse_fields(String::from_utf8_lossy(&bytes).trim_end());
        bytes.clear();
        let Some(fields) = fields else {
            skipped += 1;
            continue;
        };
        let get = |wanted| fields.iter().find(|(key, _)| key == wanted);
        // The line that counts suppressed lines has no timestamp; it gets that of the line before.
        if let Some((_, timestamp)) = get("ts") {
            time.clone_from(timestamp);
        }
        let is_start = get("message").is_some_and(|(_, value)| value == STARTED_MESSAGE);
        if let (true, Some((_, name))) = (is_start, get("node")) {
            process.clone_from(name);
        }
        let line = LogLine {
            time: time.clone(),
            process: process.clone(),
            fields,
        };
        if line.matches(args) {
            lines.push(line);
        }
    }
    Ok(skipped)
}

impl LogLine {
    fn get(&self, wanted: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(key, _)| key == wanted);
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the time as text that sorts chronologically. All times are UTC; the `Z` is removed
    /// because fractions differ in length and `Z` sorts after `.`.
    fn sort_key(&self) -> &str {
        self.time.trim_end_matches('Z')
    }

    fn matches(&self, args: &args::Timeline) -> bool {
        let filters = [
            ("request", &args.request),
            ("batch", &args.batch),
            ("item", &args.item),
            ("replica", &args.replica),
            ("service", &args.service),
        ];
        let holds = |key, wanted: &Option<String>| match wanted {
            Some(wanted) => self.get(key) == Some(wanted),
            None => true,
        };
        // Includes lines of other processes that name this one.
        let is_holder = match &args.holder {
            Some(holder) => self.process == *holder || self.get("node") == Some(holder),
            None => true,
        };
        is_holder && filters.iter().all(|(key, wanted)| holds(key, wanted))
    }

    fn fields_without_time(&self) -> impl Iterator<Item = &(String, String)> {
        self.fields.iter().filter(|(key, _)| key != "ts")
    }

    fn to_json(&self) -> Value {
        let mut object = Map::new();
        object.insert("ts".to_owned(), json!(self.time));
        object.insert("process".to_owned(), json!(self.process));
        for (key, value) in self.fields_without_time() {
            object.insert(key.clone(), json!(value));
        }
        Value::Object(object)
    }

    fn to_text(&self) -> String {
        let mut text = format!("{} {}", self.time, self.process);
        for (key, value) in self.fields_without_time() {
            match value.contains([' ', '"', '=']) {
                true => text.push_str(&format!(" {key}={value:?}")),
                false => text.push_str(&format!(" {key}={value}")),
            }
        }
        text
    }
}

/// Parses a line as pairs; returns `None` if it has none or one is malformed.
fn parse_fields(line: &str) -> Option<Vec<(String, String)>> {
    let mut fields = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let (key, remaining) = rest.split_once('=')?;
        if key.is_empty() || key.contains([' ', '"']) {
            return None;
        }
        let (value, remaining) = match remaining.strip_prefix('"') {
            Some(quoted) => unquote(quoted)?,
            None => {
                let (value, remaining) = remaining.split_once(' ').unwrap_or((remaining, ""));
                (value.to_owned(), remaining)
            }
        };
        fields.push((key.to_owned(), value));
        rest = remaining.trim_start_matches(' ');
    }
    (!fields.is_empty()).then_some(fields)
}

/// Unescapes the text up to the closing quote, and returns it with the rest of the line.
fn unquote(quoted: &str) -> Option<(String, &str)> {
    let mut text = String::new();
    let mut chars = quoted.char_indices();
    while let Some((index, char)) = chars.next() {
        match char {
            '"' => return Some((text, &quoted[index + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                'r' => text.push('\r'),
                other => text.push(other),
            },
            _ => text.push(char),
        }
    }
    None
}
