//! What happens to the targets of a soak: replacements, and what they state of themselves.

use crate::instance::{self, InstanceFault, TargetInstance};
use crate::soak::check::{ChangeKind, SoakChange};
use crate::soak::environment::{PROCESSING_TIME, SoakEnvironment, register, run_after};
use crate::soak::{proxy, vm};
use serde_json::json;
use std::io;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The limit that a target states, requests a second.
const STATED_LIMIT: f64 = 3.0;
/// The pause that a target asks for.
const ASKED_PAUSE: Duration = Duration::from_secs(3);

/// How a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Departure {
    /// Its registration is removed at once.
    Removed,
    /// Its registration says that it drains, and is removed at the end.
    Drained,
    /// It states its leaving in its responses, and its registration is removed at the end.
    Stated,
}

impl SoakEnvironment {
    /// Replaces the target at an endpoint: after a pause, a new target with another id registers. It takes
    /// over the address, and the old one keeps answering until then; or, where VMs have no links of their
    /// own to addresses, it gets a new one, and the old one keeps answering until the end of the run.
    pub(super) async fn replace_target(
        &mut self,
        index: usize,
        pause: Duration,
        departure: Departure,
    ) -> io::Result<()> {
        let now = Instant::now();
        let states_leaving = departure == Departure::Stated;
        let endpoint = &self.endpoints[index];
        // A target that is to state its leaving must serve its address until then.
        if now < endpoint.left_until || (states_leaving && now < endpoint.replaced_until) {
            return Ok(());
        }
        let count = endpoint.instances.len();
        let target = instance::start(&format!("target-{index}-{count}")).await?;
        target.set_processing_time(PROCESSING_TIME);
        let takes_address = self.has_target_links || states_leaving;
        let new_proxy = match takes_address {
            true => None,
            false => Some(proxy::start(target.address).await?),
        };
        let old = self.endpoints[index].instances.last().cloned();
        if let Some(old) = &old {
            self.begin_departure(index, old, departure);
        }
        let endpoint = &mut self.endpoints[index];
        endpoint.replaced_until = now + pause;
        if states_leaving {
            endpoint.left_until = now + pause;
        }
        endpoint.instances.push(target.clone());
        if let Some(proxy) = new_proxy {
            endpoint.proxy = proxy;
        }
        let replacement = endpoint.replacements.fetch_add(1, Ordering::Relaxed) + 1;
        let (endpoint, store) = (endpoint.clone(), self.store.clone());
        run_after(pause, move || {
            if let Some(old) = old {
                store.remove(&old.key());
            }
            // Another replacement may have begun, which has reported this target as gone.
            if endpoint.replacements.load(Ordering::Relaxed) == replacement {
                if takes_address {
                    endpoint.proxy.set_server(target.address);
                }
                register(&store, &endpoint);
            }
        });
        Ok(())
    }

    /// Lets a target at an endpoint begin to leave, and records it.
    fn begin_departure(&self, index: usize, target: &TargetInstance, departure: Departure) {
        let endpoint = &self.endpoints[index];
        let kind = match departure {
            Departure::Stated => {
                target.set_leaving();
                ChangeKind::TargetLeaving(target.id.clone())
            }
            Departure::Removed => {
                self.store.remove(&target.key());
                ChangeKind::TargetDeregistered(target.id.clone())
            }
            Departure::Drained => {
                let domain = vm::domain_name(endpoint.domain);
                let mut entry = target.entry(endpoint.service, &domain);
                entry["address"] = json!(endpoint.proxy.address.to_string());
                entry["status"]["state"] = json!("draining");
                entry["status"]["sequence"] = json!(2);
                if self.store.has(&target.key()) {
                    self.store.put(&target.key(), &entry);
                }
                ChangeKind::TargetDeregistered(target.id.clone())
            }
        };
        let at = Instant::now();
        self.record(SoakChange { at, kind });
    }

    /// The newest target at an endpoint states a limit for a time.
    pub(super) fn limit_target(&mut self, index: usize, duration: Duration) {
        let Some(target) = self.endpoints[index].instances.last().cloned() else {
            return;
        };
        target.set_stated_limit(Some(STATED_LIMIT));
        let at = Instant::now();
        let kind = ChangeKind::TargetLimited {
            id: target.id.clone(),
            limit: STATED_LIMIT,
            until: at + duration,
        };
        self.record(SoakChange { at, kind });
        run_after(duration, move || target.set_stated_limit(None));
    }

    /// The newest target at an endpoint refuses requests and asks for pauses, for a time.
    pub(super) fn pause_target(&mut self, index: usize, duration: Duration) {
        let Some(target) = self.endpoints[index].instances.last().cloned() else {
            return;
        };
        target.set_pause(Some(&ASKED_PAUSE.as_secs().to_string()));
        target.set_fault(InstanceFault::Overloaded);
        let at = Instant::now();
        let kind = ChangeKind::TargetPausing {
            id: target.id.clone(),
            pause: ASKED_PAUSE,
        };
        self.record(SoakChange { at, kind });
        run_after(duration, move || target.end_pause());
    }
}
