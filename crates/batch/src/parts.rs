//! Splits values that exceed the size of one row.

/// The maximum size of a part in bytes. A part is the value of one row and must fit into it.
pub const PART_BYTES: usize = 60_000;

/// Splits a value into parts. An empty value gives one empty part.
pub fn split(value: &[u8]) -> Vec<Vec<u8>> {
    if value.is_empty() {
        return vec![Vec::new()];
    }
    value.chunks(PART_BYTES).map(<[u8]>::to_vec).collect()
}

/// Concatenates the parts of a value, in order.
pub fn join<'a>(parts: impl Iterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut value = Vec::new();
    for part in parts {
        value.extend_from_slice(part);
    }
    value
}
