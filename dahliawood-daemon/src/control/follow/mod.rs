//! Follows the accepted revision: the tracker that never goes back, fed by the store and by peers.

use crate::control::install;
use crate::shared;
use dahliawood_events::kind;
use dahliawood_peer::message;
use dahliawood_store::revision::{self, follow, tracker};
use dahliawood_store::{client, clock, content, head};
use std::sync::{Arc, Weak};

/// The tracker of a daemon: what it holds to be understood is what [`install`] can bring into
/// force, and a revision counts as in force once requests are answered by it.
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
                "revision {} is not in force: {error}",
                record.stamp.revision
            );
        }
    };
    let tracker = tracker::RevisionTracker::new(&shared.settings.name, shared.incarnation);
    revision::SharedTracker::new(tracker, Arc::new(check), Arc::new(on_in_force))
}

/// Follows the store until the task is cancelled.
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

/// The event of a change of contact with the store.
fn contact_event(contact: follow::StoreContact) -> kind::EventKind {
    match contact {
        follow::StoreContact::Back => kind::EventKind::StoreBack,
        follow::StoreContact::Lost => kind::EventKind::StoreLost,
    }
}

/// Takes in what another VM has in force.
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
            "another VM's revision {} has another content",
            file.revision
        );
    }
    tracker.observe_accepted(&stamp, tracker::RevisionSource::Peer);
    if let Err(error) = tracker.add_file(&hash, &file.text) {
        log::warn!("another VM's revision {}: {error}", file.revision);
    }
}

/// What this VM has in force, for another one.
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
