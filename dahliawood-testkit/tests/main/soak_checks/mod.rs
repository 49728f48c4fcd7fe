//! The checks of the soak find the faults that are put into its records, and nothing else.

use dahliawood_testkit::keyspace::StoreFault;
use dahliawood_testkit::soak::caller::{CallerRecord, RequestOutcome};
use dahliawood_testkit::soak::check::{
    self, ChangeKind, GuaranteeViolation, InjectedFault, SoakChange, SoakRecords, TargetRun,
};
use dahliawood_testkit::soak::configuration::{ConfigurationVersion, SoakKey, SoakRoute};
use dahliawood_testkit::soak::plan::{LinkFault, SoakEvent, VmGroup};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ROUTE: SoakRoute = SoakRoute::Read(0);
const VM: usize = 7;

/// Records of a run in which the route leads to the first service, and from the second second on to the
/// second one.
struct TestRecords {
    start: Instant,
    records: SoakRecords,
}

impl TestRecords {
    fn new() -> Self {
        let start = Instant::now();
        let mut records = Self {
            start,
            records: SoakRecords {
                requests: Vec::new(),
                runs: Vec::new(),
                refusals: Vec::new(),
                changes: Vec::new(),
                faults: Vec::new(),
                must_serve_from: start + Duration::from_secs(60),
            },
        };
        let first = ConfigurationVersion::default();
        let second = moved(&first);
        records.change(0.0, ChangeKind::Configuration(Arc::new(first)));
        records.change(2.0, ChangeKind::Configuration(Arc::new(second)));
        records
    }

    fn at(&self, seconds: f64) -> Instant {
        self.start + Duration::from_secs_f64(seconds)
    }

    fn change(&mut self, at: f64, kind: ChangeKind) {
        let at = self.at(at);
        self.records.changes.push(SoakChange { at, kind });
    }

    fn fault(&mut self, from: f64, until: f64, event: SoakEvent) {
        let (from, until) = (self.at(from), self.at(until));
        self.records
            .faults
            .push(InjectedFault { from, until, event });
    }

    fn request(&mut self, at: f64, route: SoakRoute, key: SoakKey, status: u16) -> String {
        let path = format!("{}echo/{}", route.prefix(), self.records.requests.len());
        let (sent, ended) = (self.at(at), self.at(at + 0.02));
        self.records.requests.push(CallerRecord {
            path: path.clone(),
            is_write: false,
            route,
            key,
            vm: VM,
            connected: Some(sent),
            sent,
            ended,
            outcome: RequestOutcome::Response {
                status,
                has_own_body: true,
            },
        });
        path
    }

    /// A request on the route that runs at a target of `service` in a failure domain.
    fn run(&mut self, at: f64, service: &'static str, target: &str, domain: usize) {
        let path = self.request(at, ROUTE, SoakKey::Large, 200);
        let at = self.at(at + 0.01);
        self.records.runs.push(TargetRun {
            method: "GET".to_owned(),
            path,
            body: Vec::new(),
            at,
            endpoint: 0,
            target: target.to_owned(),
            service,
            domain,
        });
    }

    fn configuration(&self) -> Vec<&'static str> {
        guarantees(&check::configuration::guarantees(&self.records))
    }

    fn departures(&self) -> Vec<&'static str> {
        guarantees(&check::departures::guarantees(&self.records))
    }
}

fn guarantees(violations: &[GuaranteeViolation]) -> Vec<&'static str> {
    let guarantees = violations.iter().map(|violation| violation.guarantee);
    guarantees.collect()
}

/// The first of the possible next versions that is as required.
fn next(
    version: &ConfigurationVersion,
    is_it: impl Fn(&ConfigurationVersion) -> bool,
) -> ConfigurationVersion {
    let mut drawn = (0..).map(|seed| version.next(&mut StdRng::seed_from_u64(seed)));
    drawn.find(is_it).expect("some seed draws it")
}

/// A later version in which the route leads elsewhere, and which has all keys.
fn moved(version: &ConfigurationVersion) -> ConfigurationVersion {
    next(version, |next| {
        next.service(ROUTE) != version.service(ROUTE) && next.has_key(SoakKey::Extra(0))
    })
}

/// A later version that lacks a key.
fn without_key(version: &ConfigurationVersion) -> ConfigurationVersion {
    next(version, |next| !next.has_key(SoakKey::Extra(0)))
}

const IN_TIME: &str = "versions are in force in time";
const NO_RETURN: &str = "no VM returns to an older version";
const NOT_WRONG: &str = "what every version allows is not called wrong";
const GONE: &str = "a target that left gets nothing";
const EVACUATED: &str = "an evacuated failure domain gets nothing";

#[test]
fn a_version_that_is_late_is_found_and_one_in_time_is_not() {
    let mut records = TestRecords::new();
    records.run(4.9, "first", "target", 0);
    assert!(records.configuration().is_empty());
    records.run(5.1, "first", "target", 0);
    assert_eq!(records.configuration(), [IN_TIME]);
}

