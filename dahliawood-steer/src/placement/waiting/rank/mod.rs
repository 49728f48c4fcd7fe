//! Rank of a request among those that compete for the slots of a service.

/// Priorities of a request's customer and route; 0 is the highest, so lower ranks go first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRank {
    /// Priority of the customer, which takes precedence.
    pub customer: u32,
    /// Priority of the route.
    pub route: u32,
}
