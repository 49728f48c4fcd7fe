//! Edits: each makes one change to the configuration and preserves the rest of the text.

use crate::{generator, support};
use dahliawood_config::{canonical, diff, drain, edit, keys};
use dahliawood_model::tables;
use proptest::prelude::*;
use proptest::sample::Index;
use std::fmt::Write;
use std::time::Duration;

fn new_hash(id: &str) -> tables::KeyHash {
    let key = keys::PlaintextKey {
        id: id.to_owned(),
        secret: [7; keys::SECRET_BYTES],
    };
    keys::hash_key(&key, [9; keys::SALT_BYTES])
}

fn apply(text: &str, file_edit: &edit::FileEdit) -> Result<edit::EditOutcome, edit::EditError> {
    edit::apply(
        edit::EditOptions {
            name: "edit.toml",
            text,
        },
        file_edit,
    )
}

fn changed(text: &str, file_edit: &edit::FileEdit) -> edit::EditOutcome {
    apply(text, file_edit).unwrap_or_else(|error| panic!("{error}"))
}

/// `text` with comments above tables, after values, and between the keys of a customer.
fn with_comments(text: &str) -> String {
    let mut count = 0;
    let mut comment = || {
        count += 1;
        format!("# comment {count}.\n")
    };
    let mut lines = String::new();
    for line in text.lines() {
        let keys = line
            .strip_prefix("keys = [")
            .and_then(|rest| rest.strip_suffix(']'));
        let Some(keys) = keys.filter(|keys| !keys.is_empty()) else {
            if line.starts_with("[[") {
                lines += &comment();
            }
            write!(lines, "{line} {}", comment()).unwrap();
            continue;
        };
        write!(lines, "keys = [ {}", comment()).unwrap();
        for key in keys.split(", ") {
            write!(lines, "    {}    {key}, {}", comment(), comment()).unwrap();
        }
        writeln!(lines, "    {}]", comment()).unwrap();
    }
    lines + &comment()
}

/// All comments in a text, in order.
fn comments(text: &str) -> Vec<&str> {
    text.lines()
        .filter_map(|line| line.find('#').map(|at| &line[at..]))
        .collect()
}

/// Lines of a `[[drain]]` table, each followed by its own comment.
const DRAIN_LINES: usize = 3;

/// Whether `part` is a subsequence of `whole`.
fn is_subsequence(part: &[&str], whole: &[&str]) -> bool {
    let mut rest = whole.iter();
    part.iter()
        .all(|element| rest.any(|other| other == element))
}

/// Edits that can be applied to `config`; `pick` chooses their targets and customers.
fn applicable_edits(config: &tables::FleetConfig, pick: Index) -> Vec<edit::FileEdit> {
    let targets: Vec<_> = config
        .targets
        .values()
        .map(|spec| spec.name.clone())
        .collect();
    let subject = drain::DrainName::Target(targets[pick.index(targets.len())].clone());
    let over = Duration::from_secs(90);
    let is_drained = config
        .drains
        .iter()
        .any(|spec| drain::DrainName::of(config, spec.subject) == subject);
    let drain_edit = if is_drained {
        edit::FileEdit::RemoveDrain { subject }
    } else {
        edit::FileEdit::AddDrain { subject, over }
    };
    let mut edits = vec![drain_edit];
    if config.customers.is_empty() {
        return edits;
    }
    let customers: Vec<_> = config.customers.values().collect();
    let customer = customers[pick.index(customers.len())];
    let (name, hash) = (customer.name.clone(), new_hash("new"));
    edits.push(edit::FileEdit::GrantKey {
        customer: name.clone(),
        hash: hash.clone(),
    });
    if customer.keys.len() == 1 {
        edits.push(edit::FileEdit::RotateKey {
            customer: name,
            hash,
        });
    }
    if !customer.keys.is_empty() {
        let id = customer.keys[pick.index(customer.keys.len())].id.clone();
        edits.push(edit::FileEdit::WithdrawKey { id });
    }
    edits
}

