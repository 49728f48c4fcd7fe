//! The VMs of the fleet as this one knows them: the live list for who may exist, beats for who is
//! heard.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::message;
use dahliawood_steer::lookup;
use dahliawood_store::protocol;
use std::net::SocketAddr;
use std::time::Duration;

/// A VM that was not heard for longer is suspect.
const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// One VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmMember {
    /// Its name.
    pub name: String,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Where other VMs reach it.
    pub peer: SocketAddr,
    /// Its failure domain's name.
    pub domain: String,
    /// The incarnation last heard, 0 for none.
    pub incarnation: u64,
    /// The revision that it last said is in force.
    pub revision: u64,
    /// When it was last heard, `None` for never.
    pub heard: Option<TimeStamp>,
    /// Whether it said, or the platform said, that it is leaving.
    pub is_leaving: bool,
    /// What look-ups make of it.
    pub state: lookup::VmState,
}

/// All VMs, in order of their names.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: Vec<VmMember>,
}

impl MemberTable {
    /// The VMs.
    pub fn members(&self) -> &[VmMember] {
        &self.members
    }

    /// The VM of that name.
    pub fn find(&self, name: &str) -> Option<&VmMember> {
        self.members.iter().find(|member| member.name == name)
    }

    /// Takes in a reading of the live list; who is not on it is forgotten.
    pub fn apply_live_list(&mut self, list: &protocol::LiveList) {
        let mut members: Vec<_> = list
            .vms
            .iter()
            .filter_map(|vm| self.merge_entry(vm))
            .collect();
        members.sort_by(|one, other| one.name.cmp(&other.name));
        self.members = members;
    }

    /// The member that a live list's entry stands for; one with a malformed address is left out.
    fn merge_entry(&self, vm: &protocol::LiveVm) -> Option<VmMember> {
        let known = self.members.iter().find(|member| member.name == vm.name);
        let is_leaving = vm.state == protocol::LiveState::Leaving;
        let fresh = VmMember {
            name: vm.name.clone(),
            http: vm.http.parse().ok()?,
            peer: vm.peer.parse().ok()?,
            domain: vm.domain.clone(),
            incarnation: 0,
            revision: 0,
            heard: None,
            is_leaving,
            state: lookup::VmState::Suspect,
        };
        Some(match known {
            Some(known) if known.peer == fresh.peer => VmMember {
                is_leaving: is_leaving || known.is_leaving,
                http: fresh.http,
                domain: fresh.domain,
                ..known.clone()
            },
            _ => fresh,
        })
    }

    /// Takes in a beat; one of an earlier incarnation is ignored.
    pub fn apply_heartbeat(&mut self, beat: &message::VmBeat, now: TimeStamp) {
        let member = self
            .members
            .iter_mut()
            .find(|member| member.name == beat.name);
        let Some(member) = member.filter(|member| member.incarnation <= beat.incarnation) else {
            return;
        };
        member.incarnation = beat.incarnation;
        member.revision = beat.revision;
        member.is_leaving = beat.leaving;
        member.heard = Some(now);
    }

    /// Judges every VM anew; says which ones changed.
    pub fn update_states(&mut self, now: TimeStamp) -> Vec<VmMember> {
        let mut changed = Vec::new();
        for member in &mut self.members {
            let state = evaluate_state(member, now);
            if state != member.state {
                member.state = state;
                changed.push(member.clone());
            }
        }
        changed
    }
}

/// What look-ups make of a VM: it has to be heard, and to have a configuration in force.
fn evaluate_state(member: &VmMember, now: TimeStamp) -> lookup::VmState {
    let is_heard = member
        .heard
        .is_some_and(|heard| now.since(heard) <= SUSPECT_AFTER);
    if member.is_leaving {
        lookup::VmState::Leaving
    } else if is_heard && member.revision > 0 {
        lookup::VmState::Live
    } else {
        lookup::VmState::Suspect
    }
}
