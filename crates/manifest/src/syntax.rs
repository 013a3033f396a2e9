use crate::error::{Category, Cause, Error, Fault};
use crate::MAX_BYTES;
use jsonc_parser::ast::Value;
use jsonc_parser::{parse_to_ast, CollectOptions, ParseOptions};

/// The maximum nesting depth. A manifest needs 5 levels. The parser is recursive, and its own limit
/// of 512 levels would overflow the stack of a thread with a small stack.
const MAX_DEPTH: usize = 16;

const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses a document within the limits on its size and depth.
pub(crate) fn parse(text: &str) -> Result<Value<'_>, Error> {
    if text.len() > MAX_BYTES {
        let (found, limit) = (text.len(), MAX_BYTES);
        let fault = Fault::at(String::new(), (1, 1), Cause::TooLarge { found, limit });
        return Err(Error::new(Category::TooLarge, vec![fault]));
    }
    if let Some(offset) = find_excess_depth(text) {
        return Err(syntax_error(text, offset, Cause::TooDeep(MAX_DEPTH)));
    }
    let parsed =
        parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS).map_err(|error| {
            let cause = Cause::Syntax(error.kind().to_string().to_lowercase());
            syntax_error(text, error.range().start, cause)
        })?;
    let empty = || syntax_error(text, 0, Cause::Syntax("the document is empty".to_owned()));
    parsed.value.ok_or_else(empty)
}

fn syntax_error(text: &str, offset: usize, cause: Cause) -> Error {
    let faults = locate(text, vec![(offset, String::new(), cause)]);
    Error::new(Category::Syntax, faults)
}

/// Returns the offset of the first bracket beyond the depth limit, ignoring strings and comments.
fn find_excess_depth(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut depth = 0_usize;
    let mut index = 0;
    while index < bytes.len() {
        match bytes[index] {
            b'"' => index = end_of_string(bytes, index),
            b'/' => index = end_of_comment(bytes, index),
            b'[' | b'{' => {
                depth += 1;
                if depth > MAX_DEPTH {
                    return Some(index);
                }
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        index += 1;
    }
    None
}

fn end_of_string(bytes: &[u8], start: usize) -> usize {
    let mut index = start + 1;
    while index < bytes.len() && bytes[index] != b'"' {
        index += if bytes[index] == b'\\' { 2 } else { 1 };
    }
    index
}

fn end_of_comment(bytes: &[u8], start: usize) -> usize {
    let rest = &bytes[start..];
    if rest.starts_with(b"//") {
        let end = rest.iter().position(|&b| b == b'\n' || b == b'\r');
        end.map_or(bytes.len(), |end| start + end)
    } else if rest.starts_with(b"/*") {
        let end = rest[2..].windows(2).position(|pair| pair == b"*/");
        end.map_or(bytes.len(), |end| start + end + 3)
    } else {
        start
    }
}

/// Converts byte offsets to lines and columns, in one pass over the document.
pub(crate) fn locate(text: &str, mut faults: Vec<(usize, String, Cause)>) -> Vec<Fault> {
    faults.sort_by_key(|&(offset, ..)| offset);
    let (mut line, mut column) = (1, 1);
    let mut chars = text.char_indices().peekable();
    let mut located = Vec::with_capacity(faults.len());
    for (offset, path, cause) in faults {
        while let Some((_, c)) = chars.next_if(|&(index, _)| index < offset) {
            if c == '\n' {
                line += 1;
                column = 1;
            } else {
                column += 1;
            }
        }
        located.push(Fault::at(path, (line, column), cause));
    }
    located
}
