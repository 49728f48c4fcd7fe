//! The diff: empty for equal configurations, complete for different ones, and without secrets.

use crate::{generator, support};
use dahliawood_config::{canonical, diff, keys};
use dahliawood_model::tables::FleetConfig;
use proptest::prelude::*;

#[test]
fn diff_is_empty_if_and_only_if_the_canonical_texts_are_equal() {
    let cases = (generator::reordered_file(), generator::file());
    let run = support::runner(128).run(&cases, |((one, reordered), other)| {
        let one = support::config(&one.text());
        let reordered = support::config(&reordered.text());
        let other = support::config(&other.text());
        prop_assert_eq!(diff::between(&one, &reordered), Vec::new());
        let is_same = canonical::text(&one) == canonical::text(&other);
        prop_assert_eq!(diff::between(&one, &other).is_empty(), is_same);
        Ok(())
    });
    run.unwrap();
}

/// The change that reverts `change`.
fn inverse(mut change: diff::ConfigChange) -> diff::ConfigChange {
    change.change = match change.change {
        diff::ChangeKind::Added => diff::ChangeKind::Removed,
        diff::ChangeKind::Removed => diff::ChangeKind::Added,
        diff::ChangeKind::Changed { field, old, new } => {
            let (old, new) = (new, old);
            diff::ChangeKind::Changed { field, old, new }
        }
    };
    change
}

#[test]
fn reverse_diff_is_the_inverse_of_the_diff() {
    let cases = (generator::file(), generator::file());
    let run = support::runner(128).run(&cases, |(one, other)| {
        let one = support::config(&one.text());
        let other = support::config(&other.text());
        let backward = diff::between(&other, &one);
        let forward: Vec<_> = diff::between(&one, &other)
            .into_iter()
            .map(inverse)
            .collect();
        prop_assert_eq!(backward, forward);
        Ok(())
    });
    run.unwrap();
}

/// `text` with another value in line `at`; `None` if the line has no value to change.
fn changed_line(text: &str, at: usize) -> Option<String> {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let line = lines.get_mut(at)?;
    let (field, value) = line.split_once(" = ")?;
    let changed = match (field, value) {
        ("cap", _) => "\"77 Mbit/s\"".to_owned(),
        ("rate", _) => "\"77/s\"".to_owned(),
        ("timeout" | "latency" | "over" | "domain_latency" | "client_latency", _) => {
            "\"77 s\"".to_owned()
        }
        ("burst", text) if text.starts_with('"') => "\"77 KiB\"".to_owned(),
        ("burst" | "weight" | "retry_percent" | "slots", _) => "77".to_owned(),
        ("connections", _) => "7777".to_owned(),
        ("address", _) => "\"10.7.7.7:77\"".to_owned(),
        ("open", "true") => "false".to_owned(),
        ("open", "false") => "true".to_owned(),
        _ => return None,
    };
    if changed == value {
        return None;
    }
    *line = format!("{field} = {changed}");
    Some(lines.join("\n"))
}

#[test]
fn a_changed_value_is_one_change_with_field_and_values() {
    let cases = (generator::file(), any::<proptest::sample::Index>());
    let run = support::runner(256).run(&cases, |(file, at)| {
        let old = support::config(&file.text());
        let text = canonical::text(&old);
        let at = at.index(text.lines().count());
        let Some(new_text) = changed_line(&text, at) else {
            return Ok(());
        };
        // The change may make the file invalid: more slots than connections, or an open route that
        // is not idempotent.
        let Ok(new) = dahliawood_config::parse::file("changed.toml", &new_text) else {
            return Ok(());
        };
        let line = text.lines().nth(at).unwrap();
        let field_name = line.split(' ').next().unwrap();
        let changes = diff::between(&old, &new);
        prop_assert!(!changes.is_empty());
        let is_route = changes
            .iter()
            .all(|change| change.entity == diff::EntityKind::Route);
        prop_assert!(is_route || changes.len() == 1, "{changes:?}");
        for change in &changes {
            let diff::ChangeKind::Changed { field, old, new } = &change.change else {
                return Err(TestCaseError::fail(format!(
                    "{change} is not a changed value"
                )));
            };
            prop_assert_eq!(field, field_name);
            prop_assert!(line.contains(old.as_str()), "{line} had {old}");
            prop_assert!(new_text.lines().nth(at).unwrap().contains(new.as_str()));
        }
        Ok(())
    });
    run.unwrap();
}

fn lines(old: &FleetConfig, new: &FleetConfig) -> Vec<String> {
    let changes = diff::between(old, new);
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn changes_have_the_documented_text_and_json_forms() {
    let old = support::config(support::LIANGUANG);
    let drained = format!(
        "{}\n[[drain]]\ntarget = \"catalogue-01\"\nover = \"10 m\"\n",
        support::LIANGUANG.replace("rate = \"5/s\"", "rate = \"6/s\"")
    );
    let new = support::config(&drained);
    let expected = [
        "~ customer a-de-lighting: rate 5/s -> 6/s",
        "+ drain target catalogue-01",
    ];
    assert_eq!(lines(&old, &new), expected);
    let json = serde_json::to_value(diff::between(&old, &new)).unwrap();
    let expected = serde_json::json!([
        {"entity": "customer", "name": "a-de-lighting",
         "change": "changed", "field": "rate", "old": "5/s", "new": "6/s"},
        {"entity": "drain", "name": "target catalogue-01", "change": "added"},
    ]);
    assert_eq!(json, expected);
}

#[test]
fn a_changed_hash_is_reported_without_salt_or_digest() {
    let old = support::config(support::LIANGUANG);
    let mut new = old.clone();
    let customer = new.customers.keys().next().unwrap();
    let hash = &mut new.customers[customer].keys[0];
    hash.digest[0] ^= 1;
    let text = keys::format_hash(hash);
    let id = hash.id.clone();
    let changes = diff::between(&old, &new);
    let expected = format!("~ key {id}: hash (not shown) -> (not shown)");
    assert_eq!(lines(&old, &new), [expected]);
    let json = serde_json::to_string(&changes).unwrap();
    let hidden = text.split(':').skip(2);
    assert!(hidden.into_iter().all(|part| !json.contains(part)));
}
