//! Membership of the routers: which of them are up, by gossip among themselves.
//! All state is soft.
//!
//! A SWIM-style failure detector: each router pings a few others per second and
//! piggybacks updates about further routers on each ping and reply. There is no
//! consensus and nothing is stored. The host list says which routers exist; this
//! table says only which of them not to send callers to. A wrong entry costs a
//! caller one detour, never a wrong response.
//!
//! Only a router itself publishes its own status, versioned by (incarnation,
//! beat). Others may only declare it [`Status::Down`] at the last beat they
//! received, which it refutes with a higher beat as soon as it learns of that.
//! Entries merge by the greatest (incarnation, beat), with `Down` winning a tie,
//! so tables converge whatever the order in which updates arrive. A router that
//! restarts keeps no state of its earlier incarnation; when it receives an entry
//! about itself with a higher incarnation than its own, it takes a higher one
//! still.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// Status that a router publishes about itself or that others publish about it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Started, but not yet ready to serve callers.
    #[default]
    Warming,
    /// Serving callers.
    Ready,
    /// Finishing the requests it has; accepts no new callers.
    Draining,
    /// Another router could not reach it.
    Down,
}

/// One router's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address it advertises to callers.
    pub addr: String,
    /// Identifies one run of its process; a later run has a higher number.
    pub incarnation: Incarnation,
    /// Version of its own status updates within that incarnation.
    pub beat: u64,
    /// Its last known status.
    pub status: Status,
}

impl Member {
    fn rank(&self) -> (u64, u64, bool) {
        (self.incarnation.0, self.beat, self.status == Status::Down)
    }
}

/// How often each entry is gossiped before it is left out of pings.
const RETRANSMITS: u8 = 12;

/// Maximum number of entries about other routers in one ping or reply.
const MAX_ENTRIES: usize = 8;

/// Consecutive failed pings before a router is declared down.
const MAX_FAILED_PINGS: u8 = 2;

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    /// How often this entry may still be gossiped.
    retransmits: u8,
    /// Consecutive pings from this router that failed.
    failed_pings: u8,
}

/// One router's table of all routers it knows.
///
/// ```
/// use marjoram_core::ids::Incarnation;
/// use marjoram_core::members::{Members, Status};
/// let mut a = Members::new("a", Incarnation(1));
/// let mut b = Members::new("b", Incarnation(2));
/// b.set_status(Status::Draining);
/// let (ping, pong) = (a.outgoing_updates(), b.outgoing_updates());
/// a.merge(&pong);
/// b.merge(&ping);
/// assert_eq!(a.status("b"), Some(Status::Draining));
/// ```
#[derive(Debug, Clone)]
pub struct Members {
    me: Member,
    others: BTreeMap<String, Entry>,
}

impl Members {
    /// Creates the table of a router that has just started.
    pub fn new(addr: impl Into<String>, incarnation: Incarnation) -> Self {
        let me = Member { addr: addr.into(), incarnation, beat: 0, status: Status::Warming };
        Self { me, others: BTreeMap::new() }
    }

    /// This router's own entry.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Sets the status that this router publishes about itself.
    pub fn set_status(&mut self, status: Status) {
        if self.me.status != status {
            self.me.status = status;
            self.me.beat += 1;
        }
    }

    /// Status of the router at `addr`; `None` if it is not in the table.
    pub fn status(&self, addr: &str) -> Option<Status> {
        match addr == self.me.addr {
            true => Some(self.me.status),
            false => self.others.get(addr).map(|e| e.member.status),
        }
    }

    /// Whether callers may be sent to `addr`. They may if the router is not in
    /// the table: then the host list, which names it, is the only source.
    pub fn usable(&self, addr: &str) -> bool {
        matches!(self.status(addr), None | Some(Status::Ready))
    }

    /// Entries to send with the next ping or reply: this router's own first, then
    /// the most recently changed ones. Counts them as sent.
    pub fn outgoing_updates(&mut self) -> Vec<Member> {
        let mut pending: Vec<&mut Entry> =
            self.others.values_mut().filter(|e| e.retransmits > 0).collect();
        pending.sort_by_key(|e| std::cmp::Reverse(e.retransmits));
        let mut updates = vec![self.me.clone()];
        for entry in pending.into_iter().take(MAX_ENTRIES) {
            entry.retransmits -= 1;
            updates.push(entry.member.clone());
        }
        updates
    }

    /// Merges the entries in `updates`, received from another router.
    pub fn merge(&mut self, updates: &[Member]) {
        for member in updates {
            match self.others.get(&member.addr) {
                _ if member.addr == self.me.addr => self.refute(member),
                Some(entry) if member.rank() <= entry.member.rank() => {}
                _ => {
                    let entry =
                        Entry { member: member.clone(), retransmits: RETRANSMITS, failed_pings: 0 };
                    self.others.insert(member.addr.clone(), entry);
                }
            }
        }
    }

    /// Refutes an entry about this router that is wrong, such as `Down`, by
    /// publishing a higher beat or incarnation.
    fn refute(&mut self, update: &Member) {
        match update.rank() {
            rank if rank < self.me.rank() || *update == self.me => {}
            (incarnation, ..) if incarnation > self.me.incarnation.0 => {
                self.me.incarnation = Incarnation(incarnation + 1);
                self.me.beat = 0;
            }
            (_, beat, _) => self.me.beat = beat + 1,
        }
    }

    /// Records that a ping of `addr` failed; returns true if the router is
    /// declared down because of it. A router that is not in the table can be
    /// declared down too, under incarnation 0, which is below any that a router
    /// has, so that whatever it publishes about itself replaces the entry.
    pub fn missed(&mut self, addr: &str) -> bool {
        let placeholder = || Entry {
            member: Member {
                addr: addr.into(),
                incarnation: Incarnation(0),
                beat: 0,
                status: Status::Ready,
            },
            retransmits: 0,
            failed_pings: 0,
        };
        let entry = self.others.entry(addr.into()).or_insert_with(placeholder);
        if entry.member.status == Status::Down {
            return false;
        }
        entry.failed_pings += 1;
        let down = entry.failed_pings >= MAX_FAILED_PINGS;
        if down {
            entry.member.status = Status::Down;
            entry.retransmits = RETRANSMITS;
        }
        down
    }

    /// Records that `addr` replied to a ping (its reply has already been merged).
    pub fn answered(&mut self, addr: &str) {
        if let Some(entry) = self.others.get_mut(addr) {
            entry.failed_pings = 0;
        }
    }

    /// Removes the routers for which `listed` is false: the host list no longer
    /// names them.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.others.retain(|addr, _| listed(addr));
    }

    /// All entries, this router's own first.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.others.values().map(|e| &e.member))
    }
}
