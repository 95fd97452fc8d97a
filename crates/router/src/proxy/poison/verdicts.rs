//! Verdicts: found by the hosts that judge, learnt by all, and acted on.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::poison::{Admission, SETTLE, Verdict};

use super::records;
use crate::clock;
use crate::proxy::peers::Message;
use crate::proxy::site::Site;

/// Time after the evidence is complete at which it is judged.
const JUDGED: Duration = SETTLE.saturating_add(Duration::from_millis(5));

/// How much later than a crash an upstream must have been heard to go on: what
/// it sent before may be read late.
const HEARD_LATE: Duration = Duration::from_millis(100);

/// Times a new verdict is sent to each host, besides the greetings.
const TELLINGS: u32 = 2;

/// Where a verdict was learnt.
const OWN: &str = "own";
const PEER: &str = "peer";

/// Judges until no more evidence calls for it.
pub(super) async fn judge(site: Rc<Site>) {
    loop {
        let called = site.poison.called.get();
        tokio::time::sleep(JUDGED).await;
        convict(&site);
        if site.poison.called.get() == called {
            site.poison.judging.set(false);
            return;
        }
    }
}

fn convict(site: &Rc<Site>) {
    let now = site.now();
    let upstreams = site.fleet.all();
    let lives = |key: u64, since: Duration| {
        let span = now.saturating_sub(since + HEARD_LATE);
        let mut known = upstreams.iter().filter(|u| u.key == key);
        known.any(|u| u.health.borrow().was_alive(now, span))
    };
    let found = {
        let mut suspects = site.poison.suspects.borrow_mut();
        suspects.refute(now, lives);
        suspects.convict(now)
    };
    let at = clock::wall();
    let verdict = |(request, upstreams)| Verdict::new(request, upstreams, at);
    pass(site, found.into_iter().map(verdict).collect());
}

/// Takes in verdicts of this host, and tells them to all.
pub(super) fn pass(site: &Site, verdicts: Vec<Verdict>) {
    if verdicts.is_empty() {
        return;
    }
    take_verdicts(site, verdicts.clone(), OWN);
    site.peers.spread(TELLINGS, move || Message::Quarantine(verdicts.clone()));
}

/// Takes in verdicts that another host tells.
pub fn hear_verdicts(site: &Site, verdicts: Vec<Verdict>) {
    take_verdicts(site, verdicts, PEER);
}

/// Takes in verdicts learnt from `source`.
pub fn take_verdicts(site: &Site, verdicts: Vec<Verdict>, source: &str) {
    let (now, wall) = (site.now(), clock::wall());
    let poison = &site.poison;
    for verdict in verdicts {
        let request = verdict.request;
        let admission = poison.quarantine.borrow_mut().admit(verdict.clone(), wall);
        let yielded = match admission {
            Admission::New(yielded) => yielded,
            Admission::Over if source == records::STORE => {
                records::drop_record(site, request);
                continue;
            }
            Admission::Over | Admission::Known => continue,
        };
        {
            let mut suspects = poison.suspects.borrow_mut();
            suspects.clear(request);
            suspects.explain(&verdict.upstreams);
        }
        site.counters.count("request.quarantined");
        tracing::warn!(target: "poison", fingerprint = %request, upstreams = ?verdict.upstreams,
            strikes = verdict.strikes, age_ms = wall.saturating_sub(verdict.at).as_millis() as u64,
            left_s = verdict.until().saturating_sub(wall).as_secs(), source,
            "request quarantined: upstreams crashed under it");
        if [OWN, PEER].contains(&source) {
            poison.told.borrow_mut().push((verdict.clone(), now));
        }
        if let Some(yielded) = yielded {
            tracing::warn!(target: "poison", fingerprint = %yielded, "quarantine full, request let go");
            records::drop_record(site, yielded);
        }
        if source != records::STORE {
            records::keep_record(site, verdict);
        }
    }
}

/// For how long `request`, asked for by the attempt `id`, is kept from
/// upstreams.
pub fn refuses(site: &Site, request: Fingerprint, id: &str) -> Option<Duration> {
    let left = site.poison.quarantine.borrow().refuses(request, clock::wall())?;
    site.counters.count("poison.refused");
    tracing::info!(target: "poison", id, fingerprint = %request, left_s = left.as_secs(),
        "kept from upstreams");
    Some(left)
}
