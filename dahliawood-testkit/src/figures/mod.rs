//! The lines that a measuring program prints, and whether its targets were met.

use std::fmt::Display;

/// A bound that a figure is held to; it comes from a stated need, never from an earlier run.
#[derive(Clone, Copy, Debug, PartialEq, derive_more::Display)]
pub enum FigureTarget {
    /// The figure is printed for information.
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
    /// Whether `value` keeps the bound; a value that is not a number keeps none.
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::None => true,
            Self::AtMost(bound) => value <= bound,
            Self::AtLeast(bound) => value >= bound,
        }
    }
}

/// The figures of one run.
#[derive(Debug, Default)]
pub struct FigureReport {
    missed: Vec<String>,
}

impl FigureReport {
    /// Prints one line, `figure value unit target`, and remembers a missed target.
    pub fn figure(&mut self, name: impl Display, value: f64, unit: &str, target: FigureTarget) {
        let verdict = if target.is_met(value) { "" } else { " MISSED" };
        println!("{name} {value:.4} {unit} {target}{verdict}");
        if !target.is_met(value) {
            self.missed.push(name.to_string());
        }
    }

    /// The names of the figures that missed their target.
    pub fn missed(&self) -> &[String] {
        &self.missed
    }
}
