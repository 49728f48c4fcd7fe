//! The kinds of events in the event log.

/// One kind of event with its data.
///
/// Customers, VMs and targets are identified by name; no event contains a key or the hash of a key.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum EventKind {
    /// The VM's process started.
    #[display("VM started as incarnation {incarnation}")]
    VmStarted {
        /// Incarnation of the VM.
        incarnation: u64,
    },
    /// The VM began a graceful shutdown.
    #[display("VM is leaving")]
    VmLeaving,
    /// The VM completed its shutdown.
    #[display("VM stopped, {cut} requests cut")]
    VmStopped {
        /// Requests aborted because they were still in flight at the end of the shutdown.
        cut: u64,
    },
    /// The VM can reach neither the store nor another VM, and accepts no requests.
    #[display("VM is isolated")]
    VmIsolated,
    /// The VM can reach the store or another VM again.
    #[display("VM is no longer isolated")]
    VmRejoined,
    /// Another VM joined.
    #[display("{vm} joined")]
    VmJoined {
        /// Name of the VM.
        vm: String,
    },
    /// Another VM is suspected to have failed.
    #[display("{vm} is suspect")]
    VmSuspect {
        /// Name of the VM.
        vm: String,
    },
    /// Another VM is no longer a member of the fleet.
    #[display("{vm} is gone")]
    VmGone {
        /// Name of the VM.
        vm: String,
    },
    /// A configuration revision was staged.
    #[display("revision {revision} staged")]
    RevisionStaged {
        /// Number of the revision.
        revision: u64,
    },
    /// A configuration revision was accepted.
    #[display("revision {revision} accepted")]
    RevisionAccepted {
        /// Number of the revision.
        revision: u64,
    },
    /// A configuration revision came into force on this VM.
    #[display("revision {revision} in force")]
    RevisionInForce {
        /// Number of the revision.
        revision: u64,
    },
    /// A customer's key is no longer valid on this VM.
    #[display("key {key_id} of {customer} withdrawn")]
    KeyWithdrawn {
        /// Customer that the key belonged to.
        customer: String,
        /// Public id of the key.
        key_id: String,
    },
    /// This VM's share of a fleet-wide limit changed.
    #[display("share of {limit} is now {share}")]
    ShareMoved {
        /// Name of the limit.
        limit: String,
        /// The new share, in the unit of the limit.
        share: u64,
    },
    /// A target is draining.
    #[display("target {target} is draining")]
    TargetDrained {
        /// Name of the target.
        target: String,
    },
    /// A drain advanced, paused or reverted a step.
    #[display("drain of {subject}: {step}")]
    DrainStepped {
        /// The target, failure domain or region that is draining.
        subject: String,
        /// What the drain did.
        step: String,
    },
    /// A target was ejected: it receives no more requests.
    #[display("target {target} ejected")]
    TargetEjected {
        /// Name of the target.
        target: String,
    },
    /// An ejected target receives requests again.
    #[display("target {target} returned")]
    TargetReturned {
        /// Name of the target.
        target: String,
    },
    /// Requests for a service began or ceased to be served outside the region of their callers.
    #[display("{service} of {from} is served by {to}")]
    RegionShifted {
        /// Name of the service.
        service: String,
        /// Region of the callers.
        from: String,
        /// Region that serves the callers.
        to: String,
    },
    /// A customer reached its limit.
    #[display("{limit} reached")]
    LimitReached {
        /// Name of the limit.
        limit: String,
    },
    /// The VM lost the store: calls to it get no response.
    #[display("store lost")]
    StoreLost,
    /// The store responds again.
    #[display("store back")]
    StoreBack,
}

impl EventKind {
    /// The value of the JSON field `kind`; filters compare with it.
    pub fn name(&self) -> &'static str {
        match self {
            Self::VmStarted { .. } => "vm-started",
            Self::VmLeaving => "vm-leaving",
            Self::VmStopped { .. } => "vm-stopped",
            Self::VmIsolated => "vm-isolated",
            Self::VmRejoined => "vm-rejoined",
            Self::VmJoined { .. } => "vm-joined",
            Self::VmSuspect { .. } => "vm-suspect",
            Self::VmGone { .. } => "vm-gone",
            Self::RevisionStaged { .. } => "revision-staged",
            Self::RevisionAccepted { .. } => "revision-accepted",
            Self::RevisionInForce { .. } => "revision-in-force",
            Self::KeyWithdrawn { .. } => "key-withdrawn",
            Self::ShareMoved { .. } => "share-moved",
            Self::TargetDrained { .. } => "target-drained",
            Self::DrainStepped { .. } => "drain-stepped",
            Self::TargetEjected { .. } => "target-ejected",
            Self::TargetReturned { .. } => "target-returned",
            Self::RegionShifted { .. } => "region-shifted",
            Self::LimitReached { .. } => "limit-reached",
            Self::StoreLost => "store-lost",
            Self::StoreBack => "store-back",
        }
    }
}
