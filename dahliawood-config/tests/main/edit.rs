//! Edits: one change in meaning each, and nothing else of the text lost.

use crate::{sketch, support};
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

/// `text` with comments above tables, behind values, and between the keys of a customer.
fn commented(text: &str) -> String {
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

/// All comments of a text, in order.
fn comments(text: &str) -> Vec<&str> {
    text.lines()
        .filter_map(|line| line.find('#').map(|at| &line[at..]))
        .collect()
}

/// Lines of a `[[drain]]` table, each with a comment of its own behind it.
const DRAIN_LINES: usize = 3;

/// Whether `part` is what remains of `whole` after some elements are left out.
fn is_subsequence(part: &[&str], whole: &[&str]) -> bool {
    let mut rest = whole.iter();
    part.iter()
        .all(|element| rest.any(|other| other == element))
}

/// The edits that fit `config`, chosen by `pick`.
fn fitting_edits(config: &tables::FleetConfig, pick: Index) -> Vec<edit::FileEdit> {
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

fn is_wanted(file_edit: &edit::FileEdit, change: &diff::ConfigChange) -> bool {
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
fn an_edit_is_one_change_and_keeps_comments_and_order() {
    let cases = (sketch::file(), any::<Index>(), any::<bool>());
    let run = support::runner(192).run(&cases, |(sketch, pick, with_comments)| {
        let plain = sketch.text();
        let text = if with_comments {
            commented(&plain)
        } else {
            plain
        };
        let old = support::config(&text);
        for file_edit in fitting_edits(&old, pick) {
            let outcome = changed(&text, &file_edit);
            prop_assert_eq!(&support::config(&outcome.text), &outcome.config);
            prop_assert_eq!(outcome.changes.len(), 1);
            prop_assert!(is_wanted(&file_edit, &outcome.changes[0]), "{file_edit:?}");
            let (old_comments, kept_comments) = (comments(&text), comments(&outcome.text));
            let lost = old_comments.len() - kept_comments.len();
            let is_removal = matches!(file_edit, edit::FileEdit::RemoveDrain { .. });
            let own_comments = if is_removal && with_comments {
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
            let touched = old_lines.len().saturating_sub(kept);
            prop_assert!(
                touched <= 3,
                "{touched} lines were touched:\n{}",
                outcome.text
            );
        }
        Ok(())
    });
    run.unwrap();
}

#[test]
fn an_edit_undone_leaves_the_meaning_as_it_was() {
    let cases = (sketch::file(), any::<Index>());
    let run = support::runner(128).run(&cases, |(sketch, pick)| {
        let text = commented(&sketch.text());
        let old = support::config(&text);
        for file_edit in fitting_edits(&old, pick) {
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
            let there = changed(&text, &file_edit);
            let back = changed(&there.text, &undo);
            prop_assert_eq!(canonical::text(&back.config), canonical::text(&old));
            prop_assert_eq!(comments(&back.text), comments(&text));
        }
        Ok(())
    });
    run.unwrap();
}

const SMALL: &str = include_str!("../golden/small.toml");

#[test]
fn edits_of_the_example_read_as_written_by_hand() {
    let grant = edit::FileEdit::GrantKey {
        customer: "a-de-lighting".to_owned(),
        hash: new_hash("a-de-2"),
    };
    let outcome = changed(support::LIANGUANG, &grant);
    let line = format!("    \"{}\",\n]\n", keys::format_hash(&new_hash("a-de-2")));
    assert!(outcome.text.contains(&line));
    let back = changed(
        &outcome.text,
        &edit::FileEdit::WithdrawKey {
            id: "a-de-2".to_owned(),
        },
    );
    assert_eq!(back.text, support::LIANGUANG);
    let subject: drain::DrainName = "domain south-b".parse().unwrap();
    let add = edit::FileEdit::AddDrain {
        subject: subject.clone(),
        over: Duration::from_secs(600),
    };
    let drained = changed(support::LIANGUANG, &add);
    let table = "\n[[drain]]\ndomain = \"south-b\"\nover = \"10 m\"\n";
    assert!(drained.text.contains(table), "{}", drained.text);
    let back = changed(&drained.text, &edit::FileEdit::RemoveDrain { subject });
    assert_eq!(back.text, support::LIANGUANG);
}

#[test]
fn inline_tables_and_carriage_returns_are_kept() {
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
fn edits_that_do_not_fit_are_refused_by_name() {
    let refused = |file_edit: edit::FileEdit| {
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
    assert_eq!(refused(grant("nobody", "new")), "no customer `nobody`");
    assert_eq!(
        refused(grant("mingliang", "khl-1")),
        "a key with id `khl-1` is in force already"
    );
    assert_eq!(
        refused(rotate("hongda-retrofit")),
        "customer `hongda-retrofit` has 2 keys; withdraw down to one first"
    );
    assert_eq!(
        refused(edit::FileEdit::WithdrawKey {
            id: "khl-9".to_owned()
        }),
        "no key with id `khl-9`"
    );
    assert_eq!(
        refused(edit::FileEdit::AddDrain {
            subject: subject(),
            over
        }),
        "no region west to drain"
    );
    assert_eq!(
        refused(edit::FileEdit::RemoveDrain { subject: subject() }),
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
            .all(|file_edit| !refused(file_edit).contains("5a5a"))
    );
    let broken = apply("[fleet]\n", &rotate("acme")).unwrap_err();
    assert!(matches!(broken, edit::EditError::InvalidFile { .. }));
}
