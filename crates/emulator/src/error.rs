/// An error of reading a scenario or a report, or of drawing a plot.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The scenario is not valid JSON or has wrong fields.
    #[error("invalid scenario: {0}")]
    Scenario(String),
    /// A value of the scenario is out of range.
    #[error("{field} is {value}, but must be {wanted}")]
    Range {
        /// The path of the field.
        field: &'static str,
        /// Its value.
        value: String,
        /// The valid range.
        wanted: &'static str,
    },
    /// A report can't be parsed or written as JSON.
    #[error("invalid report: {0}")]
    Report(#[from] serde_json::Error),
    /// The plot can't be drawn.
    #[error("cannot draw the plot: {0}")]
    Plot(String),
}
