//! Accounts of the large prompts that all hosts have outstanding at each engine.
//!
//! Load pattern: a hundred large prompts a second from 75 hosts, each of which takes an engine 0.3
//! s to prefill. Heartbeats take 0.5 s to reach all hosts, so two in five prompts were sent to an
//! engine with more than a second of prefill ahead of them, while half of the engines were idle.
//!
//! Hosts report each large prompt as a claim to the hosts that keep the accounts, and query these
//! before they choose an engine. Claims are lost with their datagrams, so none counts for longer
//! than a prompt can reasonably take.

mod throughput;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::quota::ledger::Sender;
use throughput::Throughput;

/// Accounts in one query: the engines sampled for a prompt, and those that have its parts cached.
pub const MAX_QUERIED: usize = 12;

/// How long a prompt counts as not yet prefilled. After that its caller's target has passed several
/// times over, so the report of its prefill was most likely lost.
const MAX_UNREAD: Duration = Duration::from_secs(4);

/// How long a claim lasts at most: longer than the time-outs of routes.
const MAX_CLAIM: Duration = Duration::from_secs(12);

/// What is known of an engine's outstanding large prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Prompt tokens that have not been prefilled yet.
    pub unread: u64,
    /// Number of requests that have not ended.
    pub requests: u32,
    /// Tokens that these occupy in the engine's memory.
    pub memory: u64,
    /// Measured prefill throughput, in tokens a millisecond.
    pub throughput: Option<f32>,
}

/// A change of one of a host's claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A prompt was sent.
    Sent {
        /// Tokens that the engine has to prefill.
        tokens: u64,
        /// Tokens of the engine's memory that the request occupies.
        memory: u64,
    },
    /// The prompt has been prefilled.
    Read,
    /// The request has ended.
    Ended,
}

/// The change of the claim `request` at the engine `upstream`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimChange {
    /// Random number that identifies the claim among those of its host.
    pub request: u64,
    /// Key of the engine's incarnation.
    pub upstream: u64,
    /// What has changed.
    pub change: Change,
}

#[derive(Debug, Clone, Copy)]
struct Claim {
    host: u64,
    request: u64,
    unread: u64,
    memory: u64,
    sent: Duration,
}

#[derive(Debug, Default)]
struct Engine {
    claims: Vec<Claim>,
    /// When it last completed a prefill.
    last_read: Option<Duration>,
    throughput: Throughput,
}

impl Engine {
    fn account(&self, fill: f64, now: Duration) -> Account {
        let throughput = self.throughput.get(fill);
        let younger = |max_age| move |c: &&Claim| now.saturating_sub(c.sent) < max_age;
        let claims = || self.claims.iter().filter(younger(MAX_CLAIM));
        let unread: u64 = claims().filter(younger(MAX_UNREAD)).map(|c| c.unread).sum();
        Account {
            unread: unread.saturating_sub(self.progress(throughput, now)),
            requests: claims().count() as u32,
            memory: claims().map(|c| c.memory).sum(),
            throughput: throughput.map(|t| t as f32),
        }
    }

    /// Tokens of the prompt at the head of its queue that it has probably prefilled by now.
    fn progress(&self, throughput: Option<f64>, now: Duration) -> u64 {
        let counted = |c: &&Claim| c.unread > 0 && now.saturating_sub(c.sent) < MAX_UNREAD;
        let first = self.claims.iter().filter(counted).min_by_key(|c| c.sent);
        match (first, throughput) {
            (Some(claim), Some(throughput)) => {
                let begun = self.last_read.map_or(claim.sent, |at| at.max(claim.sent));
                let ms = now.saturating_sub(begun).as_secs_f64() * 1e3;
                claim.unread.min((ms * throughput) as u64)
            }
            _ => 0,
        }
    }

    fn read(&mut self, index: usize, fill: f64, now: Duration) {
        let claim = &mut self.claims[index];
        let tokens = std::mem::take(&mut claim.unread);
        let begun = self.last_read.map_or(claim.sent, |at| at.max(claim.sent));
        self.throughput.record(tokens, now.saturating_sub(begun), fill);
        if tokens > 0 {
            self.last_read = Some(now);
        }
    }
}

