//! Edits of TOML arrays that preserve the whitespace and comments around the elements.

use toml_edit::{Array, RawString, Value};

/// Appends `item` to the array, on its own line if the last element starts on a new line.
pub fn push(array: &mut Array, item: impl Into<Value>) {
    let trailing = decor_text(Some(array.trailing()));
    let indent = array
        .iter()
        .last()
        .map(|last| decor_text(last.decor().prefix()))
        .and_then(|prefix| prefix.rfind('\n').map(|at| prefix[at..].to_owned()));
    let Some(indent) = indent else {
        array.push(item);
        return;
    };
    let comments = trailing.trim_end();
    let value = item.into().decorated(format!("{comments}{indent}"), "");
    array.push_formatted(value);
    array.set_trailing("\n");
    array.set_trailing_comma(true);
}

/// Removes the element at `index` and preserves the comments around it.
pub fn remove(array: &mut Array, index: usize) {
    let removed = array.remove(index);
    let before = decor_text(removed.decor().prefix());
    let after = decor_text(removed.decor().suffix());
    let kept = format!("{before}{after}");
    if kept.contains('#') {
        attach_comments(array, index, kept.trim_end());
        return;
    }
    let is_first = index == 0;
    if let Some(next) = array.get_mut(index).filter(|_| is_first) {
        let prefix = decor_text(next.decor().prefix());
        if !prefix.contains('#') {
            next.decor_mut().set_prefix(before);
        }
    }
}

/// Inserts `comments` before the element at `index`, or before the closing bracket of the array if
/// there is no such element.
fn attach_comments(array: &mut Array, index: usize, comments: &str) {
    let joined = |rest: String| {
        let is_new_line = rest.trim_start_matches([' ', '\t']).starts_with('\n');
        let line_end = if is_new_line { "" } else { "\n" };
        format!("{comments}{line_end}{rest}")
    };
    let Some(next) = array.get_mut(index) else {
        let trailing = joined(decor_text(Some(array.trailing())));
        array.set_trailing(trailing);
        return;
    };
    let prefix = joined(decor_text(next.decor().prefix()));
    next.decor_mut().set_prefix(prefix);
}

/// The text of a piece of whitespace and comments.
pub fn decor_text(text: Option<&RawString>) -> String {
    text.and_then(RawString::as_str)
        .unwrap_or_default()
        .to_owned()
}
