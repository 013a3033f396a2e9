/// Why an experiment could not be made.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The scenario is not what it has to be.
    #[error("the scenario has faults: {0}")]
    Scenario(String),
    /// A value of the scenario is out of its range.
    #[error("{field} is {value}, but has to be {wanted}")]
    Range {
        /// The field.
        field: &'static str,
        /// What it is.
        value: String,
        /// What it has to be.
        wanted: &'static str,
    },
    /// A report is not what it has to be.
    #[error("the report has faults: {0}")]
    Report(#[from] serde_json::Error),
    /// The plot could not be drawn.
    #[error("the plot can't be drawn: {0}")]
    Plot(String),
}
