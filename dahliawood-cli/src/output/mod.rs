//! Lines for people, JSON for scripts.

use serde::Serialize;

/// How results are printed.
#[derive(Clone, Copy, Debug)]
pub struct OutputMode {
    /// JSON instead of lines.
    pub is_json: bool,
}

impl OutputMode {
    /// Prints a result.
    pub fn show(self, value: &impl Serialize, lines: impl FnOnce()) {
        match self.is_json {
            true => json(value),
            false => lines(),
        }
    }
}

/// Prints a value as one line of JSON.
pub fn json(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("a result could not be printed: {error}"),
    }
}
