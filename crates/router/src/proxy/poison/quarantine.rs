//! The quarantine: all hosts receive the entries of the detecting hosts, and refuse the
//! requests that they name.

use std::time::Duration;

use marjoram_core::exchange::PartId;
use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::poison::{self, Admission, Quarantined};

use super::records;
use crate::proxy::hosts::Message;
use crate::proxy::site::Site;

/// Times that a new entry is sent to each host at once, besides the heartbeats,
/// since datagrams can be lost.
const SENDS: u32 = 2;

/// Source of an entry, in logs: detected by this host, or received from another.
const OWN: &str = "own";
const PEER: &str = "peer";

/// Adds entries detected by this host, and sends them to all hosts.
pub(super) fn publish(site: &Site, entries: Vec<Quarantined>) {
    if entries.is_empty() {
        return;
    }
    add_quarantine_entries(site, entries.clone(), OWN);
    let message = Message::Quarantine(entries);
    for _ in 0..SENDS {
        site.peers.broadcast(&message);
    }
}

/// Adds entries received from another host.
pub fn handle_quarantine_entries(site: &Site, entries: Vec<Quarantined>) {
    add_quarantine_entries(site, entries, PEER);
}

/// Adds entries received from `source`, a name for the log.
pub fn add_quarantine_entries(site: &Site, entries: Vec<Quarantined>, source: &str) {
    let (now, wall) = (site.now(), site.unix_time());
    let poison = &site.poison;
    for entry in entries {
        let request = entry.request;
        let admission = poison.quarantine.borrow_mut().admit(entry.clone(), wall);
        let evicted = match admission {
            Admission::New(evicted) => evicted,
            Admission::Over if source == records::STORE => {
                records::queue_removal(site, request);
                continue;
            }
            Admission::Over | Admission::Known => continue,
        };
        {
            let mut suspects = poison.suspects.borrow_mut();
            suspects.clear(request);
            suspects.explain(&entry.upstreams);
            poison.suspected_parts.borrow_mut().explain(request, &entry.upstreams);
        }
        site.counters.count("request.quarantined");
        tracing::warn!(target: "poison", fingerprint = %request, upstreams = ?entry.upstreams,
            repeats = entry.repeats, age_ms = wall.saturating_sub(entry.at).as_millis() as u64,
            left_s = entry.until().saturating_sub(wall).as_secs(), source,
            "request quarantined: upstreams crashed while it was in flight");
        if [OWN, PEER].contains(&source) {
            poison.recent_entries.borrow_mut().push((entry.clone(), now));
        }
        if let Some(evicted) = evicted {
            tracing::warn!(target: "poison", fingerprint = %evicted, "quarantine full, entry evicted");
            records::queue_removal(site, evicted);
        }
        if source != records::STORE {
            records::queue_write(site, entry);
        }
    }
}

/// Handles the record under `key` if it is a quarantine entry; false if not.
pub fn apply_quarantine_record(site: &Site, key: &str, value: Option<&[u8]>) -> bool {
    let Some(request) = key.strip_prefix(records::KEY_PREFIX) else { return false };
    let parsed = value.map(serde_json::from_slice::<Quarantined>);
    match parsed {
        // The entry had expired and its record was removed.
        None => {}
        Some(Ok(entry)) if entry.request.to_string() == request => {
            add_quarantine_entries(site, vec![entry], records::STORE);
        }
        Some(_) => tracing::error!(target: "poison", key, "malformed quarantine record"),
    }
    true
}

/// For how long `request`, whose attempt is `id` and whose prompt has the shared `parts`,
/// is still refused; `None` if neither it nor a set of these parts is in quarantine.
pub fn refused_for(
    site: &Site,
    request: Fingerprint,
    parts: &[PartId],
    id: &str,
) -> Option<Duration> {
    let quarantine = site.poison.quarantine.borrow();
    if quarantine.is_empty() {
        return None;
    }
    let now = site.unix_time();
    let sets = poison::part_sets(parts);
    let refusal = |entry: &Fingerprint| Some((*entry, quarantine.refuses(*entry, now)?));
    let (entry, left) = [request].iter().chain(&sets).find_map(refusal)?;
    site.counters.count("poison.refused");
    tracing::info!(target: "poison", id, fingerprint = %request, entry = %entry,
        left_s = left.as_secs(), "request refused: in quarantine");
    Some(left)
}
