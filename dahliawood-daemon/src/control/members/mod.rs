//! The VMs of the fleet as known to this VM.
//!
//! The live list determines which VMs are members; heartbeats determine which of them are alive.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::message;
use dahliawood_steer::lookup;
use dahliawood_store::protocol;
use std::net::SocketAddr;
use std::time::Duration;

/// A VM whose last heartbeat is older than this is suspect.
const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// One VM of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct VmMember {
    /// Name in the live list.
    pub name: String,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for other VMs.
    pub peer: SocketAddr,
    /// Name of the VM's failure domain.
    pub domain: String,
    /// Incarnation in the last heartbeat, 0 for none.
    pub incarnation: u64,
    /// Revision in force according to the last heartbeat.
    pub revision: u64,
    /// Time of the last heartbeat, `None` for never.
    pub last_heartbeat: Option<TimeStamp>,
    /// Whether the VM or the platform announced that the VM is leaving.
    pub is_leaving: bool,
    /// State for look-ups.
    pub state: lookup::VmState,
}

/// All VMs of the fleet, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: Vec<VmMember>,
}

impl MemberTable {
    /// The VMs, sorted by name.
    pub fn members(&self) -> &[VmMember] {
        &self.members
    }

    /// Finds a VM by name.
    pub fn find(&self, name: &str) -> Option<&VmMember> {
        self.members.iter().find(|member| member.name == name)
    }

    /// Applies the live list; removes VMs that are not on the list.
    pub fn apply_live_list(&mut self, list: &protocol::LiveList) {
        let mut members: Vec<_> = list
            .vms
            .iter()
            .filter_map(|vm| self.merge_entry(vm))
            .collect();
        members.sort_by(|one, other| one.name.cmp(&other.name));
        self.members = members;
    }

    /// Merges an entry of the live list with what is known of that VM; `None` if an address in the
    /// entry is malformed.
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
            last_heartbeat: None,
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

    /// Applies a heartbeat; ignores one of an earlier incarnation.
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
        member.last_heartbeat = Some(now);
    }

    /// Updates the state of every VM; returns the VMs whose state changed.
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

/// The state of a VM for look-ups: live only if its heartbeats arrive and it has a configuration in
/// force.
fn evaluate_state(member: &VmMember, now: TimeStamp) -> lookup::VmState {
    let is_alive = member
        .last_heartbeat
        .is_some_and(|last_heartbeat| now.since(last_heartbeat) <= SUSPECT_AFTER);
    if member.is_leaving {
        lookup::VmState::Leaving
    } else if is_alive && member.revision > 0 {
        lookup::VmState::Live
    } else {
        lookup::VmState::Suspect
    }
}
