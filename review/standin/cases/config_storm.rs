//! Changes of a large configuration come in quick succession.

use crate::cases::{BROLGA_BOUNDS, Deployment, big_config};
use crate::client::{self, KEY, LATER_WITHDRAWN_KEY, Outcome, Request};
use crate::wire;
use std::thread;
use std::time::{Duration, Instant};

/// Routes by which the configuration grows (`big_config` of the site file: `count = 1400`).
const ROUTES: usize = 1_400;
/// `config_storm` of the site file: `gap_s = 0.06`, `for_s = 1.5`.
const GAP: Duration = Duration::from_millis(60);
const STORM: Duration = Duration::from_millis(1_500);
/// `config_apply_s`.
const APPLY: Duration = Duration::from_secs(3);
/// How long after the acknowledgement the last requests are sent.
const JUDGED: Duration = Duration::from_secs(25);
const INTERVAL: Duration = Duration::from_millis(200);

/// A request that the last version does not allow, with the refusal that it must get.
struct Probe {
    name: &'static str,
    target: &'static str,
    key: &'static str,
    refusal: u16,
}

const PROBES: [Probe; 2] = [
    Probe { name: "on the dropped route", target: "/dropped/1", key: KEY, refusal: 404 },
    Probe { name: "with the withdrawn key", target: "/read/1", key: LATER_WITHDRAWN_KEY, refusal: 401 },
];

impl Probe {
    fn send(&self, deployment: &Deployment, vm: usize) -> Outcome {
        let deadline = Duration::from_secs(2);
        let Self { target, key, .. } = self;
        let request = Request { method: "GET", target, key, deadline, body: b"", extra: "" };
        client::send(&deployment.record, deployment.vms[vm].front, &request).0
    }
}

pub fn run(folder: &str) -> Result<bool, String> {
    let deployment = Deployment::start(folder, BROLGA_BOUNDS)?;
    let record = &deployment.record;
    let mut version = 10;
    let put = |version: u32, is_last: bool| {
        deployment.store.put(wire::name("document"), &big_config(version, ROUTES, is_last));
        record.line(format!("the operator's version r{version} is acknowledged"));
    };
    put(version, false);
    record.say(format!("the configuration has {} bytes", big_config(version, ROUTES, false).len()));
    thread::sleep(Duration::from_secs(4));
    for vm in 0..deployment.vms.len() {
        for probe in &PROBES {
            let outcome = probe.send(&deployment, vm);
            if outcome != Outcome::Served {
                return Err(format!("a request {} is not served before the changes: {outcome:?}", probe.name));
            }
        }
    }
    if deployment.has_trouble {
        let started = Instant::now();
        while started.elapsed() < STORM {
            version += 1;
            let begun = Instant::now();
            put(version, false);
            thread::sleep(GAP.saturating_sub(begun.elapsed()));
        }
    }
    version += 1;
    put(version, true);
    let acknowledged = Instant::now();
    record.say(format!("version r{version} drops a route and withdraws a key"));
    thread::sleep(APPLY + Duration::from_millis(100));
    let mut counts = [(0, 0, Duration::ZERO); PROBES.len()];
    while acknowledged.elapsed() < JUDGED {
        for vm in 0..deployment.vms.len() {
            for (probe, (sent, old, last)) in PROBES.iter().zip(&mut counts) {
                let sent_at = acknowledged.elapsed();
                *sent += 1;
                match probe.send(&deployment, vm) {
                    Outcome::Served => (*old, *last) = (*old + 1, sent_at),
                    Outcome::Status(status) if status == probe.refusal => {}
                    outcome => record.line(format!("neither served nor refused: {outcome:?}")),
                }
            }
        }
        thread::sleep(INTERVAL);
    }
    for (probe, (sent, old, last)) in PROBES.iter().zip(&counts) {
        record.say(format!(
            "of {sent} requests {}, sent later than config_apply_s, {old} were served; the last of them was sent {:.1} s after the acknowledgement",
            probe.name,
            last.as_secs_f64()
        ));
    }
    let is_kept = counts.iter().all(|(_, old, _)| *old == 0);
    record.say(if is_kept { "CONFIG is kept" } else { "CONFIG is broken" });
    Ok(is_kept)
}
