//! Invariant: some hosts with capacity are always candidates for the leadership of
//! weights rollouts, and no more than needed, as hosts start and stop.
//!
//! A model of 295 hosts that receive each other's candidate status and capacity one round
//! late, decide every 200 ms whether to join or leave the candidate group, and are confirmed
//! by a store that has outages.

use std::time::Duration;

use marjoram_core::candidacy::{COOL_DOWN, ControlCapacity, OtherHost, PREFERRED_CANDIDATES, View};
use marjoram_core::leadership::CandidateStatus;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOSTS: usize = 295;
const LEASE: Duration = Duration::from_millis(2_700);
const POLL: Duration = Duration::from_millis(200);

/// Time in which each host receives one heartbeat of every other.
const ROUND: Duration = Duration::from_millis(1_900);

#[derive(Debug, Clone)]
struct Host {
    capacity: ControlCapacity,
    name: u64,
    started: Duration,
    joined: Option<Duration>,
    confirmed: Option<Duration>,
    cool_down_until: Duration,
    /// When it last knew of another candidate.
    last_candidate: Duration,
    up: bool,
    /// Whether it cannot reach the store.
    disconnected: bool,
    /// Time of its last store error.
    last_error: Option<Duration>,
}

impl Host {
    fn effective_capacity(&self, now: Duration) -> ControlCapacity {
        if now < self.cool_down_until { ControlCapacity::default() } else { self.capacity }
    }

    fn status(&self, now: Duration) -> CandidateStatus {
        CandidateStatus::new(self.joined, self.confirmed, LEASE, now)
    }

    fn error_age(&self, now: Duration) -> Option<Duration> {
        self.last_error.map(|at| now - at)
    }

    fn stop_candidacy(&mut self) {
        (self.joined, self.confirmed) = (None, None);
    }
}

/// Time until all hosts have started and surplus candidates have left.
const SETTLED: Duration = Duration::from_secs(20);

/// What each host reported of itself in one step; the others receive it a round later.
type Reports = Vec<Option<OtherHost>>;

/// `other` with its age of store errors advanced by `delay`, the time since it was sent.
fn delayed(other: OtherHost, delay: Duration) -> OtherHost {
    OtherHost { errors: other.errors.map(|age| age + delay), ..other }
}

struct Site {
    now: Duration,
    hosts: Vec<Host>,
    sent: Vec<Reports>,
    /// Whether the store is down and confirms no candidate.
    outage: bool,
    /// Whether engines are due to change their weights.
    pending: bool,
}

impl Site {
    /// All hosts start within five seconds; a fifth of them have little capacity.
    fn start(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let host = |at: usize| Host {
            capacity: ControlCapacity(if at.is_multiple_of(5) {
                10
            } else {
                20 + rng.random_range(0..3) * 40
            }),
            name: rng.random(),
            started: Duration::from_millis(rng.random_range(0..5_000)),
            joined: None,
            confirmed: None,
            cool_down_until: Duration::ZERO,
            last_candidate: Duration::ZERO,
            up: true,
            disconnected: false,
            last_error: None,
        };
        let hosts = (0..HOSTS).map(host).collect();
        Self { now: Duration::ZERO, hosts, sent: Vec::new(), outage: false, pending: false }
    }

    fn view(&self, at: usize, received: &Reports) -> View {
        let host = &self.hosts[at];
        let others = received.iter().enumerate().filter(|(other, _)| *other != at);
        let delay = POLL * (self.sent.len() as u32 - 1);
        View {
            up: self.now - host.started,
            without_candidate: self.now - host.last_candidate,
            round: ROUND,
            pending: self.pending,
            rank: (host.effective_capacity(self.now), host.name),
            errors: host.error_age(self.now),
            others: others.filter_map(|(_, other)| *other).map(|o| delayed(o, delay)).collect(),
        }
    }

    fn step(&mut self) {
        self.now += POLL;
        let now = self.now;
        let report = |host: &Host| {
            let rank = (host.effective_capacity(now), host.name);
            (host.up && now >= host.started).then(|| OtherHost {
                candidate_status: host.status(now),
                rank,
                errors: host.error_age(now),
            })
        };
        self.sent.push(self.hosts.iter().map(report).collect());
        let delay = (ROUND.as_millis() / POLL.as_millis()) as usize;
        if self.sent.len() > delay {
            self.sent.remove(0);
        }
        let received = self.sent[0].clone();
        for at in 0..HOSTS {
            if !self.hosts[at].up || now < self.hosts[at].started + POLL * 2 {
                continue;
            }
            let view = self.view(at, &received);
            let store_answers = !self.outage && !self.hosts[at].disconnected;
            self.decide(at, &view, store_answers);
        }
    }

