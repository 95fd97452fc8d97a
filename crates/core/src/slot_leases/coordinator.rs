//! Grants the slots of a brittle service's upstreams to hosts.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use super::account::{Account, Holding, VOTE_TTL};
use super::quorum::{self, HostCount};
use super::slots::Slots;
use super::{HostKey, LEASE_TTL, SlotGrant, SlotReport, UpstreamKey};
use crate::brittle::MaxRejections;
use crate::quota::ledger::Sender;

/// Time after a host's last report from which on its leases have ended also if that report was
/// delayed.
const EXPIRY: Duration = Duration::from_millis(700);

/// How long a host keeps a slot that others wait for.
const TENURE: Duration = Duration::from_millis(250);

/// Requests that no host reports must have ended after this multiple of the time that requests
/// run, within bounds.
const DRAIN_FACTOR: u32 = 4;
const MIN_DRAIN: Duration = Duration::from_secs(1);
const MAX_DRAIN: Duration = Duration::from_secs(5);

/// An upstream of the service, as the coordinator sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamSlots {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether requests may be sent there.
    pub is_open: bool,
}

/// The accounts of one service, kept by its coordinator.
#[derive(Debug, Clone)]
pub struct Coordinator {
    service: u64,
    term: u64,
    max: MaxRejections,
    started: Duration,
    upstreams: HashMap<UpstreamKey, Slots>,
    hosts: HashMap<HostKey, Account>,
    host_count: HostCount,
    /// Hosts known, as of the last report.
    known: usize,
    /// Hosts that report to this coordinator, as of the last update.
    votes: usize,
    is_contended: bool,
}

impl Coordinator {
    /// Begins the term `term`, unique among all coordinators, at `now`.
    pub fn new(service: u64, term: u64, max: MaxRejections, now: Duration) -> Self {
        Self {
            service,
            term,
            max,
            started: now,
            upstreams: HashMap::new(),
            hosts: HashMap::new(),
            host_count: HostCount::default(),
            known: 0,
            votes: 0,
            is_contended: false,
        }
    }

    /// Updates the upstreams of the service. What ran at those that are new to this coordinator
    /// is not known.
    pub fn set_upstreams(&mut self, upstreams: &[UpstreamSlots], now: Duration) {
        self.upstreams.retain(|key, _| upstreams.iter().any(|u| u.upstream == *key));
        let first_seen = self.started + LEASE_TTL + self.drain();
        for upstream in upstreams {
            let slots = self.upstreams.entry(upstream.upstream).or_insert_with(|| {
                let mut slots = Slots::default();
                slots.add_unreported(upstream.slots, first_seen.max(now));
                let held = self.hosts.values().filter_map(|h| h.holdings.get(&upstream.upstream));
                slots.used = held.map(Holding::used).sum();
                slots
            });
            (slots.total, slots.is_open) = (upstream.slots, upstream.is_open);
        }
    }

    /// Applies the report that `sender` sent. Returns the grants to send.
    pub fn report(
        &mut self,
        sender: Sender,
        report: &SlotReport,
        now: Duration,
    ) -> Vec<(HostKey, SlotGrant)> {
        self.max = report.max;
        self.known = self.host_count.record(usize::from(report.hosts).max(self.hosts.len()), now);
        if self.hosts.get(&sender.host).is_some_and(|h| h.life != sender.life) {
            self.remove_host(sender.host, now);
        }
        let account = self.hosts.entry(sender.host).or_insert_with(|| Account {
            life: sender.life,
            since: now,
            tenure: now,
            // Former rejections were reported to the former coordinator.
            holdings: report.uses.iter().map(Holding::joining).collect(),
            ..Account::default()
        });
        if report.sent_us < account.sent_us {
            return Vec::new();
        }
        if now >= account.last_report + VOTE_TTL {
            account.since = now;
        }
        (account.last_report, account.sent_us) = (now, report.sent_us);
        account.work = Duration::from_millis(u64::from(report.work_ms));
        account.unusable.clone_from(&report.unusable);
        if account.leased() == 0 && account.wanted == 0 {
            account.tenure = now;
        }
        account.wanted = usize::from(report.wanted);
        let is_applied = report.applied == (self.term, account.number);
        self.apply_uses(sender.host, report, is_applied, now);
        self.trim(sender.host);
        self.grant_free(now);
        self.grants(Some(sender.host))
    }

    /// Ends the leases of hosts that are silent and grants what has become free. Returns the
    /// grants to send.
    pub fn advance(&mut self, now: Duration) -> Vec<(HostKey, SlotGrant)> {
        let silent = self.hosts.iter().filter(|(_, h)| now >= h.last_report + EXPIRY);
        let silent: Vec<HostKey> = silent.map(|(host, _)| *host).collect();
        silent.into_iter().for_each(|host| self.remove_host(host, now));
        let max = self.max;
        self.upstreams.values_mut().for_each(|slots| slots.advance(max, now));
        self.votes = self.hosts.values().filter(|h| h.is_vote(now)).count();
        self.enforce_quorum();
        self.grant_free(now);
        self.rebalance(now);
        self.grants(None)
    }

