//! Follows the accepted configuration revision in the store and on other VMs.
//!
//! Both sources feed a revision tracker, which never goes back to an older revision.

use crate::control::install;
use crate::shared;
use dahliawood_events::kind;
use dahliawood_peer::message;
use dahliawood_store::revision::{self, follow, tracker};
use dahliawood_store::{client, clock, content, head};
use std::sync::{Arc, Weak};

/// Creates the revision tracker of a daemon. The tracker accepts files that [`install::check`]
/// finds valid, and puts a revision in force with [`install::install`]; from then on, requests are
/// routed by that revision.
pub fn tracker(shared: &Arc<shared::SharedState>) -> revision::SharedTracker {
    let domain = shared.settings.domain.clone();
    let check = move |text: &str| {
        install::check(&domain, text)
            .map(|_| ())
            .map_err(|error| error.to_string())
    };
    let weak_shared: Weak<shared::SharedState> = Arc::downgrade(shared);
    let on_in_force = move |record: &tracker::RevisionRecord| {
        let Some(shared) = weak_shared.upgrade() else {
            return;
        };
        if let Err(error) = install::install(&shared, record) {
            log::error!(
                "revision {} cannot be put in force: {error}",
                record.stamp.revision
            );
        }
    };
    let tracker = tracker::RevisionTracker::new(&shared.settings.name, shared.incarnation);
    revision::SharedTracker::new(tracker, Arc::new(check), Arc::new(on_in_force))
}

/// Follows the accepted revision in the store until the task is cancelled.
pub async fn run(
    shared: Arc<shared::SharedState>,
    tracker: revision::SharedTracker,
    store: client::StoreClient,
) {
    let members_source = Arc::clone(&shared);
    let options = follow::FollowOptions {
        live_vms: Arc::new(move || members_source.members.load().len()),
        on_contact: Arc::new(move |contact| shared.events.record(contact_event(contact))),
        ..follow::FollowOptions::new(tracker, clock::boot(), 1)
    };
    follow::follow(&store, &options).await;
}

/// The event for a lost or restored contact with the store.
fn contact_event(contact: follow::StoreContact) -> kind::EventKind {
    match contact {
        follow::StoreContact::Back => kind::EventKind::StoreBack,
        follow::StoreContact::Lost => kind::EventKind::StoreLost,
    }
}

/// Passes a file that another VM has in force to the tracker, unless its hash does not match its
/// text.
pub fn receive_file(tracker: &revision::SharedTracker, file: &message::ConfigText) {
    let hash = content::ContentHash::of(&file.text);
    let write_id = head::WriteId::from(file.write_id.clone());
    let stamp = head::RevisionStamp {
        revision: file.revision,
        write_id,
        hash: hash.clone(),
    };
    if stamp.hash.as_str() != file.hash {
        return log::warn!(
            "revision {} from another VM is ignored: its hash does not match its text",
            file.revision
        );
    }
    tracker.observe_accepted(&stamp, tracker::RevisionSource::Peer);
    if let Err(error) = tracker.add_file(&hash, &file.text) {
        log::warn!(
            "cannot use revision {} from another VM: {error}",
            file.revision
        );
    }
}

/// The file that this VM has in force, if its revision is above the given one; sent to other VMs.
pub fn newer_file(tracker: &revision::SharedTracker, above: u64) -> Option<message::ConfigText> {
    let record = tracker
        .in_force()
        .filter(|record| record.stamp.revision > above)?;
    Some(message::ConfigText {
        revision: record.stamp.revision,
        hash: record.stamp.hash.to_string(),
        write_id: record.stamp.write_id.to_string(),
        text: record.text.to_string(),
    })
}
