//! The platform's names, which stand in a text of their own: in sources they may only appear in the adapter.

/// The short name that the sources use, and the platform's, of each.
fn all() -> impl Iterator<Item = (&'static str, &'static str)> {
    include_str!("names.txt")
        .lines()
        .filter_map(|line| line.split_once(" = "))
}

/// Replaces the short names in a text by the platform's.
pub fn fill(text: &str) -> String {
    let mut filled = text.to_owned();
    for (short, name) in all() {
        if filled.contains(short) {
            filled = filled.replace(short, name);
        }
    }
    filled
}

/// Replaces the platform's name at the start of a path by the short one.
pub fn shorten(path: &str) -> String {
    let found = all().find(|(_, name)| {
        path.strip_prefix(name)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    });
    found.map_or(path.to_owned(), |(short, name)| {
        path.replacen(name, short, 1)
    })
}
