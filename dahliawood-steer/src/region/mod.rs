//! Which regions a request may reach.

/// Whether a region is on both lists, those of a route and of a customer; an empty list allows all.
pub fn is_allowed(region: &str, lists: [&[String]; 2]) -> bool {
    let allows = |list: &[String]| list.is_empty() || list.iter().any(|allowed| allowed == region);
    lists.into_iter().all(allows)
}
