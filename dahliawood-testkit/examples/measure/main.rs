//! Runs one measurement by name: `measure NAME [--seed N]`.
//!
//! Each measurement prints one line per figure, `figure value unit target`. The program exits with
//! status 1 if a figure misses its target, and with 2 if no measurement has the given name.

mod cold;
mod control;
mod exchange;
mod fairness;
mod fate;
mod follow;
mod forward;
mod help;
mod links;
mod loads;
mod lookup;
mod membership;
mod proxy;
mod quota;
mod shift;
mod silent;
mod spread;
mod steer;
mod store_budget;
mod transfer;

use bpaf::Bpaf;
use dahliawood_testkit::figures;
use std::process;

/// Runs one measurement and prints its figures
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct MeasureArgs {
    /// Seed of the random number generator
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Measurement to run
    #[bpaf(positional("NAME"))]
    name: String,
}

/// The name of a measurement and the function that runs it.
type MeasureEntry = (&'static str, fn(u64, &mut figures::FigureReport));

/// All measurements.
const MEASUREMENTS: &[MeasureEntry] = &[
    ("cold", cold::run),
    ("control", control::run),
    ("fairness", fairness::measure),
    ("fate", fate::run),
    ("follow", follow::run),
    ("forward", forward::run),
    ("help", help::run),
    ("links", links::measure),
    ("loads", loads::run),
    ("lookup", lookup::run),
    ("membership", membership::run),
    ("quota", quota::measure),
    ("shift", shift::run),
    ("silent", silent::run),
    ("spread", spread::run),
    ("steer", steer::run),
    ("store-budget", store_budget::run),
    ("transfer", transfer::run),
    ("withdraw", spread::withdraw),
];

fn main() {
    let args = measure_args().run();
    let Some((_, run)) = MEASUREMENTS.iter().find(|(name, _)| *name == args.name) else {
        let names: Vec<_> = MEASUREMENTS.iter().map(|(name, _)| *name).collect();
        eprintln!(
            "no measurement is called {:?}; there are: {}",
            args.name,
            names.join(", ")
        );
        process::exit(2);
    };
    let mut report = figures::FigureReport::default();
    run(args.seed, &mut report);
    if !report.missed().is_empty() {
        eprintln!("missed: {}", report.missed().join(", "));
        process::exit(1);
    }
}
