use std::io::Write;

/// The output of a command: results as JSON or text to `out`, notes to `err`.
pub(crate) struct Output<'a> {
    pub(crate) json: bool,
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
}

impl Output<'_> {
    /// Writes a result. Write errors are ignored, because a pager may close the pipe early.
    pub(crate) fn write(&mut self, json: &serde_json::Value, text: impl FnOnce() -> String) {
        let line = if self.json { json.to_string() } else { text() };
        if !line.is_empty() {
            let _ = writeln!(self.out, "{line}");
        }
    }

    /// Writes an error, or a note about an incomplete result.
    pub(crate) fn note(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }
}