fn is_expected(file_edit: &edit::FileEdit, change: &diff::ConfigChange) -> bool {
    use diff::ChangeKind::{Added, Removed};
    use diff::EntityKind::{Drain, Key};
    let expected = match file_edit {
        edit::FileEdit::GrantKey { hash, .. } | edit::FileEdit::RotateKey { hash, .. } => {
            (Key, hash.id.clone(), Added)
        }
        edit::FileEdit::WithdrawKey { id } => (Key, id.clone(), Removed),
        edit::FileEdit::AddDrain { subject, .. } => (Drain, subject.to_string(), Added),
        edit::FileEdit::RemoveDrain { subject } => (Drain, subject.to_string(), Removed),
    };
    (change.entity, change.name.clone(), change.change.clone()) == expected
}

#[test]
fn an_edit_makes_one_change_and_keeps_comments_and_order() {
    let cases = (generator::file(), any::<Index>(), any::<bool>());
    let run = support::runner(192).run(&cases, |(file, pick, is_commented)| {
        let plain = file.text();
        let text = if is_commented {
            with_comments(&plain)
        } else {
            plain
        };
        let old = support::config(&text);
        for file_edit in applicable_edits(&old, pick) {
            let outcome = changed(&text, &file_edit);
            prop_assert_eq!(&support::config(&outcome.text), &outcome.config);
            prop_assert_eq!(outcome.changes.len(), 1);
            prop_assert!(
                is_expected(&file_edit, &outcome.changes[0]),
                "{file_edit:?}"
            );
            let (old_comments, kept_comments) = (comments(&text), comments(&outcome.text));
            let lost = old_comments.len() - kept_comments.len();
            let is_removal = matches!(file_edit, edit::FileEdit::RemoveDrain { .. });
            let own_comments = if is_removal && is_commented {
                DRAIN_LINES
            } else {
                0
            };
            prop_assert_eq!(lost, own_comments, "{}", outcome.text);
            prop_assert!(is_subsequence(&kept_comments, &old_comments));
            let old_lines: Vec<&str> = text.lines().collect();
            let kept = outcome
                .text
                .lines()
                .filter(|line| old_lines.contains(line))
                .count();
            let changed_count = old_lines.len().saturating_sub(kept);
            prop_assert!(
                changed_count <= 3,
                "{changed_count} lines were changed:\n{}",
                outcome.text
            );
        }
        Ok(())
    });
    run.unwrap();
}

#[test]
fn reverting_an_edit_restores_the_configuration() {
    let cases = (generator::file(), any::<Index>());
    let run = support::runner(128).run(&cases, |(file, pick)| {
        let text = with_comments(&file.text());
        let old = support::config(&text);
        for file_edit in applicable_edits(&old, pick) {
            let undo = match &file_edit {
                edit::FileEdit::GrantKey { hash, .. } | edit::FileEdit::RotateKey { hash, .. } => {
                    edit::FileEdit::WithdrawKey {
                        id: hash.id.clone(),
                    }
                }
                edit::FileEdit::AddDrain { subject, .. } => edit::FileEdit::RemoveDrain {
                    subject: subject.clone(),
                },
                edit::FileEdit::WithdrawKey { .. } | edit::FileEdit::RemoveDrain { .. } => continue,
            };
            let edited = changed(&text, &file_edit);
            let reverted = changed(&edited.text, &undo);
            prop_assert_eq!(canonical::text(&reverted.config), canonical::text(&old));
            prop_assert_eq!(comments(&reverted.text), comments(&text));
        }
        Ok(())
    });
    run.unwrap();
}

const SMALL: &str = include_str!("../golden/small.toml");

