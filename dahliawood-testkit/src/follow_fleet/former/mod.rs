//! The rules before knowledge had a date: a VM that follows the store counts as current until a call
//! fails, and one that follows a relay for some time after each of the relay's answers.

use dahliawood_gateway::control::source::{RelayFailure, SourceRank, SourceSelector};
use dahliawood_gateway::control::vms::VmRecord;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

const START_TIME: Duration = Duration::from_secs(2);
const FOLLOW_WAIT: Duration = Duration::from_secs(15);
const RECONNECT_WAIT: Duration = Duration::from_millis(200);
const FOLLOW_MARGIN: Duration = Duration::from_millis(1_500);
const CHANGES_WAIT: Duration = Duration::from_millis(400);
const CALL_DEADLINE: Duration = Duration::from_millis(400);
const CURRENT_TIME: Duration = Duration::from_millis(1_200);
const RECONNECT_TIME: Duration = Duration::from_millis(700);

/// The state of the former rules at one VM.
#[derive(Debug)]
pub(super) struct FormerRules {
    name: String,
    domain: String,
    started: TimeStamp,
    selector: SourceSelector,
    is_confirmed: bool,
    is_store_up: bool,
    /// Until when the copy is current, `None` if the VM follows the store.
    current_until: Option<TimeStamp>,
}

impl FormerRules {
    pub fn new(record: &VmRecord, now: TimeStamp) -> Self {
        Self {
            name: record.name.clone(),
            domain: record.domain.clone(),
            started: now,
            selector: SourceSelector::default(),
            is_confirmed: false,
            is_store_up: true,
            current_until: None,
        }
    }

    pub fn is_current(&self, now: TimeStamp) -> bool {
        self.is_confirmed && self.current_until.is_none_or(|until| now < until)
    }

    pub fn is_starting(&self, now: TimeStamp) -> bool {
        !self.is_confirmed && now.since(self.started) < START_TIME
    }

    pub fn rank(&self, vms: &[VmRecord], now: TimeStamp) -> SourceRank {
        self.selector
            .select(vms, &self.name, &self.domain, now)
            .rank
    }

    pub fn plan<'a>(
        &self,
        vms: &'a [VmRecord],
        now: TimeStamp,
    ) -> (Option<&'a VmRecord>, Duration, Duration) {
        let choice = self.selector.select(vms, &self.name, &self.domain, now);
        if choice.relay.is_some() {
            let wait = match self.is_confirmed {
                true => CHANGES_WAIT,
                false => Duration::ZERO,
            };
            return (choice.relay, wait, CALL_DEADLINE);
        }
        let wait = match (self.is_confirmed, self.is_store_up) {
            (false, _) => Duration::ZERO,
            (true, true) => FOLLOW_WAIT,
            (true, false) => RECONNECT_WAIT,
        };
        (None, wait, FOLLOW_MARGIN)
    }

    pub fn record_store_answer(&mut self, has_changes: bool, vms: usize) -> Duration {
        self.is_confirmed = true;
        self.is_store_up = true;
        self.current_until = None;
        match has_changes {
            true => Duration::from_millis(350)
                .mul_f64((vms as f64 / 16.0).max(1.0))
                .min(Duration::from_millis(800)),
            false => Duration::ZERO,
        }
    }

    pub fn record_store_failure(&mut self, now: TimeStamp) {
        self.is_confirmed = true;
        self.is_store_up = false;
        let lost_at = now.after(RECONNECT_TIME);
        self.current_until = Some(self.current_until.unwrap_or(lost_at));
    }

    pub fn record_relay_answer(&mut self, asked_at: TimeStamp, now: TimeStamp) {
        self.is_confirmed = true;
        self.is_store_up = true;
        let answered_by = asked_at.after(CHANGES_WAIT).min(now);
        self.current_until = Some(answered_by.after(CURRENT_TIME));
    }

    pub fn record_relay_failure(&mut self, name: &str, failure: RelayFailure, now: TimeStamp) {
        self.selector.record_failure(name, failure, now);
    }
}