#[test]
fn a_version_that_comes_into_force_before_it_is_published_is_found() {
    let mut records = TestRecords::new();
    records.run(1.0, "second", "target", 0);
    assert_eq!(records.configuration(), [IN_TIME]);
}

#[test]
fn a_later_version_does_not_hide_one_that_is_late() {
    let mut records = TestRecords::new();
    let second = match &records.records.changes[1].kind {
        ChangeKind::Configuration(version) => ConfigurationVersion::clone(version),
        other => panic!("{other:?}"),
    };
    records.run(5.1, "first", "target", 0);
    records.change(8.0, ChangeKind::Configuration(Arc::new(moved(&second))));
    assert_eq!(records.configuration(), [IN_TIME]);
}

#[test]
fn a_return_to_an_older_version_is_found_unless_the_process_was_restarted() {
    let mut records = TestRecords::new();
    records.run(3.0, "second", "target", 0);
    records.run(3.5, "first", "target", 0);
    assert_eq!(records.configuration(), [NO_RETURN]);
    records.fault(3.1, 3.3, SoakEvent::VmKilled(VM));
    assert!(records.configuration().is_empty());
}

#[test]
fn a_dropped_key_that_still_holds_is_found() {
    let mut records = TestRecords::new();
    let first = ConfigurationVersion::default();
    records.records.changes.truncate(1);
    records.change(
        2.0,
        ChangeKind::Configuration(Arc::new(without_key(&first))),
    );
    records.run(5.1, "first", "target", 0);
    let last = records.records.requests.last_mut().unwrap();
    last.key = SoakKey::Extra(0);
    assert!(records.configuration().contains(&IN_TIME));
}

#[test]
fn a_proper_request_that_is_called_wrong_is_found_also_beside_faults() {
    let mut records = TestRecords::new();
    records.fault(0.0, 9.0, SoakEvent::StoreUnavailable);
    records.request(3.0, ROUTE, SoakKey::Large, 404);
    assert_eq!(records.configuration(), [NOT_WRONG]);
}

#[test]
fn an_added_key_that_does_not_hold_in_time_is_found() {
    let mut records = TestRecords::new();
    let first = without_key(&ConfigurationVersion::default());
    let mut second = ConfigurationVersion::default();
    second.number = first.number + 1;
    records.records.changes.clear();
    records.change(0.0, ChangeKind::Configuration(Arc::new(first)));
    records.change(2.0, ChangeKind::Configuration(Arc::new(second)));
    records.request(4.9, ROUTE, SoakKey::Extra(0), 401);
    assert!(records.configuration().is_empty());
    records.request(5.1, ROUTE, SoakKey::Extra(0), 401);
    assert_eq!(records.configuration(), [IN_TIME]);
}

#[test]
fn a_compaction_or_a_refusal_by_the_store_stretches_the_bound_and_does_not_lift_it() {
    let group = VmGroup::Domain {
        domain: VM % 6,
        of: 6,
    };
    let refused = SoakEvent::GroupRefused(group, StoreFault::Silent);
    for event in [SoakEvent::StoreCompacted, refused] {
        let mut records = TestRecords::new();
        records.fault(2.0, 11.0, event);
        records.run(9.9, "first", "target", 0);
        assert!(records.configuration().is_empty(), "{event:?}");
        records.run(10.1, "first", "target", 0);
        assert_eq!(records.configuration(), [IN_TIME], "{event:?}");
    }
}

#[test]
fn a_vm_without_its_link_to_the_store_is_excused_and_the_others_are_not() {
    for (vm, violations) in [(VM, 0), (VM + 1, 1)] {
        let mut records = TestRecords::new();
        records.fault(2.0, 6.0, SoakEvent::StoreLink(vm, LinkFault::Silent));
        records.run(6.0, "first", "target", 0);
        assert_eq!(records.configuration().len(), violations);
    }
}

#[test]
fn a_target_that_left_and_still_gets_requests_is_found() {
    let mut records = TestRecords::new();
    let left = ChangeKind::TargetDeregistered("target".to_owned());
    records.change(1.0, left);
    records.run(3.9, "second", "target", 0);
    assert!(records.departures().is_empty());
    records.run(4.1, "second", "target", 0);
    records.run(4.1, "second", "another", 0);
    assert_eq!(records.departures(), [GONE]);
}

#[test]
fn an_evacuated_failure_domain_that_still_gets_requests_is_found_until_it_is_taken_back() {
    let mut records = TestRecords::new();
    records.change(1.0, ChangeKind::EvacuationBegun(3));
    records.run(5.9, "second", "target", 3);
    records.run(6.1, "second", "target", 2);
    assert!(records.departures().is_empty());
    records.run(6.1, "second", "target", 3);
    assert_eq!(records.departures(), [EVACUATED]);
    records.records.runs.pop();
    records.change(7.0, ChangeKind::EvacuationEnded(3));
    records.run(7.1, "second", "target", 3);
    assert!(records.departures().is_empty());
}
