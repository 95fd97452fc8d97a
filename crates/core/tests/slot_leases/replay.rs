//! Hosts, upstreams and the messages between hosts, played event by event.

#[path = "messages.rs"]
mod messages;
#[path = "scenario.rs"]
mod scenario;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use marjoram_core::brittle::WINDOW;
use marjoram_core::quota::ledger::Sender;
use marjoram_core::slot_leases::coordinator::Coordinator;
use marjoram_core::slot_leases::holder::Holder;
use marjoram_core::slot_leases::{SlotGrant, SlotReport};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
pub use scenario::{Disturbance, ENGINES, Outcome, PLAIN, Service, Traffic};

/// When upstreams state that they are brittle, when they let none wait any more, and the end.
const STATED: Duration = Duration::from_secs(1);
const ENFORCED: Duration = Duration::from_secs(5);
const END: Duration = Duration::from_secs(22);

/// When the disturbance begins and ends, and from when on it must be overcome.
const DISTURBED: Duration = Duration::from_secs(8);
const RESTORED: Duration = Duration::from_secs(13);
const RECOVERED: Duration = Duration::from_secs(18);

/// How long an upstream that has fallen over is down.
const DOWN: Duration = Duration::from_secs(4);

/// Requests wait at their host for this long.
const PATIENCE: Duration = Duration::from_millis(200);

/// Time between two updates of hosts and coordinators, and how long a host takes to restart.
const TICK: Duration = Duration::from_millis(20);
const RESTART: Duration = Duration::from_millis(400);

#[derive(Debug)]
enum Event {
    Arrival,
    Completion { host: usize, life: u64, upstream: usize },
    End { upstream: usize, life: u32 },
    Report { to: usize, sender: Sender, report: SlotReport },
    Grant { to: usize, from: u64, grant: SlotGrant },
    Tick,
}

#[derive(Default)]
struct Upstream {
    life: u32,
    /// Requests that run or wait.
    present: VecDeque<Duration>,
    rejections: VecDeque<Duration>,
    down_until: Duration,
    busy: Duration,
    busy_at_end: Duration,
    up: Duration,
    up_at_end: Duration,
    last: Duration,
}

#[derive(Default)]
struct Host {
    life: u64,
    aware: Duration,
    holder: Holder,
    waiting: VecDeque<Duration>,
    running: Vec<u32>,
    coordinator: Option<Coordinator>,
    away_until: Duration,
    sent: Traffic,
}

pub struct Replay {
    service: Service,
    /// Number of hosts, from the first on, that get requests.
    busy: usize,
    max: u32,
    rate: f64,
    disturbance: Disturbance,
    rng: ChaCha8Rng,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    upstreams: Vec<Upstream>,
    hosts: Vec<Host>,
    outcome: Outcome,
    arrived: u32,
    waits: Vec<Duration>,
}

impl Replay {
    pub fn new(
        hosts: usize,
        service: Service,
        max: u32,
        load: f64,
        disturbance: Disturbance,
        seed: u64,
    ) -> Self {
        let slots = service.upstreams as f64 * f64::from(service.slots);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let host = |_| Host {
            aware: STATED + Duration::from_millis(rng.random_range(0..300)),
            running: vec![0; service.upstreams],
            ..Host::default()
        };
        Self {
            hosts: (0..hosts).map(host).collect(),
            rate: load * slots / service.work.as_secs_f64(),
            service,
            busy: hosts,
            max,
            disturbance,
            rng,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            next_event: 0,
            upstreams: (0..service.upstreams).map(|_| Upstream::default()).collect(),
            outcome: Outcome::default(),
            arrived: 0,
            waits: Vec::new(),
        }
    }

    /// Gives all requests to the first `busy` hosts.
    pub fn with_busy(self, busy: usize) -> Self {
        Self { busy, ..self }
    }

    /// Has the last `count` hosts learn a second late that the upstreams are brittle.
    pub fn with_unaware(mut self, count: usize) -> Self {
        let late = STATED + Duration::from_secs(1);
        self.hosts.iter_mut().rev().take(count).for_each(|host| host.aware = late);
        self
    }

