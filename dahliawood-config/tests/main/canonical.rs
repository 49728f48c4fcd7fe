//! The canonical form: equivalent configurations have the same text, and the text parses to the
//! same configuration.

use crate::{generator, support};
use dahliawood_config::{canonical, parse};
use proptest::prelude::*;

#[test]
fn canonical_text_parses_to_the_same_configuration() {
    let run = support::runner(128).run(&generator::file(), |file| {
        let config = support::config(&file.text());
        let text = canonical::text(&config);
        let again = parse::file("canonical.toml", &text);
        prop_assert_eq!(again.as_ref(), Ok(&config));
        prop_assert_eq!(canonical::text(&config), text);
        Ok(())
    });
    run.unwrap();
}

#[test]
fn order_of_tables_does_not_change_the_configuration() {
    let run = support::runner(128).run(&generator::reordered_file(), |(one, other)| {
        let one = support::config(&one.text());
        let other = support::config(&other.text());
        prop_assert_eq!(canonical::revision(&one), canonical::revision(&other));
        prop_assert_eq!(one, other);
        Ok(())
    });
    run.unwrap();
}

#[test]
fn revisions_are_equal_only_for_equal_configurations() {
    let cases = (generator::file(), generator::file());
    let run = support::runner(128).run(&cases, |(one, other)| {
        let one = support::config(&one.text());
        let other = support::config(&other.text());
        let same_revision = canonical::revision(&one) == canonical::revision(&other);
        prop_assert_eq!(same_revision, one == other);
        Ok(())
    });
    run.unwrap();
}
