//! Divides the slots of brittle upstreams among all hosts by leases.
//!
//! Load pattern: upstreams that fail when they reject a few requests within a second (see
//! [`crate::brittle`]), and hundreds of hosts. Hosts that send when they believe that a slot
//! is free are wrong more often the more of them there are, and learn it too late.
//!
//! Limits: one host, the [`coordinator`] of a service, grants the slots of its upstreams to the
//! hosts that have requests for them; a [`holder`] sends only to slots that it holds. A lease is
//! valid for [`LEASE_TTL`] after the report that it answers was sent, so it ends at a host that
//! hears no more of its coordinator before the coordinator grants the slot to another one.
//!
//! Hosts report to one coordinator at a time, and to the next one only after the leases of the
//! former have ended. A coordinator grants all slots if nearly all hosts report to it, else a
//! part (see [`quorum`]), so that several coordinators together never grant more than there are.
//!
//! A slot that may be in use by a request that no host reports (after a restart, a takeover or a
//! silence, or where a request was rejected) is in doubt. Slots in doubt are granted again
//! at half of the rate of rejections that the upstream can bear, and all at once when requests
//! that nobody reports must have ended.

pub mod abandoned;
mod account;
pub mod coordinator;
pub mod holder;
pub mod quorum;
mod slots;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::brittle::MaxRejections;

/// How long a lease is valid after the host has sent the report that it answers.
pub const LEASE_TTL: Duration = Duration::from_millis(600);

/// Longest time between two reports of a host. Two in a row may be lost before its leases end.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Key of an upstream's incarnation in messages between hosts.
pub type UpstreamKey = u64;

/// Hash of a host's name.
pub type HostKey = u64;

/// What a host uses of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUse {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its requests that may be running there.
    pub running: u16,
    /// Its requests that were rejected there since the host started.
    pub rejected: u32,
}

/// A host's report to the coordinator of a brittle service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// Hash of the service's name.
    pub service: u64,
    /// What its upstreams can bear.
    pub max: MaxRejections,
    /// When the report was sent, in microseconds on the host's clock.
    pub sent_us: u64,
    /// Term and number of the newest grant that the host has applied.
    pub applied: (u64, u32),
    /// Slots that it needs.
    pub wanted: u16,
    /// Hosts that it knows.
    pub hosts: u16,
    /// How long requests run, in milliseconds.
    pub work_ms: u32,
    /// What it uses.
    pub uses: Vec<SlotUse>,
    /// Upstreams that it cannot use now.
    pub unusable: Vec<UpstreamKey>,
}

/// A coordinator's grant to one host. It replaces all former ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Hash of the service's name.
    pub service: u64,
    /// Identifies the time for which the granting host has been coordinator.
    pub term: u64,
    /// Number of the grant within the term.
    pub number: u32,
    /// [`SlotReport::sent_us`] of the newest report that the coordinator has received.
    pub answers_us: u64,
    /// The slots that the host may use, by upstream.
    pub leases: Vec<(UpstreamKey, u16)>,
    /// Other hosts wait for slots.
    pub is_contended: bool,
    /// Nearly all hosts report to this coordinator.
    pub has_quorum: bool,
}

/// Whether a host that has started may send a request to a service of which no host knows
/// whether it is brittle, since all have started together. `rank` is the host's place, from 0,
/// among those that do, `own` the number of its requests there, and `slots` that of the
/// service's slots. The others wait for its answers.
///
/// ```
/// use marjoram_core::slot_leases::may_probe;
/// assert!(may_probe(14, 0, 30));
/// assert!(!may_probe(15, 0, 30) && !may_probe(14, 1, 30));
/// assert!(may_probe(0, 0, 0));
/// ```
pub fn may_probe(rank: usize, own: u32, slots: u32) -> bool {
    own == 0 && rank < (slots as usize / 2).max(1)
}
