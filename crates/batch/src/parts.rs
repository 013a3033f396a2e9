//! Splitting of large values over several rows.

/// The size of one part in bytes, which fits into a row.
pub const PART_BYTES: usize = 60_000;

/// Splits a value into parts, at least one.
pub fn split(value: &[u8]) -> Vec<Vec<u8>> {
    if value.is_empty() {
        return vec![Vec::new()];
    }
    value.chunks(PART_BYTES).map(<[u8]>::to_vec).collect()
}

/// Joins the parts of a value.
pub fn join<'a>(parts: impl Iterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut value = Vec::new();
    for part in parts {
        value.extend_from_slice(part);
    }
    value
}
