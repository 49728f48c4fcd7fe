//! The summary of a demo run, as text and as JSON.

use crate::demo::traffic::TrafficResults;
use dahliawood_testkit::fleet;
use serde::Serialize;
use std::collections::BTreeMap;

/// The summary of a demo run.
#[derive(Debug, Serialize)]
pub struct DemoSummary {
    rows: Vec<SummaryRow>,
    regions: Vec<RegionRow>,
    timeline: String,
}

/// Results of one customer's requests to one service.
#[derive(Debug, Serialize)]
struct SummaryRow {
    customer: String,
    service: String,
    answered: u64,
    p50_us: u64,
    p99_us: u64,
    refused: BTreeMap<String, u64>,
}

/// Load of the targets in one region.
#[derive(Debug, Serialize)]
struct RegionRow {
    region: String,
    slots: u32,
    /// Sum over the targets of each target's maximum number of concurrent requests.
    peak: usize,
    runs: usize,
    shed: usize,
}

/// Builds the summary.
pub fn build(fleet: &fleet::EmbeddedFleet, results: &TrafficResults) -> DemoSummary {
    let rows = results.iter().map(|((customer, service), sender)| {
        let others = sender.counts.iter().filter(|(result, _)| *result != "ok");
        SummaryRow {
            customer: customer.clone(),
            service: service.clone(),
            answered: sender.counts.get("ok").copied().unwrap_or_default(),
            p50_us: sender.latency.value_at_quantile(0.5),
            p99_us: sender.latency.value_at_quantile(0.99),
            refused: others
                .map(|(result, count)| (result.clone(), *count))
                .collect(),
        }
    });
    let operator = fleet.daemons[0].operator_listen;
    DemoSummary {
        rows: rows.collect(),
        regions: regions(fleet),
        timeline: format!("dahliawood events --operator {operator}"),
    }
}

/// Builds the rows of all regions.
fn regions(fleet: &fleet::EmbeddedFleet) -> Vec<RegionRow> {
    let config = &fleet.config;
    let rows = config.regions.iter().map(|(region, spec)| {
        let mut row = RegionRow {
            region: spec.name.clone(),
            slots: 0,
            peak: 0,
            runs: 0,
            shed: 0,
        };
        let here = config.targets.keys().zip(&fleet.targets);
        for (key, target) in here.filter(|(key, _)| config.target_region(*key) == region) {
            let log = target.log();
            row.slots += config.targets[key].slots;
            row.peak += log.peak;
            row.runs += log.runs.len();
            row.shed += log.shed;
        }
        row
    });
    rows.collect()
}

impl DemoSummary {
    /// Prints the summary as text.
    pub fn print(&self) {
        println!(
            "\n{:<28} {:<14} {:>8} {:>9} {:>9}  refused",
            "customer", "service", "answered", "p50 us", "p99 us"
        );
        for row in &self.rows {
            let refused: Vec<_> = row
                .refused
                .iter()
                .map(|(result, count)| format!("{result} {count}"))
                .collect();
            println!(
                "{:<28} {:<14} {:>8} {:>9} {:>9}  {}",
                row.customer,
                row.service,
                row.answered,
                row.p50_us,
                row.p99_us,
                refused.join(", ")
            );
        }
        println!(
            "\n{:<10} {:>6} {:>10} {:>8} {:>6}",
            "region", "slots", "peak", "runs", "shed"
        );
        for row in &self.regions {
            println!(
                "{:<10} {:>6} {:>10} {:>8} {:>6}",
                row.region, row.slots, row.peak, row.runs, row.shed
            );
        }
        println!("\ntime line, while the fleet runs: {}", self.timeline);
    }
}
