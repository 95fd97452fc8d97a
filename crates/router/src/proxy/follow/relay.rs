//! Lets a few hosts read the upstream registry for all hosts.
//!
//! Load pattern: with hundreds of hosts, each would read all upstreams' entries
//! about every second, though hardly any of them changes. With 295 hosts, these
//! reads cost more than anything else that the platform bills, except for reading
//! prompts again. So a few hosts, those with the most capacity, read the entries
//! and send the others the changes and the offset up to which they have read.
//!
//! Limits: a host that receives no update within the normal interval between two
//! reads, or that misses a part, reads for itself, so its data is never older
//! than if every host read. While the store is unavailable no updates are sent,
//! and each host finds out by itself.

use std::rc::Rc;

use marjoram_core::heartbeat::SINGLE_ROUND_HOSTS;

use super::Read;
use crate::clock;
use crate::proxy::hosts::Message;
use crate::proxy::relays::{RegistryChanges, Relay};
use crate::proxy::site::Site;

/// Hosts that read for all, those with the most capacity. Two of them may be down
/// or slow.
const READERS: usize = 3;

/// Most changes sent in one message, so that they fit into a datagram. Hosts that
/// miss more read for themselves.
const MAX_CHANGES: usize = 80;

/// A host's part in reading the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Each host reads for itself, as there are few hosts.
    Alone,
    /// It reads for all hosts.
    Reader,
    /// It receives the updates of the readers.
    Listener,
}

impl Role {
    /// The role of this host.
    pub fn of(site: &Site) -> Self {
        match site.peers.count() {
            hosts if hosts <= SINGLE_ROUND_HOSTS => Self::Alone,
            _ if site.peers.has_most_capacity(site.control_capacity(), READERS) => Self::Reader,
            _ => Self::Listener,
        }
    }
}

/// Sends the other hosts what this one has read, if it is a reader.
pub fn send_update(site: &Rc<Site>, read: Read, changes: RegistryChanges) {
    let (span, changes) = site.relays.add(read.span, changes);
    if Role::of(site) != Role::Reader {
        site.relays.drop_weights();
        return;
    }
    if changes.len() > MAX_CHANGES {
        return;
    }
    let weights = site.relays.next_weights();
    // The age is computed when each datagram is sent: if the process is suspended
    // in between, the remaining hosts still get the true age of the data.
    let asked = clock::now().saturating_sub(site.now().saturating_sub(read.asked));
    site.peers.send_to_all(1, move || {
        let age = clock::now().saturating_sub(asked).as_millis() as u64;
        Message::Relay(Relay { age, span, changes: changes.clone(), weights: weights.clone() })
    });
}
