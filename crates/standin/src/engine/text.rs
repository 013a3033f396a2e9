use super::{job::Job, Config};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "hu", "ja", "ke", "li", "mo", "nu", "pa", "re", "si", "to", "vu", "za",
];

/// The text of one completion, determined by the seeds and the prompt.
pub(super) struct Text {
    hash: u64,
    length: u32,
    /// Whether the text fits the request's token limit without truncation.
    pub(super) is_complete: bool,
}

impl Text {
    pub(super) fn new(config: &Config, job: &Job) -> Self {
        let hash = xxh3_64_with_seed(
            job.prompt.as_bytes(),
            config.seed ^ job.seed.rotate_left(32),
        );
        let drawn = draw_length(config, hash);
        Self {
            hash,
            length: drawn.min(job.max_tokens.max(1)),
            is_complete: drawn <= job.max_tokens.max(1),
        }
    }

    pub(super) fn len(&self) -> u32 {
        self.length
    }

    pub(super) fn token(&self, index: u32) -> String {
        let bits = xxh3_64_with_seed(&index.to_le_bytes(), self.hash);
        let syllable = |shift: u32| SYLLABLES[usize::from((bits >> shift) as u8 & 15)];
        let space = if index == 0 { "" } else { " " };
        match bits >> 60 {
            0..8 => format!("{space}{}{}", syllable(0), syllable(4)),
            _ => format!("{space}{}{}{}", syllable(0), syllable(4), syllable(8)),
        }
    }
}

/// Draws a length from a Pareto distribution.
fn draw_length(config: &Config, hash: u64) -> u32 {
    let bits = xxh3_64(&hash.to_le_bytes()) >> 12;
    // Uniform in (0, 1]; the conversion is exact because 52 bits fit into the mantissa of an f64.
    let uniform = (bits as f64 + 1.0) / (1u64 << 52) as f64;
    let length = f64::from(config.min_tokens.max(1)) * uniform.powf(-1.0 / config.length_exponent);
    // The float-to-integer cast saturates.
    length as u32
}
