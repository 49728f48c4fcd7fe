//! Files that are broken at random: the check never panics, never lies about places, never
//! repeats a secret.

use crate::{sketch, support};
use dahliawood_config::{canonical, parse, report};
use proptest::prelude::*;
use proptest::sample::Index;

/// One way to break a text.
#[derive(Clone, Debug)]
enum TextMutation {
    /// Leaves out everything between two places.
    Cut(Index, Index),
    /// Puts a piece of text at a place.
    Insert(Index, String),
    /// Puts one line of the text where another one is.
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

/// The last character boundary of `text` that is not behind `offset`.
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
            let most = 1 + b.index(60);
            let end = boundary(text, (start + most).min(text.len()));
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

fn assert_places(text: &str, report: &report::CheckReport) -> Result<(), TestCaseError> {
    prop_assert!(!report.findings.is_empty());
    let lines: Vec<&str> = text.split('\n').collect();
    let json = serde_json::to_string(report).unwrap();
    prop_assert_eq!(
        &serde_json::from_str::<report::CheckReport>(&json).unwrap(),
        report
    );
    for finding in &report.findings {
        let line = lines.get(finding.line as usize - 1);
        prop_assert!(line.is_some(), "{finding} is behind the last line");
        let columns = line.map_or(0, |line| line.chars().count() + 1);
        let is_inside = (1..=columns).contains(&(finding.column as usize));
        prop_assert!(is_inside, "{finding} is behind the end of its line");
    }
    Ok(())
}

#[test]
fn broken_files_are_reported_at_places_inside_of_them() {
    let mutations = proptest::collection::vec(mutation(), 1..5);
    let cases = (sketch::file(), mutations);
    let run = support::runner(512).run(&cases, |(sketch, mutations)| {
        let text = mutations
            .iter()
            .fold(sketch.text(), |text, mutation| mutated(&text, mutation));
        match parse::file("broken.toml", &text) {
            Err(report) => assert_places(&text, &report)?,
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
fn deep_nesting_and_many_mistakes_are_reported_as_others_are() {
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
        assert_places(&text, &report).unwrap();
    }
}

#[test]
fn a_place_inside_a_character_is_that_of_the_character() {
    let lines = report::LineIndex::new("é\na😀b");
    let places: Vec<_> = (0..10).map(|offset| lines.position(offset)).collect();
    let second_line = [(2, 1), (2, 2), (2, 2), (2, 2), (2, 2), (2, 3), (2, 4)];
    assert_eq!(places[..3], [(1, 1), (1, 1), (1, 2)]);
    assert_eq!(places[3..], second_line);
}

/// Whether any long piece of `secret` stands in `text`.
fn leaks(text: &str, secret: &str) -> bool {
    let text = text.to_ascii_lowercase();
    (0..=secret.len() - 16).any(|start| text.contains(&secret[start..start + 16]))
}

#[test]
fn a_key_in_clear_is_never_repeated_wherever_it_stands() {
    let forms = prop_oneof![
        Just(("", "")),
        Just(("\"", "\"")),
        Just(("\n", " = 5\n")),
        Just((" = ", "")),
        Just(("\n[[", "]]\n")),
        Just(("\\", "")),
    ];
    let cases = (sketch::file(), any::<Index>(), any::<[u8; 32]>(), forms);
    let run = support::runner(512).run(&cases, |(sketch, at, secret, (before, after))| {
        let secret = hex::encode(secret);
        let text = sketch.text();
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
