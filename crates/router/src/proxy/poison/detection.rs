//! Entries of the quarantine: found by the hosts that detect, sent to all, and
//! enforced.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::poison::{Admission, Quarantined, SETTLE};

use super::records;
use crate::clock;
use crate::proxy::hosts::Message;
use crate::proxy::site::Site;

/// Time from a report that completes a suspect's crashes to the detection.
const DETECTION_DELAY: Duration = SETTLE.saturating_add(Duration::from_millis(5));

/// How much later than a crash an upstream must be heard to count as alive:
/// what it sent before may be read late.
const READ_DELAY: Duration = Duration::from_millis(100);

/// Times a new entry is sent to each host, besides the greetings.
const SENDS: u32 = 2;

/// Where an entry was learnt.
const OWN: &str = "own";
const PEER: &str = "peer";

/// Detects until no more reports arrive that may complete a suspect's crashes, and
/// all suspects that were at enough of them are judged.
pub(super) async fn run(site: Rc<Site>) {
    loop {
        let called = site.poison.called.get();
        tokio::time::sleep(DETECTION_DELAY).await;
        detect(&site);
        let unjudged = site.poison.suspects.borrow().is_unjudged();
        if site.poison.called.get() == called && !unjudged {
            site.poison.detecting.set(false);
            return;
        }
    }
}

fn detect(site: &Rc<Site>) {
    let now = site.now();
    let upstreams = site.fleet.all();
    let lives = |key: u64, since: Duration| {
        let span = now.saturating_sub(since + READ_DELAY);
        let mut known = upstreams.iter().filter(|u| u.key == key);
        known.any(|u| u.health.borrow().was_alive(now, span))
    };
    let found = {
        let mut suspects = site.poison.suspects.borrow_mut();
        suspects.refute(now, lives);
        suspects.detect(now)
    };
    let at = clock::wall();
    let entry = |(request, upstreams)| Quarantined::new(request, upstreams, at);
    pass(site, found.into_iter().map(entry).collect());
}

/// Adds entries found by this host, and sends them to all hosts.
pub(super) fn pass(site: &Site, entries: Vec<Quarantined>) {
    if entries.is_empty() {
        return;
    }
    take_quarantined(site, entries.clone(), OWN);
    let message = Message::Quarantine(entries);
    for _ in 0..SENDS {
        site.peers.broadcast(&message);
    }
}

/// Adds entries that another host sent.
pub fn hear_quarantined(site: &Site, entries: Vec<Quarantined>) {
    take_quarantined(site, entries, PEER);
}

/// Adds entries learnt from `source`.
pub fn take_quarantined(site: &Site, entries: Vec<Quarantined>, source: &str) {
    let (now, wall) = (site.now(), clock::wall());
    let poison = &site.poison;
    for entry in entries {
        let request = entry.request;
        let admission = poison.quarantine.borrow_mut().admit(entry.clone(), wall);
        let evicted = match admission {
            Admission::New(evicted) => evicted,
            Admission::Over if source == records::STORE => {
                records::drop_record(site, request);
                continue;
            }
            Admission::Over | Admission::Known => continue,
        };
        {
            let mut suspects = poison.suspects.borrow_mut();
            suspects.clear(request);
            suspects.explain(&entry.upstreams);
        }
        site.counters.count("request.quarantined");
        tracing::warn!(target: "poison", fingerprint = %request, upstreams = ?entry.upstreams,
            repeats = entry.repeats, age_ms = wall.saturating_sub(entry.at).as_millis() as u64,
            left_s = entry.until().saturating_sub(wall).as_secs(), source,
            "request quarantined: upstreams crashed under it");
        if [OWN, PEER].contains(&source) {
            poison.told.borrow_mut().push((entry.clone(), now));
        }
        if let Some(evicted) = evicted {
            tracing::warn!(target: "poison", fingerprint = %evicted, "quarantine full, entry evicted");
            records::drop_record(site, evicted);
        }
        if source != records::STORE {
            records::keep_record(site, entry);
        }
    }
}

/// Handles the record under `key`, if it is an entry's; whether it is.
pub fn take_record(site: &Site, key: &str, value: Option<&[u8]>) -> bool {
    let Some(request) = key.strip_prefix(records::KEY_PREFIX) else { return false };
    let parsed = value.map(serde_json::from_slice::<Quarantined>);
    match parsed {
        // Removed once its term had passed.
        None => {}
        Some(Ok(entry)) if entry.request.to_string() == request => {
            take_quarantined(site, vec![entry], records::STORE);
        }
        Some(_) => tracing::error!(target: "poison", key, "record of no entry"),
    }
    true
}

/// For how long `request`, sent by the attempt `id`, is still refused.
pub fn refuses(site: &Site, request: Fingerprint, id: &str) -> Option<Duration> {
    let left = site.poison.quarantine.borrow().refuses(request, clock::wall())?;
    site.counters.count("poison.refused");
    tracing::info!(target: "poison", id, fingerprint = %request, left_s = left.as_secs(),
        "kept from upstreams");
    Some(left)
}
