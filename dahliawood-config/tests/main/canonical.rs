//! The canonical form: one text for one meaning, which reads back to itself.

use crate::{sketch, support};
use dahliawood_config::{canonical, parse};
use proptest::prelude::*;

#[test]
fn parse_after_print_is_the_identity() {
    let run = support::runner(128).run(&sketch::file(), |sketch| {
        let config = support::config(&sketch.text());
        let text = canonical::text(&config);
        let again = parse::file("canonical.toml", &text);
        prop_assert_eq!(again.as_ref(), Ok(&config));
        prop_assert_eq!(canonical::text(&config), text);
        Ok(())
    });
    run.unwrap();
}

#[test]
fn order_means_nothing() {
    let run = support::runner(128).run(&sketch::reordered_file(), |(one, other)| {
        let one = support::config(&one.text());
        let other = support::config(&other.text());
        prop_assert_eq!(canonical::revision(&one), canonical::revision(&other));
        prop_assert_eq!(one, other);
        Ok(())
    });
    run.unwrap();
}

#[test]
fn revision_tells_different_meanings_apart() {
    let cases = (sketch::file(), sketch::file());
    let run = support::runner(128).run(&cases, |(one, other)| {
        let one = support::config(&one.text());
        let other = support::config(&other.text());
        let same_revision = canonical::revision(&one) == canonical::revision(&other);
        prop_assert_eq!(same_revision, one == other);
        Ok(())
    });
    run.unwrap();
}
