use crate::error::{Category, Error};
use crate::Result;
use dogwoodlb_manifest::{Manifest, MAX_BYTES};
use std::io::Read;

/// Reads a file, up to one byte over the size limit of a manifest, which suffices for the parser
/// to reject it as too large.
pub(crate) fn read(path: &str) -> Result<String> {
    let limit = u64::try_from(MAX_BYTES).unwrap_or(u64::MAX) + 1;
    let mut text = String::new();
    let read =
        std::fs::File::open(path).and_then(|file| file.take(limit).read_to_string(&mut text));
    match read {
        Ok(_) => Ok(text),
        Err(error) => Err(Error::new(
            Category::Usage,
            "cannot read the file",
            path,
            error,
            "Pass a manifest file that you have permission to read.",
        )),
    }
}

pub(crate) fn parse(path: &str, text: &str) -> Result<Manifest> {
    dogwoodlb_manifest::from_str(text).map_err(|error| {
        let advice = "Fix the file; `dogwoodctl check` lists its faults.";
        let what = format!("manifest rejected with {} fault(s)", error.faults().len());
        Error::new(Category::Refused, what, path, format!("\n{error}"), advice)
    })
}
