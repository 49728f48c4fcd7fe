//! Printing of results, as lines of text or as JSON.

use serde::Serialize;

/// The format in which results are printed.
#[derive(Clone, Copy, Debug)]
pub struct OutputMode {
    /// Whether results are printed as JSON instead of text.
    pub is_json: bool,
}

impl OutputMode {
    /// Prints `value` as JSON, or calls `lines` to print it as text.
    pub fn print(self, value: &impl Serialize, lines: impl FnOnce()) {
        match self.is_json {
            true => print_json(value),
            false => lines(),
        }
    }
}

/// Prints a value as one line of JSON.
pub fn print_json(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("cannot serialise the result as JSON: {error}"),
    }
}
