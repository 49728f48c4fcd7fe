//! Prints the figures that a measuring program measured and records which ones missed their bound.

use std::fmt::Display;

/// The bound that a figure has to keep. It comes from a stated requirement, never from the result
/// of an earlier run.
#[derive(Clone, Copy, Debug, PartialEq, derive_more::Display)]
pub enum FigureTarget {
    /// No bound: the figure is printed for information only.
    #[display("-")]
    None,
    /// The figure must not be above this.
    #[display("<={_0}")]
    AtMost(f64),
    /// The figure must not be below this.
    #[display(">={_0}")]
    AtLeast(f64),
}

impl FigureTarget {
    /// Whether `value` keeps the bound; NaN meets neither `AtMost` nor `AtLeast`.
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::None => true,
            Self::AtMost(bound) => value <= bound,
            Self::AtLeast(bound) => value >= bound,
        }
    }
}

/// Prints the figures of one run and collects the names of those that missed their bound.
#[derive(Debug, Default)]
pub struct FigureReport {
    missed: Vec<String>,
}

impl FigureReport {
    /// Prints one line, `name value unit target`, and records the name where `value` misses
    /// `target`.
    pub fn figure(&mut self, name: impl Display, value: f64, unit: &str, target: FigureTarget) {
        let verdict = if target.is_met(value) { "" } else { " MISSED" };
        println!("{name} {value:.4} {unit} {target}{verdict}");
        if !target.is_met(value) {
            self.missed.push(name.to_string());
        }
    }

    /// The names of the figures that missed their bound, in the order in which they were printed.
    pub fn missed(&self) -> &[String] {
        &self.missed
    }
}
