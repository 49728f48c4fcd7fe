//! The platform's names on the wire, from `names.txt`: Rust sources outside of `platform/` don't hold them.

const NAMES: &str = include_str!("names.txt");

/// The platform's name for `key`.
pub fn name(key: &str) -> &'static str {
    let mut pairs = NAMES.lines().filter_map(|line| line.split_once(" = "));
    let found = pairs.find(|(known, _)| *known == key);
    found.map(|(_, name)| name).expect("names.txt has the key")
}