    /// When the last report was received, or the term begun.
    pub fn last_report(&self) -> Duration {
        self.hosts.values().map(|h| h.last_report).max().unwrap_or(self.started)
    }

    /// Hosts that report to this coordinator, and all known ones.
    pub fn votes(&self) -> (usize, usize) {
        (self.votes, self.known.max(self.hosts.len()))
    }

    /// Time after which requests that no host reports must have ended.
    fn drain(&self) -> Duration {
        let work = self.hosts.values().map(|h| h.work).max().unwrap_or_default();
        (work * DRAIN_FACTOR).clamp(MIN_DRAIN, MAX_DRAIN)
    }

    /// Changes a holding of `host`, and what is used of the upstream.
    fn change(&mut self, host: HostKey, upstream: UpstreamKey, act: impl FnOnce(&mut Holding)) {
        let Some(account) = self.hosts.get_mut(&host) else { return };
        let holding = account.holdings.entry(upstream).or_default();
        let (used, leased) = (holding.used(), holding.leased);
        act(holding);
        account.is_changed |= holding.leased != leased;
        if let Some(slots) = self.upstreams.get_mut(&upstream) {
            slots.used = (slots.used + holding.used()).saturating_sub(used);
        }
    }

    /// Forgets `host`, whose requests may go on.
    fn remove_host(&mut self, host: HostKey, now: Duration) {
        let until = now + self.drain();
        let Some(account) = self.hosts.remove(&host) else { return };
        for (upstream, holding) in account.holdings {
            if let Some(slots) = self.upstreams.get_mut(&upstream) {
                slots.used = slots.used.saturating_sub(holding.used());
                slots.add_unreported(holding.used(), until);
            }
        }
    }

    fn apply_uses(&mut self, host: HostKey, report: &SlotReport, is_applied: bool, now: Duration) {
        let Some(account) = self.hosts.get(&host) else { return };
        let mut keys: Vec<UpstreamKey> = account.holdings.keys().copied().collect();
        keys.extend(report.uses.iter().map(|u| u.upstream));
        keys.sort_unstable();
        keys.dedup();
        let max = self.max;
        for key in keys {
            let reported = report.uses.iter().find(|u| u.upstream == key);
            let mut new_rejections = 0;
            self.change(host, key, |holding| {
                holding.running = reported.map_or(0, |u| u.running);
                if let Some(reported) = reported {
                    new_rejections = reported.rejected.saturating_sub(holding.rejected);
                    holding.rejected = reported.rejected;
                }
                holding.leased -= holding.leased.min(new_rejections as u16);
                if is_applied {
                    holding.bound = holding.leased;
                }
            });
            if let Some(slots) = self.upstreams.get_mut(&key) {
                (0..new_rejections).for_each(|_| slots.add_rejected(max, now));
            }
        }
        if let Some(account) = self.hosts.get_mut(&host) {
            let is_used = |h: &Holding| h.used() > 0 || h.leased > 0 || h.rejected > 0;
            account.holdings.retain(|_, holding| is_used(holding));
        }
    }

    /// Takes back what `host` does not need or cannot use.
    fn trim(&mut self, host: HostKey) {
        let Some(account) = self.hosts.get(&host) else { return };
        let is_usable = |key: &UpstreamKey| {
            let is_open = self.upstreams.get(key).is_some_and(|slots| slots.is_open);
            is_open && !account.unusable.contains(key)
        };
        let unusable: Vec<UpstreamKey> =
            account.holdings.keys().filter(|key| !is_usable(key)).copied().collect();
        unusable.into_iter().for_each(|key| self.change(host, key, |h| h.leased = 0));
        let excess = |account: &Account| account.leased().saturating_sub(account.wanted);
        for _ in 0..self.hosts.get(&host).map_or(0, excess) {
            self.take_one(host);
        }
    }

    /// Takes back one slot of `host`, an unused one if there is one.
    fn take_one(&mut self, host: HostKey) {
        let Some(account) = self.hosts.get(&host) else { return };
        let leased = account.holdings.iter().filter(|(_, h)| h.leased > 0);
        let most_unused = leased.max_by_key(|(_, h)| i32::from(h.leased) - i32::from(h.running));
        if let Some((key, _)) = most_unused {
            let key = *key;
            self.change(host, key, |holding| holding.leased -= 1);
        }
    }

    /// Slots of an upstream that may be granted now.
    fn free(&self, slots: &Slots) -> u32 {
        let (votes, known) = self.votes();
        slots.free(quorum::grantable(slots.total, votes, known))
    }

