//! Queries and keeps the accounts of outstanding large prompts of coordinated services.
//!
//! Two hosts of each such service keep its accounts; every host reports its large prompts to both
//! and queries one of them before it chooses an engine. The rules are in
//! [`marjoram_core::backlog`]. Nothing depends on an answer: without one, the host chooses by its
//! own requests and the others' heartbeats.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::backlog::{Change, ClaimChange};
use marjoram_core::quota::ledger::Sender;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::Upstream;
use super::hosts::{BacklogAnswer, BacklogQuery, ClaimReport, Message};
use super::quota::{coordinators, sender};
use super::site::Site;

/// Time for an answer from one coordinator: ten times a round trip within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(15);

/// Time between checks for claims that have ended without a report.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Seed of the hash that selects a service's coordinators, so that they differ from those of
/// quotas.
const GROUP_SEED: u64 = 2;

/// The coordinators of the accounts of `service`; `None` stands for this host.
fn service_coordinators(site: &Site, service: &str) -> Vec<Option<SocketAddr>> {
    coordinators(site, xxh3_64_with_seed(service.as_bytes(), GROUP_SEED))
}

/// A query in progress; forgotten when dropped, also if the caller of the request leaves.
struct PendingQuery<'a> {
    site: &'a Site,
    id: u64,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.site.backlog.end(self.id);
    }
}

/// Asks the coordinators of `service`; `None` if none answers in time.
pub async fn query(site: &Site, service: &str, query: BacklogQuery) -> Option<BacklogAnswer> {
    if !site.backlog.is_available(site.now()) {
        return None;
    }
    let mut coordinators = service_coordinators(site, service);
    if coordinators.contains(&None) {
        return Some(answer_query(site, &query));
    }
    if site.backlog.prefers_second(site.now()) {
        coordinators.reverse();
    }
    let pending = PendingQuery { site, id: rand::random() };
    let mut answer = site.backlog.begin(pending.id);
    for (index, addr) in coordinators.into_iter().flatten().enumerate() {
        let message = Message::BacklogQuery { id: pending.id, query: query.clone() };
        site.peers.send_to(addr, &message);
        if let Ok(Ok(answer)) = tokio::time::timeout(ANSWER_TIMEOUT, &mut answer).await {
            site.backlog.record_answer(index == 0, site.now());
            return Some(answer);
        }
    }
    site.backlog.record_silence(site.now());
    site.counters.count("backlog.unanswered");
    None
}

/// The answer to `query` by the accounts kept here.
fn answer_query(site: &Site, query: &BacklogQuery) -> BacklogAnswer {
    let (ledger, directory) = (site.backlog.ledger.borrow(), site.backlog.parts.borrow());
    let now = site.now();
    let engines: Vec<Vec<u64>> =
        query.parts.iter().map(|part| directory.engines(*part, now)).collect();
    let mut keys = query.upstreams.clone();
    keys.extend(engines.iter().flatten());
    keys.sort_unstable();
    keys.dedup();
    let account = |key: u64| (key, ledger.account(key, fill(site, key), now));
    BacklogAnswer { accounts: keys.into_iter().map(account).collect(), engines }
}

/// Share of the slots that are taken at the engine with the key `upstream`.
fn fill(site: &Site, upstream: u64) -> f64 {
    site.fleet
        .by_key(upstream)
        .map_or(0.0, |u| f64::from(u.load().running) / f64::from(u.entry.borrow().slots.max(1)))
}

/// Answers a query of the host at `from`.
pub fn handle_query(site: &Site, id: u64, query: &BacklogQuery, from: SocketAddr) {
    let answer = answer_query(site, query);
    site.peers.send_to(from, &Message::BacklogAnswer { id, answer });
}

/// Applies a change of a claim of the host `sender`.
pub fn handle_claim(site: &Site, sender: Sender, report: &ClaimReport) {
    let (change, now) = (report.change, site.now());
    site.backlog.ledger.borrow_mut().apply(sender, &[change], |key| fill(site, key), now);
    site.backlog.parts.borrow_mut().record(&report.parts, change.upstream, now);
}

/// A large prompt of this host at an engine. It is reported as ended when dropped.
pub struct Claim {
    site: Rc<Site>,
    service: String,
    request: u64,
    upstream: u64,
}

impl Claim {
    /// Reports a prompt that is about to be sent: the engine has to prefill `tokens`, and it
    /// occupies `memory` tokens there.
    pub fn new(
        site: &Rc<Site>,
        service: &str,
        upstream: &Upstream,
        tokens: u64,
        memory: u64,
    ) -> Self {
        let (site, service) = (site.clone(), service.to_string());
        let claim = Self { site, service, request: rand::random(), upstream: upstream.key };
        claim.report(Change::Sent { tokens, memory }, Vec::new());
        claim
    }

    /// Reports that the prompt has been prefilled, so that its shared `parts` are cached.
    pub fn read(&self, parts: Vec<u64>) {
        self.report(Change::Read, parts);
    }

    fn report(&self, change: Change, parts: Vec<u64>) {
        let change = ClaimChange { request: self.request, upstream: self.upstream, change };
        let report = ClaimReport { change, parts };
        for coordinator in service_coordinators(&self.site, &self.service) {
            match coordinator {
                Some(addr) => {
                    let message = Message::Claim(sender(&self.site), report.clone());
                    self.site.peers.send_to(addr, &message);
                }
                None => handle_claim(&self.site, sender(&self.site), &report),
            }
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.report(Change::Ended, Vec::new());
    }
}

/// Ends claims that were not reported as ended, until the process ends.
pub async fn run(site: Rc<Site>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let mut present = site.peers.present_names();
        present.insert(sender(&site).host);
        site.backlog.ledger.borrow_mut().expire(
            |host| present.contains(&host),
            |key| site.fleet.by_key(key).is_some(),
            site.now(),
        );
    }
}

/// The accounts kept here that have claims, for the state dump.
pub fn state(site: &Site) -> Vec<serde_json::Value> {
    let (ledger, now) = (site.backlog.ledger.borrow(), site.now());
    let line = |upstream: Rc<Upstream>| {
        let account = ledger.account(upstream.key, fill(site, upstream.key), now);
        (account.requests > 0 || account.throughput.is_some()).then(
            || serde_json::json!({ "upstream": upstream.life.to_string(), "account": account }),
        )
    };
    site.fleet.all().into_iter().filter_map(line).collect()
}