/// The accounts that one host keeps.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::backlog::{Change, ClaimChange, Ledger};
/// use marjoram_core::quota::ledger::Sender;
/// let (mut ledger, host) = (Ledger::new(), Sender { host: 1, life: 1 });
/// let claim = |change| ClaimChange { request: 7, upstream: 3, change };
/// let ms = Duration::from_millis;
/// let sent = claim(Change::Sent { tokens: 17_000, memory: 17_020 });
/// ledger.apply(host, &[sent], |_| 0.0, ms(0));
/// assert_eq!(ledger.account(3, 0.0, ms(10)).unread, 17_000);
/// ledger.apply(host, &[claim(Change::Read)], |_| 0.0, ms(340));
/// let account = ledger.account(3, 0.0, ms(350));
/// assert_eq!((account.unread, account.requests, account.throughput), (0, 1, Some(50.0)));
/// ```
#[derive(Debug, Default)]
pub struct Ledger {
    engines: HashMap<u64, Engine>,
    /// The incarnation of each host that has reported.
    lives: HashMap<u64, u64>,
}

impl Ledger {
    /// Creates a ledger without accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies `changes` that `sender` reports at `now`. `fill` is the share of an engine's slots
    /// that are taken. The claims of an earlier incarnation of the sender end.
    pub fn apply(
        &mut self,
        sender: Sender,
        changes: &[ClaimChange],
        fill: impl Fn(u64) -> f64,
        now: Duration,
    ) {
        if self.lives.insert(sender.host, sender.life).is_some_and(|life| life != sender.life) {
            self.end_claims(|host| host == sender.host);
        }
        for change in changes {
            self.apply_change(sender.host, change, fill(change.upstream), now);
        }
    }

    fn apply_change(&mut self, host: u64, change: &ClaimChange, fill: f64, now: Duration) {
        let request = change.request;
        let engine = match change.change {
            Change::Sent { .. } => self.engines.entry(change.upstream).or_default(),
            Change::Read | Change::Ended => match self.engines.get_mut(&change.upstream) {
                Some(engine) => engine,
                None => return,
            },
        };
        let known = engine.claims.iter().position(|c| c.host == host && c.request == request);
        match (change.change, known) {
            (Change::Sent { tokens, memory }, None) => {
                engine.claims.push(Claim { host, request, unread: tokens, memory, sent: now });
            }
            (Change::Read, Some(index)) => engine.read(index, fill, now),
            (Change::Ended, Some(index)) => drop(engine.claims.swap_remove(index)),
            (Change::Sent { .. }, Some(_)) | (Change::Read | Change::Ended, None) => {}
        }
    }

    /// The account of the engine `upstream` at `now`; `fill` is the share of its slots that are
    /// taken.
    pub fn account(&self, upstream: u64, fill: f64, now: Duration) -> Account {
        self.engines.get(&upstream).map_or_else(Account::default, |e| e.account(fill, now))
    }

    /// Ends claims that are too old, those of hosts for which `is_present` is false, and the
    /// accounts of engines for which `is_listed` is false.
    pub fn expire(
        &mut self,
        is_present: impl Fn(u64) -> bool,
        is_listed: impl Fn(u64) -> bool,
        now: Duration,
    ) {
        self.engines.retain(|key, _| is_listed(*key));
        self.lives.retain(|host, _| is_present(*host));
        self.end_claims(|host| !is_present(host));
        for engine in self.engines.values_mut() {
            engine.claims.retain(|c| now.saturating_sub(c.sent) < MAX_CLAIM);
        }
    }

    fn end_claims(&mut self, of_host: impl Fn(u64) -> bool) {
        self.engines.values_mut().for_each(|e| e.claims.retain(|c| !of_host(c.host)));
    }

    /// Number of claims.
    pub fn claims(&self) -> usize {
        self.engines.values().map(|e| e.claims.len()).sum()
    }
}
