//! Randomly broken files: validation never panics, reports positions inside the text, and never
//! quotes a secret.

use crate::{generator, support};
use dahliawood_config::{canonical, parse, report};
use proptest::prelude::*;
use proptest::sample::Index;

/// One random change to a text.
#[derive(Clone, Debug)]
enum TextMutation {
    /// Removes a range of the text.
    Cut(Index, Index),
    /// Inserts a piece of text at a position.
    Insert(Index, String),
    /// Copies one line of the text to before another.
    CopyLine(Index, Index),
}

fn mutation() -> impl Strategy<Value = TextMutation> {
    let pieces = prop_oneof![
        "[\\[\\]{}\",=#.\n\\\\ 'é😀\r\t0-9a-z_-]{1,4}",
        Just("[[customer]]\n".to_owned()),
        Just("[fleet]\n".to_owned()),
        Just("keys = 5\n".to_owned()),
        Just("\"\"\"".to_owned()),
        Just("99999999999999999999999999999999999999999".to_owned()),
    ];
    prop_oneof![
        (any::<Index>(), any::<Index>()).prop_map(|(a, b)| TextMutation::Cut(a, b)),
        (any::<Index>(), pieces).prop_map(|(at, piece)| TextMutation::Insert(at, piece)),
        (any::<Index>(), any::<Index>()).prop_map(|(a, b)| TextMutation::CopyLine(a, b)),
    ]
}

/// A byte offset of `text` at a character boundary.
fn offset(text: &str, index: Index) -> usize {
    boundary(text, index.index(text.len() + 1))
}

/// The last character boundary of `text` at or before `offset`.
fn boundary(text: &str, offset: usize) -> usize {
    (0..=offset)
        .rev()
        .find(|&offset| text.is_char_boundary(offset))
        .unwrap_or(0)
}

fn mutated(text: &str, mutation: &TextMutation) -> String {
    match mutation {
        TextMutation::Cut(a, b) => {
            let start = offset(text, *a);
            let length = 1 + b.index(60);
            let end = boundary(text, (start + length).min(text.len()));
            format!("{}{}", &text[..start], &text[end..])
        }
        TextMutation::Insert(at, piece) => {
            let (before, after) = text.split_at(offset(text, *at));
            format!("{before}{piece}{after}")
        }
        TextMutation::CopyLine(a, b) => {
            let mut lines: Vec<&str> = text.split_inclusive('\n').collect();
            if !lines.is_empty() {
                let line = lines[a.index(lines.len())];
                lines.insert(b.index(lines.len()), line);
            }
            lines.concat()
        }
    }
}

fn assert_positions(text: &str, report: &report::CheckReport) -> Result<(), TestCaseError> {
    prop_assert!(!report.findings.is_empty());
    let lines: Vec<&str> = text.split('\n').collect();
    let json = serde_json::to_string(report).unwrap();
    prop_assert_eq!(
        &serde_json::from_str::<report::CheckReport>(&json).unwrap(),
        report
    );
    for finding in &report.findings {
        let line = lines.get(finding.line as usize - 1);
        prop_assert!(line.is_some(), "{finding} is after the last line");
        let columns = line.map_or(0, |line| line.chars().count() + 1);
        let is_inside = (1..=columns).contains(&(finding.column as usize));
        prop_assert!(is_inside, "{finding} is after the end of its line");
    }
    Ok(())
}

#[test]
fn errors_in_broken_files_have_positions_inside_the_text() {
    let mutations = proptest::collection::vec(mutation(), 1..5);
    let cases = (generator::file(), mutations);
    let run = support::runner(512).run(&cases, |(file, mutations)| {
        let text = mutations
            .iter()
            .fold(file.text(), |text, mutation| mutated(&text, mutation));
        match parse::file("broken.toml", &text) {
            Err(report) => assert_positions(&text, &report)?,
            Ok(config) => {
                let again = support::config(&canonical::text(&config));
                prop_assert_eq!(again, config);
            }
        }
        Ok(())
    });
    run.unwrap();
}

#[test]
fn deep_nesting_and_many_errors_are_reported() {
    const DEPTH: usize = 100_000;
    let texts = [
        format!("a = {}", "[".repeat(DEPTH)),
        format!("a = {}{}", "[".repeat(DEPTH), "]".repeat(DEPTH)),
        format!("a = {}", "{a = ".repeat(DEPTH)),
        format!("[[{}a]]", "a.".repeat(DEPTH)),
        format!("customer = [{}]", "{},".repeat(DEPTH / 10)),
    ];
    for text in texts {
        let report = parse::file("deep.toml", &text).unwrap_err();
        assert_positions(&text, &report).unwrap();
    }
}

#[test]
fn an_offset_inside_a_character_has_the_position_of_the_character() {
    let lines = report::LineIndex::new("é\na😀b");
    let positions: Vec<_> = (0..10).map(|offset| lines.position(offset)).collect();
    let second_line = [(2, 1), (2, 2), (2, 2), (2, 2), (2, 2), (2, 3), (2, 4)];
    assert_eq!(positions[..3], [(1, 1), (1, 1), (1, 2)]);
    assert_eq!(positions[3..], second_line);
}

/// Whether `text` contains any 16 consecutive characters of `secret`.
fn leaks(text: &str, secret: &str) -> bool {
    let text = text.to_ascii_lowercase();
    (0..=secret.len() - 16).any(|start| text.contains(&secret[start..start + 16]))
}

#[test]
fn a_plaintext_key_is_never_quoted_wherever_it_occurs() {
    let forms = prop_oneof![
        Just(("", "")),
        Just(("\"", "\"")),
        Just(("\n", " = 5\n")),
        Just((" = ", "")),
        Just(("\n[[", "]]\n")),
        Just(("\\", "")),
    ];
    let cases = (generator::file(), any::<Index>(), any::<[u8; 32]>(), forms);
    let run = support::runner(512).run(&cases, |(file, at, secret, (before, after))| {
        let secret = hex::encode(secret);
        let text = file.text();
        let piece = format!("{before}dw_owner_{secret}{after}");
        let text = mutated(&text, &TextMutation::Insert(at, piece));
        if let Err(report) = parse::file("planted.toml", &text) {
            prop_assert!(!leaks(&report.to_string(), &secret), "{report}");
            let debug = format!("{report:?}");
            prop_assert!(!leaks(&debug, &secret), "{debug}");
        }
        Ok(())
    });
    run.unwrap();
}
