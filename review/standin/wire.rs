//! The platform's names on the wire, from `wire.txt`.

const NAMES: &str = include_str!("wire.txt");

/// The platform's name for `key`.
pub fn name(key: &str) -> &'static str {
    let mut pairs = NAMES.lines().filter_map(|line| line.split_once(" = "));
    let found = pairs.find(|(known, _)| *known == key);
    found.map_or("", |(_, name)| name)
}
