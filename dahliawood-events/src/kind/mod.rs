//! What can happen, as typed values.

/// One kind of event with what belongs to it.
///
/// Names, never keys or hashes of keys, stand for customers, VMs and targets.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    #[display("VM started as incarnation {incarnation}")]
    VmStarted {
        /// Its incarnation.
        incarnation: u64,
    },
    /// The process began a graceful shutdown.
    #[display("VM is leaving")]
    VmLeaving,
    /// The process ended its shutdown.
    #[display("VM stopped, {cut} requests cut")]
    VmStopped {
        /// Requests still in flight at the end.
        cut: u64,
    },
    /// The VM reaches neither the store nor another VM, and takes no work.
    #[display("VM is isolated")]
    VmIsolated,
    /// The VM reaches the store or another VM again.
    #[display("VM is no longer isolated")]
    VmRejoined,
    /// Another VM joined.
    #[display("{vm} joined")]
    VmJoined {
        /// Who.
        vm: String,
    },
    /// Another VM is suspected of having died.
    #[display("{vm} is suspect")]
    VmSuspect {
        /// Who.
        vm: String,
    },
    /// Another VM is gone.
    #[display("{vm} is gone")]
    VmGone {
        /// Who.
        vm: String,
    },
    /// A revision was staged.
    #[display("revision {revision} staged")]
    RevisionStaged {
        /// Which.
        revision: u64,
    },
    /// A revision was accepted.
    #[display("revision {revision} accepted")]
    RevisionAccepted {
        /// Which.
        revision: u64,
    },
    /// A revision came into force on this VM.
    #[display("revision {revision} in force")]
    RevisionInForce {
        /// Which.
        revision: u64,
    },
    /// A customer's key is no longer valid on this VM.
    #[display("key {key_id} of {customer} withdrawn")]
    KeyWithdrawn {
        /// Whose.
        customer: String,
        /// The key's public id.
        key_id: String,
    },
    /// This VM's share of a limit changed.
    #[display("share of {limit} is now {share}")]
    ShareMoved {
        /// Which limit.
        limit: String,
        /// The new share, in the limit's own unit.
        share: u64,
    },
    /// A target is draining.
    #[display("target {target} is draining")]
    TargetDrained {
        /// Which.
        target: String,
    },
    /// A drain took, held or took back a step.
    #[display("drain of {subject}: {step}")]
    DrainStepped {
        /// What is draining.
        subject: String,
        /// What it did.
        step: String,
    },
    /// A target was ejected.
    #[display("target {target} ejected")]
    TargetEjected {
        /// Which.
        target: String,
    },
    /// A target was taken back.
    #[display("target {target} returned")]
    TargetReturned {
        /// Which.
        target: String,
    },
    /// Requests began or ceased to leave a region.
    #[display("{service} of {from} is served by {to}")]
    RegionShifted {
        /// The service.
        service: String,
        /// The region that callers are in.
        from: String,
        /// The region that serves them.
        to: String,
    },
    /// A customer reached its limit.
    #[display("{limit} reached")]
    LimitReached {
        /// Which limit.
        limit: String,
    },
    /// The store stopped answering.
    #[display("store lost")]
    StoreLost,
    /// The store answers again.
    #[display("store back")]
    StoreBack,
}

impl EventKind {
    /// The kind's name as it stands in JSON, for filters.
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
