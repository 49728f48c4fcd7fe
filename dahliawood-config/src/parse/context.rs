//! The state of validation: findings so far, declared names and references to names.

use crate::report::{self, FindingKind};
use dahliawood_model::FastMap;
use std::ops::Range;
use toml::Spanned;

/// The kinds of declarations. Each name is unique among the declarations of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum DeclarationKind {
    /// A region's name.
    #[display("region")]
    Region,
    /// A failure domain's name.
    #[display("failure domain")]
    Domain,
    /// An unordered pair of regions with a link.
    #[display("link")]
    Link,
    /// A place's name.
    #[display("place")]
    Place,
    /// A block of client addresses.
    #[display("client block")]
    Block,
    /// A service's name.
    #[display("service")]
    Service,
    /// A method with a path.
    #[display("route")]
    Route,
    /// A target's name.
    #[display("target")]
    Target,
    /// A target's address.
    #[display("target address")]
    Address,
    /// A customer's name.
    #[display("customer")]
    Customer,
    /// A key's public id.
    #[display("key id")]
    KeyId,
    /// The subject of a drain.
    #[display("drain")]
    Drain,
}

/// A finding whose position is still a byte offset instead of a line and column.
#[derive(Clone, Debug)]
pub struct RawFinding {
    /// Byte offset in the text.
    pub offset: usize,
    /// Kind of the error.
    pub kind: FindingKind,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
    /// Byte offset of the earlier declaration that this one duplicates.
    pub earlier: Option<usize>,
}

/// A reference to a name that must be declared somewhere in the file.
#[derive(Clone, Debug)]
struct NameReference {
    kind: DeclarationKind,
    name: String,
    offset: usize,
}

/// The state of the validation of one file.
#[derive(Debug, Default)]
pub struct CheckContext {
    findings: Vec<RawFinding>,
    declarations: FastMap<DeclarationKind, FastMap<String, usize>>,
    references: Vec<NameReference>,
    has_syntax_errors: bool,
}

impl CheckContext {
    /// Records an error at byte `offset`.
    pub fn add_finding(
        &mut self,
        offset: usize,
        kind: FindingKind,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.findings.push(RawFinding {
            offset,
            kind,
            found: found.into(),
            expected: expected.into(),
            earlier: None,
        });
    }

    /// Records a TOML syntax error in `text`.
    pub fn syntax_error(&mut self, text: &str, error: &toml::de::Error) {
        self.has_syntax_errors = true;
        let span = error.span().unwrap_or(0..0);
        let expected = format!("valid TOML: {}", report::one_line(error.message()));
        self.add_finding(
            span.start,
            FindingKind::Syntax,
            excerpt_at(text, &span),
            expected,
        );
    }

    /// Declares `name`; records an error if `name` is already declared as this kind.
    pub fn declare(&mut self, kind: DeclarationKind, name: &Spanned<String>) {
        let offset = name.span().start;
        let names = self.declarations.entry(kind).or_default();
        let Some(&earlier) = names.get(name.get_ref()) else {
            names.insert(name.get_ref().clone(), offset);
            return;
        };
        self.findings.push(RawFinding {
            offset,
            kind: FindingKind::Duplicate,
            found: format!("{kind} {} again", quoted(name.get_ref())),
            expected: format!("each {kind} once"),
            earlier: Some(earlier),
        });
    }

    /// Records a reference to `name`, which must be declared somewhere in the file.
    pub fn add_reference(&mut self, kind: DeclarationKind, name: &Spanned<String>) {
        self.references.push(NameReference {
            kind,
            name: name.get_ref().clone(),
            offset: name.span().start,
        });
    }

    /// Records an error for each reference to a name that is not declared.
    ///
    /// After a syntax error a declaration may have been skipped, so references are then not
    /// checked.
    pub fn check_references(&mut self) {
        let references = std::mem::take(&mut self.references);
        if self.has_syntax_errors {
            return;
        }
        references
            .iter()
            .filter(|reference| !self.is_declared(reference))
            .map(undeclared)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|finding| self.findings.push(finding));
    }

    /// All findings with their lines and columns, in the order of the text. After a syntax error,
    /// missing fields are left out, because the parser may have skipped them.
    pub fn into_findings(mut self, text: &str) -> Vec<report::CheckFinding> {
        if self.has_syntax_errors {
            self.findings
                .retain(|finding| finding.kind != FindingKind::MissingField);
        }
        self.findings.sort_by_key(|finding| finding.offset);
        let lines = report::LineIndex::new(text);
        self.findings
            .into_iter()
            .map(|finding| located(&lines, finding))
            .collect()
    }

    fn is_declared(&self, reference: &NameReference) -> bool {
        self.declarations
            .get(&reference.kind)
            .is_some_and(|names| names.contains_key(&reference.name))
    }
}

/// A name in backquotes, redacted and truncated for a report.
pub fn quoted(name: &str) -> String {
    format!("`{}`", report::excerpt(name))
}

fn undeclared(reference: &NameReference) -> RawFinding {
    let kind = reference.kind;
    RawFinding {
        offset: reference.offset,
        kind: FindingKind::NotDeclared,
        found: format!("{kind} {}, which is not declared", quoted(&reference.name)),
        expected: format!("the name of a declared {kind}"),
        earlier: None,
    }
}

fn located(lines: &report::LineIndex, finding: RawFinding) -> report::CheckFinding {
    let (line, column) = lines.position(finding.offset);
    let earlier = finding
        .earlier
        .map(|offset| lines.position(offset))
        .map(|(line, column)| format!(" (first at {line}:{column})"));
    report::CheckFinding {
        line,
        column,
        kind: finding.kind,
        found: finding.found,
        expected: finding.expected + earlier.as_deref().unwrap_or_default(),
    }
}

/// The text in `span`, or the rest of the line if the span is blank.
fn excerpt_at(text: &str, span: &Range<usize>) -> String {
    let rest = text.get(span.start..).unwrap_or_default();
    let line = rest.lines().next().unwrap_or_default();
    let piece = text
        .get(span.clone())
        .filter(|piece| !piece.trim().is_empty())
        .unwrap_or(line);
    match piece.trim() {
        "" if rest.is_empty() => "the end of the file".to_owned(),
        "" => "the end of the line".to_owned(),
        piece => quoted(piece),
    }
}
