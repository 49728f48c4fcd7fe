//! What happens to the targets of a soak: replacements, and what they state of themselves.

use crate::instance::{self, InstanceFault};
use crate::soak::check::{ChangeKind, SoakChange};
use crate::soak::environment::{PROCESSING_TIME, SoakEnvironment, register, run_after};
use std::io;
use std::time::{Duration, Instant};

/// The limit that a target states, requests a second.
const STATED_LIMIT: f64 = 3.0;
/// The pause that a target asks for.
const ASKED_PAUSE: Duration = Duration::from_secs(3);

impl SoakEnvironment {
    /// Replaces the target at an endpoint: after a pause, a new target with another id takes over the
    /// address and registers. The old one keeps answering until then. Its registration is removed at
    /// once; or, if it states its leaving instead, at the end.
    pub(super) async fn replace_target(
        &mut self,
        index: usize,
        pause: Duration,
        states_leaving: bool,
    ) -> io::Result<()> {
        let now = Instant::now();
        let endpoint = &self.endpoints[index];
        // A target that is to state its leaving must serve its address until then.
        if now < endpoint.left_until || (states_leaving && now < endpoint.replaced_until) {
            return Ok(());
        }
        let count = endpoint.instances.len();
        let target = instance::start(&format!("target-{index}-{count}")).await?;
        target.set_processing_time(PROCESSING_TIME);
        let endpoint = &mut self.endpoints[index];
        endpoint.replaced_until = now + pause;
        if states_leaving {
            endpoint.left_until = now + pause;
        }
        let old = endpoint.instances.last().cloned();
        endpoint.instances.push(target.clone());
        if let Some(old) = &old {
            let kind = if states_leaving {
                old.set_leaving();
                ChangeKind::TargetLeaving(old.id.clone())
            } else {
                self.store.remove(&old.key());
                ChangeKind::TargetDeregistered(old.id.clone())
            };
            let at = Instant::now();
            self.changes.push(SoakChange { at, kind });
        }
        let (endpoint, store) = (endpoint.clone(), self.store.clone());
        run_after(pause, move || {
            if let Some(old) = old {
                store.remove(&old.key());
            }
            endpoint.proxy.set_server(target.address);
            register(&store, &endpoint);
        });
        Ok(())
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
        self.changes.push(SoakChange { at, kind });
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
        self.changes.push(SoakChange { at, kind });
        run_after(duration, move || target.end_pause());
    }
}