#[test]
fn edits_of_the_example_match_its_layout() {
    let grant = edit::FileEdit::GrantKey {
        customer: "a-de-lighting".to_owned(),
        hash: new_hash("a-de-2"),
    };
    let outcome = changed(support::LIANGUANG, &grant);
    let line = format!("    \"{}\",\n]\n", keys::format_hash(&new_hash("a-de-2")));
    assert!(outcome.text.contains(&line));
    let reverted = changed(
        &outcome.text,
        &edit::FileEdit::WithdrawKey {
            id: "a-de-2".to_owned(),
        },
    );
    assert_eq!(reverted.text, support::LIANGUANG);
    let subject: drain::DrainName = "domain south-b".parse().unwrap();
    let add = edit::FileEdit::AddDrain {
        subject: subject.clone(),
        over: Duration::from_secs(600),
    };
    let drained = changed(support::LIANGUANG, &add);
    let table = "\n[[drain]]\ndomain = \"south-b\"\nover = \"10 m\"\n";
    assert!(drained.text.contains(table), "{}", drained.text);
    let reverted = changed(&drained.text, &edit::FileEdit::RemoveDrain { subject });
    assert_eq!(reverted.text, support::LIANGUANG);
}

#[test]
fn inline_tables_and_carriage_returns_are_preserved() {
    let text = SMALL.replace('\n', "\r\n");
    let edits = [
        edit::FileEdit::GrantKey {
            customer: "zeta".to_owned(),
            hash: new_hash("z"),
        },
        edit::FileEdit::WithdrawKey {
            id: "k1".to_owned(),
        },
        edit::FileEdit::RemoveDrain {
            subject: "target api-2".parse().unwrap(),
        },
    ];
    for file_edit in edits {
        let outcome = changed(&text, &file_edit);
        assert_eq!(outcome.changes.len(), 1);
        let bare_ends = outcome.text.replace("\r\n", "").contains(['\r', '\n']);
        assert!(!bare_ends, "{:?}", outcome.text);
    }
}

#[test]
fn inapplicable_edits_are_rejected_with_the_name() {
    let rejected = |file_edit: edit::FileEdit| {
        let error = apply(support::LIANGUANG, &file_edit).unwrap_err();
        error.to_string()
    };
    let hash = new_hash("new");
    let grant = |customer: &str, id: &str| edit::FileEdit::GrantKey {
        customer: customer.to_owned(),
        hash: new_hash(id),
    };
    let rotate = |customer: &str| edit::FileEdit::RotateKey {
        customer: customer.to_owned(),
        hash: hash.clone(),
    };
    let subject = || drain::DrainName::Region("west".to_owned());
    let over = Duration::ZERO;
    assert_eq!(rejected(grant("nobody", "new")), "no customer `nobody`");
    assert_eq!(
        rejected(grant("mingliang", "khl-1")),
        "a key with id `khl-1` is in force already"
    );
    assert_eq!(
        rejected(rotate("hongda-retrofit")),
        "customer `hongda-retrofit` has 2 keys; withdraw down to one first"
    );
    assert_eq!(
        rejected(edit::FileEdit::WithdrawKey {
            id: "khl-9".to_owned()
        }),
        "no key with id `khl-9`"
    );
    assert_eq!(
        rejected(edit::FileEdit::AddDrain {
            subject: subject(),
            over
        }),
        "no region west to drain"
    );
    assert_eq!(
        rejected(edit::FileEdit::RemoveDrain { subject: subject() }),
        "region west does not drain"
    );
    let plaintext = format!("dw_khl-1_{}", "5a".repeat(keys::SECRET_BYTES));
    let mistaken = [
        edit::FileEdit::WithdrawKey {
            id: plaintext.clone(),
        },
        grant(&plaintext, "new"),
        edit::FileEdit::RemoveDrain {
            subject: drain::DrainName::Target(plaintext),
        },
    ];
    assert!(
        mistaken
            .into_iter()
            .all(|file_edit| !rejected(file_edit).contains("5a5a"))
    );
    let broken = apply("[fleet]\n", &rotate("acme")).unwrap_err();
    assert!(matches!(broken, edit::EditError::InvalidFile { .. }));
}
