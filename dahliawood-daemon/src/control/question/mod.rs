//! Questions that other threads ask the control thread.

use crate::control::{ControlState, members};
use async_std::channel::{Receiver, Sender};
use async_std::task;
use dahliawood_peer::{client, message};
use futures::channel::oneshot;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The most that asking another VM may take.
const CALL_DEADLINE: Duration = Duration::from_secs(2);

/// A question with where its answer goes.
pub enum ControlQuestion {
    /// Who the members are.
    Members(oneshot::Sender<Vec<members::VmMember>>),
    /// A page of a VM's events.
    Events(EventQuestion),
}

/// The answer to a question for events: a page, or why there is none.
pub type EventAnswer = Result<message::EventPage, String>;

/// A question for a page of a VM's events.
pub struct EventQuestion {
    /// Which VM.
    pub vm: String,
    /// After which position.
    pub after: u64,
    /// The most events.
    pub most: u32,
    /// Where the answer goes.
    pub answer: oneshot::Sender<EventAnswer>,
}

/// The control thread has ended.
#[derive(Clone, Copy, Debug, derive_more::Display)]
#[display("the daemon is ending")]
pub struct ControlGone;

impl std::error::Error for ControlGone {}

/// Asks the control thread.
///
/// # Errors
/// Fails where the thread has ended.
pub async fn ask<T>(
    control: &Sender<ControlQuestion>,
    question: impl FnOnce(oneshot::Sender<T>) -> ControlQuestion,
) -> Result<T, ControlGone> {
    let (sender, receiver) = oneshot::channel();
    control
        .send(question(sender))
        .await
        .map_err(|_| ControlGone)?;
    receiver.await.map_err(|_| ControlGone)
}

/// Answers questions until nobody can ask any more.
pub async fn run(state: Rc<RefCell<ControlState>>, questions: Receiver<ControlQuestion>) {
    while let Ok(question) = questions.recv().await {
        match question {
            ControlQuestion::Members(answer) => {
                let members = state.borrow().members.members().to_vec();
                // Who asked may have left.
                let _left = answer.send(members);
            }
            ControlQuestion::Events(question) => {
                task::spawn_local(events(Rc::clone(&state), question));
            }
        }
    }
}

/// Answers a question for events, by asking the VM that they are of.
async fn events(state: Rc<RefCell<ControlState>>, question: EventQuestion) {
    let page = page(&state, &question).await;
    let _left = question.answer.send(page);
}

async fn page(state: &Rc<RefCell<ControlState>>, question: &EventQuestion) -> EventAnswer {
    if question.vm == state.borrow().shared.settings.name {
        return Ok(super::event_page(
            &state.borrow(),
            question.after,
            question.most,
        ));
    }
    let member = state.borrow().members.find(&question.vm).cloned();
    let member = member.ok_or_else(|| format!("no VM is called {:?}", question.vm))?;
    let options = client::CallOptions {
        deadline: CALL_DEADLINE,
    };
    let failed = |error: client::error::CallError| format!("{}: {error}", question.vm);
    let peer = client::connect(member.peer, options)
        .await
        .map_err(failed)?;
    peer.events(question.after, question.most)
        .await
        .map_err(failed)
}
