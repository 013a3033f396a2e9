use std::io::Write;

/// Where a command writes: JSON or text to `out`, notes to `err`.
pub(crate) struct Output<'a> {
    pub(crate) json: bool,
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
}

impl Output<'_> {
    /// Writes a result. A closed output, as of a pager, is not an error.
    pub(crate) fn write(&mut self, json: &serde_json::Value, text: impl FnOnce() -> String) {
        let line = if self.json { json.to_string() } else { text() };
        if !line.is_empty() {
            let _ = writeln!(self.out, "{line}");
        }
    }

    /// Writes a note about a part of the result that is missing.
    pub(crate) fn note(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }
}
