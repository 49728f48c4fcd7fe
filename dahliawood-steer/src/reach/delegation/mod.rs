//! Whether requests of a service are sent by other VMs although this VM is not cut off.
//!
//! Links fail in part: a VM that reaches some target, or another process that has taken the address of one,
//! may reach none that serves a certain request. It does not find itself cut off, and its circuit
//! breakers leave it no target. Other VMs may reach some. Where targets are down for all VMs, the first
//! answers of other VMs show that, and further requests are refused without a call.

use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// How long no VM is asked for a service after one could not serve a request either: the first pause of a
/// circuit breaker, after which targets are tried again.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest such time. Bounds both the calls for a service that is down and the time for which callers
/// are refused that another VM could serve again.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct ServicePause {
    span: Duration,
    until: TimeStamp,
}

/// For which services other VMs could not help either.
#[derive(Clone, Debug, Default)]
pub struct DelegationTable {
    pauses: FastMap<String, ServicePause>,
}

impl DelegationTable {
    /// Whether another VM may be asked for a request of a service.
    pub fn may_ask(&self, service: &str, now: TimeStamp) -> bool {
        let pause = self.pauses.get(service);
        pause.is_none_or(|pause| now >= pause.until)
    }

    /// Records whether another VM had the response of a target to a request of a service.
    pub fn record(&mut self, service: &str, is_served: bool, now: TimeStamp) {
        if is_served {
            self.pauses.remove(service);
            return;
        }
        let before = self.pauses.get(service).copied();
        let span = match before {
            // Calls that were made together count once.
            Some(pause) if now < pause.until => return,
            Some(pause) => (pause.span * 2).min(LONGEST_PAUSE),
            None => FIRST_PAUSE,
        };
        let until = now.after(span);
        self.pauses
            .insert(service.to_owned(), ServicePause { span, until });
    }
}