    /// Hosts that need more slots: how many each holds, the time that its requests have waited
    /// together, and its key. Those that come first are first in turn.
    fn waiting(&self, now: Duration) -> Vec<(usize, Reverse<Duration>, HostKey)> {
        let waiting = self.hosts.iter().filter_map(|(key, h)| {
            let leased = h.leased();
            let missing = h.wanted.checked_sub(leased).filter(|missing| *missing > 0)?;
            let waited = now.saturating_sub(h.tenure) * missing as u32;
            Some((leased, Reverse(waited), *key))
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_unstable();
        waiting
    }

    /// Grants free slots to the hosts that need them, one to each in turn.
    fn grant_free(&mut self, now: Duration) {
        let mut free: u32 = self.upstreams.values().map(|slots| self.free(slots)).sum();
        if free == 0 {
            return;
        }
        let mut waiting = self.waiting(now);
        while free > 0 && !waiting.is_empty() {
            let mut next = Vec::new();
            for (leased, waited, host) in waiting {
                let Some(upstream) = (free > 0).then(|| self.best_upstream(host)).flatten() else {
                    continue;
                };
                free -= 1;
                self.change(host, upstream, |holding| {
                    holding.leased += 1;
                    holding.bound = holding.bound.max(holding.leased);
                });
                let Some(account) = self.hosts.get_mut(&host) else { continue };
                if leased == 0 {
                    account.tenure = now;
                }
                if leased + 1 < account.wanted {
                    next.push((leased + 1, waited, host));
                }
            }
            waiting = next;
        }
    }

    /// Takes back what is leased beyond the slots that may be granted.
    fn enforce_quorum(&mut self) {
        let (votes, known) = self.votes();
        if quorum::has_quorum(votes, known) {
            return;
        }
        let upstreams = self.upstreams.iter();
        let grantable: Vec<(UpstreamKey, u32)> = upstreams
            .map(|(key, slots)| (*key, quorum::grantable(slots.total, votes, known)))
            .collect();
        for (upstream, grantable) in grantable {
            let held = self.hosts.iter().filter_map(|(host, h)| {
                let leased = h.holdings.get(&upstream)?.leased;
                (leased > 0).then_some((*host, leased))
            });
            let held: Vec<(HostKey, u16)> = held.collect();
            let mut excess =
                held.iter().map(|(_, n)| u32::from(*n)).sum::<u32>().saturating_sub(grantable);
            for (host, leased) in held {
                let taken = excess.min(u32::from(leased));
                excess -= taken;
                self.change(host, upstream, |holding| holding.leased -= taken as u16);
            }
        }
    }

    /// The upstream with the most free slots that `host` can use.
    fn best_upstream(&self, host: HostKey) -> Option<UpstreamKey> {
        let account = self.hosts.get(&host)?;
        let usable = self.upstreams.iter().filter(|(key, _)| !account.unusable.contains(key));
        let free = usable.map(|(key, slots)| (self.free(slots), *key));
        free.filter(|(free, _)| *free > 0).max().map(|(_, key)| key)
    }

    /// Takes slots back from hosts that have more than those that wait, or as many for long.
    fn rebalance(&mut self, now: Duration) {
        let waiting = self.waiting(now);
        self.is_contended = !waiting.is_empty();
        let returning: usize = self.hosts.values().map(Account::returning).sum();
        let holders = self.hosts.iter().map(|(key, h)| (h.leased(), Reverse(h.tenure), *key));
        let mut holders: BinaryHeap<_> = holders.filter(|(leased, ..)| *leased > 0).collect();
        for (leased, ..) in waiting.iter().skip(returning) {
            let Some((held, Reverse(since), holder)) = holders.pop() else { return };
            if held <= leased + 1 && (held <= *leased || now < since + TENURE) {
                return;
            }
            self.take_one(holder);
            if let Some(account) = self.hosts.get_mut(&holder) {
                account.tenure = now;
            }
            if held > 1 {
                holders.push((held - 1, Reverse(now), holder));
            }
        }
    }

    /// The grants to send: to `answered`, and to hosts whose leases have changed.
    fn grants(&mut self, answered: Option<HostKey>) -> Vec<(HostKey, SlotGrant)> {
        let (votes, known) = self.votes();
        let (service, term, is_contended) = (self.service, self.term, self.is_contended);
        let has_quorum = quorum::has_quorum(votes, known);
        let due = self.hosts.iter_mut().filter(|(k, h)| h.is_changed || Some(**k) == answered);
        let grant = |(host, account): (&HostKey, &mut Account)| {
            if std::mem::take(&mut account.is_changed) {
                account.number += 1;
            }
            let leased = account.holdings.iter().filter(|(_, h)| h.leased > 0);
            let grant = SlotGrant {
                service,
                term,
                number: account.number,
                answers_us: account.sent_us,
                leases: leased.map(|(key, h)| (*key, h.leased)).collect(),
                is_contended,
                has_quorum,
            };
            (*host, grant)
        };
        due.map(grant).collect()
    }
}