    fn decide(&mut self, at: usize, view: &View, store_answers: bool) {
        let (now, host) = (self.now, &mut self.hosts[at]);
        if !store_answers {
            host.last_error = Some(now);
        }
        if view.candidates() > 0 || host.last_candidate < host.started {
            host.last_candidate = now;
        }
        match (host.joined, store_answers) {
            (None, _) if view.joins() => host.joined = Some(now),
            (None, _) => {}
            (Some(_), true) => {
                host.confirmed = Some(now);
                if view.leaves() {
                    host.stop_candidacy();
                }
            }
            (Some(_), false) => {
                let since_confirmed = host
                    .confirmed
                    .map(|at| now - at)
                    .filter(|since_confirmed| *since_confirmed >= LEASE);
                if since_confirmed
                    .is_some_and(|since_confirmed| view.must_cool_down(since_confirmed))
                {
                    host.cool_down_until = now + COOL_DOWN;
                    host.stop_candidacy();
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Candidates that the store has confirmed.
    fn candidates(&self) -> Vec<usize> {
        let is_candidate = |at: &usize| {
            let host = &self.hosts[*at];
            let confirmed = host.confirmed.is_some_and(|at| self.now < at + LEASE);
            host.up && confirmed
        };
        (0..HOSTS).filter(is_candidate).collect()
    }

    /// Steps until some host is a confirmed candidate and returns the time that took.
    fn wait_for_candidate(&mut self) -> Duration {
        let begun = self.now;
        while self.candidates().is_empty() {
            self.step();
            assert!(self.now < begun + Duration::from_secs(60), "no candidate after 60 s");
        }
        self.now - begun
    }
}

/// Longest time without a candidate: two rounds of heartbeats and one second without one, a
/// round until the other hosts learn that the last one is gone, and a poll.
const MAX_VACANCY: Duration = Duration::from_millis(3 * 1_900 + 1_000 + 400);

#[test]
fn only_the_hosts_with_the_most_capacity_are_candidates() {
    let mut site = Site::start(1);
    site.run(SETTLED);
    let candidates = site.candidates();
    assert!(candidates.len() <= PREFERRED_CANDIDATES + 2, "{} candidates", candidates.len());
    assert!(candidates.len() >= PREFERRED_CANDIDATES, "{} candidates", candidates.len());
    let least_capacity = candidates.iter().map(|at| site.hosts[*at].capacity).min();
    assert_eq!(
        least_capacity,
        Some(ControlCapacity(100)),
        "a host with less capacity is a candidate"
    );
}

#[test]
fn a_host_becomes_a_candidate_soon_after_all_candidates_are_gone() {
    for pending in [false, true] {
        let mut site = Site::start(2);
        site.run(SETTLED);
        site.pending = pending;
        for at in site.candidates() {
            site.hosts[at].up = false;
        }
        let vacant_for = site.wait_for_candidate();
        assert!(vacant_for <= MAX_VACANCY, "no candidate for {vacant_for:?}");
    }
}

#[test]
fn candidates_stay_few_while_hosts_stop_and_restart() {
    let mut site = Site::start(3);
    site.run(SETTLED);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let (mut most_candidates, mut stopped) = (0, Vec::new());
    for step in 0..600 {
        if step % 10 == 0 {
            // One of the candidates stops and starts again ten seconds later.
            let candidates = site.candidates();
            let at = candidates[rng.random_range(0..candidates.len())];
            (site.hosts[at].up, site.hosts[at].started) =
                (false, site.now + Duration::from_secs(10));
            site.hosts[at].stop_candidacy();
            stopped.push(at);
        }
        for at in stopped.clone() {
            site.hosts[at].up = site.now >= site.hosts[at].started;
        }
        site.step();
        let candidates = site.candidates().len();
        assert!(candidates > 0, "no candidate at {:?}", site.now);
        most_candidates = most_candidates.max(candidates);
    }
    // Each candidate that stops is replaced, and is a candidate again before its
    // replacement has received its new status and leaves.
    assert!(most_candidates <= PREFERRED_CANDIDATES + 8, "{most_candidates} candidates at once");
}

#[test]
fn a_candidate_is_confirmed_at_once_after_a_store_outage() {
    let mut site = Site::start(4);
    site.run(SETTLED);
    site.outage = true;
    site.pending = true;
    site.run(Duration::from_secs(20));
    assert!(site.candidates().is_empty());
    site.outage = false;
    let vacant_for = site.wait_for_candidate();
    assert!(vacant_for <= POLL * 2, "no candidate for {vacant_for:?}");
    site.run(SETTLED);
    let candidates = site.candidates().len();
    assert!(
        (PREFERRED_CANDIDATES..=PREFERRED_CANDIDATES + 8).contains(&candidates),
        "{candidates} candidates after the outage"
    );
}

#[test]
fn a_host_that_alone_lost_its_membership_rests_and_is_a_candidate_again() {
    let mut site = Site::start(5);
    site.run(SETTLED);
    let at = site.candidates()[0];
    site.hosts[at].disconnected = true;
    site.run(LEASE + POLL * 2);
    assert!(site.hosts[at].joined.is_none(), "it is still a candidate");
    site.hosts[at].disconnected = false;
    site.run(COOL_DOWN / 2);
    assert!(
        !site.candidates().contains(&at),
        "it is a candidate again before its cool-down has ended"
    );
    site.run(COOL_DOWN / 2 + Duration::from_secs(10));
    assert!(site.candidates().contains(&at), "it is not a candidate again after its cool-down");
}
