//! What hosts report to each other, and grant.

use std::time::Duration;

use marjoram_core::brittle::MaxRejections;
use marjoram_core::quota::ledger::Sender;
use marjoram_core::slot_leases::coordinator::{Coordinator, UpstreamSlots};
use marjoram_core::slot_leases::{SlotGrant, SlotReport, SlotUse};

use super::{DISTURBED, Disturbance, Event, PATIENCE, Replay, Upstream};

/// Shortest silence after which a host is taken to be gone.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_225);

/// Step between the places of hosts in the order of coordinators; prime to all numbers of hosts.
const ORDER: usize = 13;

impl Replay {
    /// Sends what the host may send, and reports if that is due.
    pub(super) fn act(&mut self, host: usize) {
        let now = self.now;
        if now < self.hosts[host].away_until {
            return;
        }
        self.hosts[host].waiting.retain(|since| now < *since + PATIENCE);
        while !self.hosts[host].waiting.is_empty() && self.send_one(host) {}
        if now < self.hosts[host].aware {
            return;
        }
        let mut holder = std::mem::take(&mut self.hosts[host].holder);
        let to = holder.coordinator(|| self.ranked(host), now);
        self.hosts[host].holder = holder;
        let Some(to) = to else { return };
        let hosts = self.hosts.len() as u16;
        let this = &mut self.hosts[host];
        let demand = this.running.iter().sum::<u32>() as usize + this.waiting.len();
        let wanted = this.holder.wanted(demand, now);
        if now < this.holder.next_report(wanted, now) {
            return;
        }
        this.holder.record_report(wanted, now);
        let uses = (0..self.upstreams.len()).filter_map(|n| {
            let (running, rejected) = (this.running[n] as u16, this.holder.rejected(n as u64));
            (running > 0 || rejected > 0).then_some(SlotUse {
                upstream: n as u64,
                running,
                rejected,
            })
        });
        let report = SlotReport {
            service: 1,
            max: MaxRejections(self.max),
            sent_us: now.as_micros() as u64,
            applied: this.holder.applied(),
            wanted: wanted as u16,
            hosts,
            work_ms: self.service.work.as_millis() as u32,
            uses: uses.collect(),
            unusable: (0..self.upstreams.len())
                .filter(|n| now < self.upstreams[*n].down_until)
                .map(|n| n as u64)
                .collect(),
        };
        let sender = Sender { host: host as u64, life: self.hosts[host].life };
        self.send(host, to as usize, Event::Report { to: to as usize, sender, report });
    }

    /// The hosts that may coordinate, as `host` sees them: the first ones of a fixed order that it
    /// has heard of lately. The first of all is disturbed.
    fn ranked(&self, host: usize) -> Vec<u64> {
        let count = self.hosts.len();
        let silence = Duration::from_millis(count.div_ceil(16) as u64 * 300).max(HEARTBEAT_TIMEOUT);
        let is_silent = self.is_disturbed() && self.now >= DISTURBED + silence;
        let is_heard = |other: usize| match self.disturbance {
            Disturbance::Silent(share) if is_silent => !self.is_among(other, share),
            Disturbance::Cut(share) if is_silent => {
                self.is_among(host, share) == self.is_among(other, share)
            }
            _ => true,
        };
        let order = (0..count).map(|n| n * ORDER % count);
        order.filter(|other| is_heard(*other)).take(5).map(|n| n as u64).collect()
    }

    fn upstream_slots(&self) -> Vec<UpstreamSlots> {
        let slots = |(n, upstream): (usize, &Upstream)| UpstreamSlots {
            upstream: n as u64,
            slots: self.service.slots,
            is_open: self.now >= upstream.down_until,
        };
        self.upstreams.iter().enumerate().map(slots).collect()
    }

    /// The host `to` gets a report as a coordinator.
    pub(super) fn coordinate(&mut self, to: usize, sender: Sender, report: &SlotReport) {
        let now = self.now;
        let term = to as u64 * 1_000 + self.hosts[to].life;
        let begun = &mut self.hosts[to].coordinator;
        let is_new = begun.is_none();
        let coordinator = begun.get_or_insert_with(|| Coordinator::new(1, term, report.max, now));
        let grants = coordinator.report(sender, report, now);
        if is_new {
            self.advance(to);
        }
        self.send_grants(to, grants);
    }

    pub(super) fn advance(&mut self, host: usize) {
        let (now, this) = (self.now, &self.hosts[host]);
        if now < this.away_until || this.coordinator.is_none() {
            return;
        }
        let upstreams = self.upstream_slots();
        let Some(coordinator) = &mut self.hosts[host].coordinator else { return };
        coordinator.set_upstreams(&upstreams, now);
        let grants = coordinator.advance(now);
        self.send_grants(host, grants);
    }

    fn send_grants(&mut self, from: usize, grants: Vec<(u64, SlotGrant)>) {
        for (to, grant) in grants {
            let to = to as usize;
            self.send(from, to, Event::Grant { to, from: from as u64, grant });
        }
    }
}
