/// An order of replicas. The count is absolute, so that a repeated order changes nothing.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// The data centre.
    pub centre: String,
    /// Whether the order is for spot replicas.
    pub is_spot: bool,
    /// How many replicas of this kind the service has there from then on.
    pub count: u32,
}