    pub fn run(mut self) -> Outcome {
        self.at(Duration::ZERO, Event::Arrival);
        self.at(Duration::ZERO, Event::Tick);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= END {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        (0..self.upstreams.len()).for_each(|n| self.measure(n));
        let sum = |of: fn(&Upstream) -> Duration| -> f64 {
            self.upstreams.iter().map(|u| of(u).as_secs_f64()).sum()
        };
        let slots = f64::from(self.service.slots);
        let (hosts, span) = (self.hosts.len() as u64, (END - STATED).as_secs());
        let total = |of: fn(&Traffic) -> u64| self.hosts.iter().map(|h| of(&h.sent)).sum::<u64>();
        let most = self.hosts.iter().map(|h| h.sent).max_by_key(|sent| sent.messages);
        let rate = |t: Traffic, by: u64| Traffic { messages: t.messages / by, bytes: t.bytes / by };
        let all = Traffic { messages: total(|t| t.messages), bytes: total(|t| t.bytes) };
        Outcome {
            sent: [rate(all, hosts * span), rate(most.unwrap_or_default(), span)],
            used: sum(|u| u.busy) / sum(|u| u.up) / slots,
            used_at_end: sum(|u| u.busy_at_end) / sum(|u| u.up_at_end) / slots,
            served: self.waits.len() as f64 / f64::from(self.arrived),
            wait: self.waits.iter().sum::<Duration>() / self.waits.len().max(1) as u32,
            ..self.outcome
        }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn is_disturbed(&self) -> bool {
        (DISTURBED..RESTORED).contains(&self.now)
    }

    /// Whether `host` is among the `share` that is disturbed.
    fn is_among(&self, host: usize, share: f64) -> bool {
        (host as f64) < share * self.hosts.len() as f64
    }

    /// Sends a message between hosts, which may be lost or cut off.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        let is_cut = match self.disturbance {
            Disturbance::Cut(share) if self.is_disturbed() => {
                self.is_among(from, share) != self.is_among(to, share)
            }
            _ => false,
        };
        if from != to {
            let config = bincode::config::standard();
            let bytes = match &event {
                Event::Report { report, .. } => bincode::serde::encode_to_vec(report, config),
                Event::Grant { grant, .. } => bincode::serde::encode_to_vec(grant, config),
                _ => unreachable!("not a message"),
            };
            let sent = &mut self.hosts[from].sent;
            sent.messages += 1;
            sent.bytes += bytes.expect("encodes").len() as u64;
        }
        if !is_cut && (from == to || !self.rng.random_bool(0.01)) {
            let delay = Duration::from_micros(self.rng.random_range(500..2_500));
            self.at(self.now + if from == to { Duration::ZERO } else { delay }, event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::End { upstream, life } => {
                self.measure(upstream);
                let upstream = &mut self.upstreams[upstream];
                if upstream.life == life {
                    let now = self.now;
                    upstream.present.retain(|end| *end > now);
                }
            }
            Event::Completion { host, life, upstream } => {
                if self.hosts[host].life == life {
                    self.hosts[host].running[upstream] -= 1;
                    self.act(host);
                }
            }
            Event::Report { to, .. } if self.now < self.hosts[to].away_until => {}
            Event::Report { to, sender, report } => self.coordinate(to, sender, &report),
            Event::Grant { to, .. } if self.now < self.hosts[to].away_until => {}
            Event::Grant { to, from, grant } => {
                self.hosts[to].holder.apply(from, grant, self.now);
                self.act(to);
            }
            Event::Tick => {
                self.disturb();
                (0..self.hosts.len()).for_each(|host| self.act(host));
                (0..self.hosts.len()).for_each(|host| self.advance(host));
                self.at(self.now + TICK, Event::Tick);
            }
        }
    }

    fn disturb(&mut self) {
        let begins = self.now >= DISTURBED && self.now < DISTURBED + TICK;
        for host in (0..self.hosts.len()).filter(|_| begins) {
            match self.disturbance {
                Disturbance::Restart(share) if self.is_among(host, share) => {
                    let running = vec![0; self.upstreams.len()];
                    let (now, host) = (self.now, &mut self.hosts[host]);
                    let away_until = now + RESTART;
                    *host = Host { life: host.life + 1, running, away_until, ..Host::default() };
                }
                Disturbance::Silent(share) if self.is_among(host, share) => {
                    self.hosts[host].away_until = RESTORED;
                }
                _ => {}
            }
        }
        if let Disturbance::LostUpstreams(share) = self.disturbance
            && begins
        {
            let lost = (self.upstreams.len() as f64 * share) as usize;
            for n in 0..lost {
                self.measure(n);
                self.upstreams[n].down_until = RESTORED;
                self.upstreams[n].present.clear();
                self.upstreams[n].life += 1;
            }
        }
    }

    fn arrive(&mut self) {
        let burst = match self.disturbance {
            Disturbance::Burst(factor) if self.is_disturbed() => factor,
            _ => 1.0,
        };
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / (self.rate * burst);
        self.at(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        self.arrived += u32::from(self.now >= ENFORCED);
        let host = self.rng.random_range(0..self.busy);
        self.hosts[host].waiting.push_back(self.now);
        self.act(host);
    }

    /// Sends one waiting request, if there is a slot for it.
    fn send_one(&mut self, host: usize) -> bool {
        let (now, count) = (self.now, self.upstreams.len());
        let first = self.rng.random_range(0..count);
        let this = &self.hosts[host];
        let is_allowed = |n: &usize| {
            now >= self.upstreams[*n].down_until
                && (now < this.aware || this.holder.is_allowed(*n as u64, this.running[*n], now))
        };
        let chosen = (first..first + count).map(|n| n % count).find(is_allowed);
        let Some(n) = chosen else { return false };
        self.measure(n);
        let life = self.hosts[host].life;
        let slow = match self.disturbance {
            Disturbance::Slow(factor) if self.is_disturbed() => factor,
            _ => 1.0,
        };
        let work = self.service.work.mul_f64(slow * self.rng.random_range(0.5..1.5));
        let queue = if now < ENFORCED { self.service.queue } else { 0 };
        let (slots, upstream) = (self.service.slots as usize, &mut self.upstreams[n]);
        if upstream.present.len() >= slots + queue {
            self.reject(host, n);
            return true;
        }
        let mut ends: BinaryHeap<Reverse<Duration>> =
            upstream.present.iter().map(|end| Reverse(*end)).collect();
        let mut begin = now;
        while ends.len() >= slots {
            begin = ends.pop().map_or(now, |Reverse(end)| end);
        }
        let end = begin + work;
        upstream.present.push_back(end);
        let upstream_life = upstream.life;
        self.at(end, Event::End { upstream: n, life: upstream_life });
        self.at(end + Duration::from_millis(1), Event::Completion { host, life, upstream: n });
        let this = &mut self.hosts[host];
        this.running[n] += 1;
        if let Some(since) = this.waiting.pop_front().filter(|_| now >= ENFORCED) {
            self.waits.push(now - since);
        }
        true
    }

    fn reject(&mut self, host: usize, n: usize) {
        let (now, max) = (self.now, self.max as usize);
        self.hosts[host].waiting.pop_front();
        self.hosts[host].holder.record_rejection(n as u64, now);
        let upstream = &mut self.upstreams[n];
        upstream.rejections.push_back(now);
        upstream.rejections.retain(|at| now < *at + WINDOW);
        if now >= ENFORCED {
            self.outcome.rejections += 1;
            if upstream.rejections.len() > max {
                self.outcome.falls += 1;
                upstream.down_until = now + DOWN;
                upstream.life += 1;
                upstream.present.clear();
                upstream.rejections.clear();
            }
        }
    }

    /// Adds the time since the last change to what was measured of an upstream.
    fn measure(&mut self, n: usize) {
        let (now, slots) = (self.now, self.service.slots);
        let upstream = &mut self.upstreams[n];
        let (from, is_up) = (std::mem::replace(&mut upstream.last, now), now > upstream.down_until);
        let running = (upstream.present.len() as u32).min(slots);
        let span = |since: Duration| now.saturating_sub(from.max(since));
        if is_up {
            upstream.busy += span(ENFORCED) * running;
            upstream.up += span(ENFORCED);
            upstream.busy_at_end += span(RECOVERED) * running;
            upstream.up_at_end += span(RECOVERED);
        }
    }
}
