//! Queries and keeps the accounts of outstanding large prompts of coordinated services.
//!
//! Two hosts of each such service keep its accounts; every host reports its large prompts to both and
//! queries one of them before it chooses an engine. The rules are in [`marjoram_core::backlog`]. Nothing
//! depends on an answer: without one, the host chooses by its own requests and the others' heartbeats.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::backlog::{Change, ClaimChange};
use marjoram_core::quota::ledger::Sender;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::Upstream;
use super::hosts::Message;
use super::quota::{coordinators, sender};
use super::site::{Accounts, Site};

/// Time for an answer from one coordinator: ten times a round trip within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(15);

/// Time between checks for claims that have ended without a report.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Seed of the hash that selects a service's coordinators, so that they differ from those of quotas.
const GROUP_SEED: u64 = 2;

/// The coordinators of the accounts of `service`; `None` stands for this host.
fn service_coordinators(site: &Site, service: &str) -> Vec<Option<SocketAddr>> {
    coordinators(site, xxh3_64_with_seed(service.as_bytes(), GROUP_SEED))
}

/// A query in progress; forgotten when dropped, also if the caller of the request leaves.
struct Query<'a> {
    site: &'a Site,
    id: u64,
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        self.site.backlog.end(self.id);
    }
}

/// Queries the accounts of the engines with the keys `upstreams`; empty if no coordinator answers in
/// time.
pub async fn query(site: &Site, service: &str, upstreams: Vec<u64>) -> Accounts {
    if upstreams.is_empty() || !site.backlog.is_available(site.now()) {
        return Accounts::default();
    }
    let mut coordinators = service_coordinators(site, service);
    if site.backlog.prefers_second(site.now()) {
        coordinators.reverse();
    }
    let query = Query { site, id: rand::random() };
    let mut answer = site.backlog.begin(query.id);
    for (index, coordinator) in coordinators.into_iter().enumerate() {
        let Some(addr) = coordinator else { return accounts(site, &upstreams) };
        let message = Message::BacklogQuery { id: query.id, upstreams: upstreams.clone() };
        site.peers.send_to(addr, &message);
        if let Ok(Ok(accounts)) = tokio::time::timeout(ANSWER_TIMEOUT, &mut answer).await {
            site.backlog.record_answer(index == 0, site.now());
            return accounts;
        }
    }
    site.backlog.record_silence(site.now());
    site.counters.count("backlog.unanswered");
    Accounts::default()
}

/// The accounts of the engines with the keys `upstreams`, as kept by this host.
fn accounts(site: &Site, upstreams: &[u64]) -> Accounts {
    let (ledger, now) = (site.backlog.ledger.borrow(), site.now());
    upstreams.iter().map(|key| (*key, ledger.account(*key, fill(site, *key), now))).collect()
}

/// Share of the slots that are taken at the engine with the key `upstream`.
fn fill(site: &Site, upstream: u64) -> f64 {
    site.fleet
        .by_key(upstream)
        .map_or(0.0, |u| f64::from(u.load().running) / f64::from(u.entry.borrow().slots.max(1)))
}

/// Answers a query of the host at `from`.
pub fn handle_query(site: &Site, id: u64, upstreams: &[u64], from: SocketAddr) {
    let accounts = accounts(site, upstreams).into_iter().collect();
    site.peers.send_to(from, &Message::BacklogAnswer { id, accounts });
}

/// Applies changes of another host's claims.
pub fn handle_claims(site: &Site, sender: Sender, changes: &[ClaimChange]) {
    let fill = |key| fill(site, key);
    site.backlog.ledger.borrow_mut().apply(sender, changes, fill, site.now());
}

/// A large prompt of this host at an engine. It is reported as ended when dropped.
pub struct Claim {
    site: Rc<Site>,
    service: String,
    request: u64,
    upstream: u64,
}

impl Claim {
    /// Reports a prompt that is about to be sent: the engine has to prefill `tokens`, and it occupies
    /// `memory` tokens there.
    pub fn new(
        site: &Rc<Site>,
        service: &str,
        upstream: &Upstream,
        tokens: u64,
        memory: u64,
    ) -> Self {
        let (site, service) = (site.clone(), service.to_string());
        let claim = Self { site, service, request: rand::random(), upstream: upstream.key };
        claim.report(Change::Sent { tokens, memory });
        claim
    }

    /// Reports that the prompt has been prefilled.
    pub fn read(&self) {
        self.report(Change::Read);
    }

    fn report(&self, change: Change) {
        let changes = vec![ClaimChange { request: self.request, upstream: self.upstream, change }];
        for coordinator in service_coordinators(&self.site, &self.service) {
            match coordinator {
                Some(addr) => {
                    let message = Message::Claims(sender(&self.site), changes.clone());
                    self.site.peers.send_to(addr, &message);
                }
                None => handle_claims(&self.site, sender(&self.site), &changes),
            }
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.report(Change::Ended);
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
