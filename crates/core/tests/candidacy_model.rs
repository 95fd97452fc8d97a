//! Promise: some hosts with room always stand for the duty of ordering
//! weights, and no more than needed, whoever comes and goes.
//!
//! A model of 295 hosts that hear each other's stance and room a round late,
//! decide each 200 ms whether to join or leave, and are confirmed by a store
//! that has outages.

use std::time::Duration;

use marjoram_core::candidacy::{COOL_DOWN, ControlCapacity, OtherHost, PREFERRED_CANDIDATES, View};
use marjoram_core::leadership::CandidateStatus;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOSTS: usize = 295;
const LEASE: Duration = Duration::from_millis(2_700);
const LOOK: Duration = Duration::from_millis(200);

/// Time in which hosts hear from each other once.
const ROUND: Duration = Duration::from_millis(1_900);

#[derive(Debug, Clone)]
struct Host {
    room: ControlCapacity,
    name: u64,
    started: Duration,
    joined: Option<Duration>,
    confirmed: Option<Duration>,
    rest: Duration,
    /// When it last heard of another that stood.
    occupied: Duration,
    up: bool,
    /// It does not reach the store.
    cut: bool,
    /// When it last saw a store error.
    error: Option<Duration>,
}

impl Host {
    fn room(&self, now: Duration) -> ControlCapacity {
        if now < self.rest { ControlCapacity::default() } else { self.room }
    }

    fn candidate_status(&self, now: Duration) -> CandidateStatus {
        CandidateStatus::new(self.joined, self.confirmed, LEASE, now)
    }

    fn errors(&self, now: Duration) -> Option<Duration> {
        self.error.map(|at| now - at)
    }

    fn stop(&mut self) {
        (self.joined, self.confirmed) = (None, None);
    }
}

/// Time for all to have started and for those not needed to have left.
const SETTLED: Duration = Duration::from_secs(20);

/// What a host told of itself, heard by the others a round later.
type Heard = Vec<Option<OtherHost>>;

/// What was told `late` ago.
fn aged(other: OtherHost, late: Duration) -> OtherHost {
    OtherHost { errors: other.errors.map(|age| age + late), ..other }
}

struct Site {
    now: Duration,
    hosts: Vec<Host>,
    told: Vec<Heard>,
    /// The store confirms nobody.
    outage: bool,
    pending: bool,
}

impl Site {
    /// All hosts start within five seconds; a fifth have little room.
    fn start(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let host = |at: usize| Host {
            room: ControlCapacity(if at.is_multiple_of(5) {
                10
            } else {
                20 + rng.random_range(0..3) * 40
            }),
            name: rng.random(),
            started: Duration::from_millis(rng.random_range(0..5_000)),
            joined: None,
            confirmed: None,
            rest: Duration::ZERO,
            occupied: Duration::ZERO,
            up: true,
            cut: false,
            error: None,
        };
        let hosts = (0..HOSTS).map(host).collect();
        Self { now: Duration::ZERO, hosts, told: Vec::new(), outage: false, pending: false }
    }

    fn view(&self, at: usize, heard: &Heard) -> View {
        let host = &self.hosts[at];
        let others = heard.iter().enumerate().filter(|(other, _)| *other != at);
        let late = LOOK * (self.told.len() as u32 - 1);
        View {
            up: self.now - host.started,
            without_candidate: self.now - host.occupied,
            round: ROUND,
            pending: self.pending,
            rank: (host.room(self.now), host.name),
            errors: host.errors(self.now),
            others: others.filter_map(|(_, other)| *other).map(|o| aged(o, late)).collect(),
        }
    }

    fn step(&mut self) {
        self.now += LOOK;
        let now = self.now;
        let tell = |host: &Host| {
            let rank = (host.room(now), host.name);
            (host.up && now >= host.started).then(|| OtherHost {
                candidate_status: host.candidate_status(now),
                rank,
                errors: host.errors(now),
            })
        };
        self.told.push(self.hosts.iter().map(tell).collect());
        let late = (ROUND.as_millis() / LOOK.as_millis()) as usize;
        if self.told.len() > late {
            self.told.remove(0);
        }
        let heard = self.told[0].clone();
        for at in 0..HOSTS {
            if !self.hosts[at].up || now < self.hosts[at].started + LOOK * 2 {
                continue;
            }
            let view = self.view(at, &heard);
            let answers = !self.outage && !self.hosts[at].cut;
            self.decide(at, &view, answers);
        }
    }

    fn decide(&mut self, at: usize, view: &View, answers: bool) {
        let (now, host) = (self.now, &mut self.hosts[at]);
        if !answers {
            host.error = Some(now);
        }
        if view.candidates() > 0 || host.occupied < host.started {
            host.occupied = now;
        }
        match (host.joined, answers) {
            (None, _) if view.joins() => host.joined = Some(now),
            (None, _) => {}
            (Some(_), true) => {
                host.confirmed = Some(now);
                if view.leaves() {
                    host.stop();
                }
            }
            (Some(_), false) => {
                let lapse = host.confirmed.map(|at| now - at).filter(|lapse| *lapse >= LEASE);
                if lapse.is_some_and(|lapse| view.must_cool_down(lapse)) {
                    host.rest = now + COOL_DOWN;
                    host.stop();
                }
            }
        }
    }

    fn play(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Hosts that the store confirms.
    fn candidates(&self) -> Vec<usize> {
        let stands = |at: &usize| {
            let host = &self.hosts[*at];
            let confirmed = host.confirmed.is_some_and(|at| self.now < at + LEASE);
            host.up && confirmed
        };
        (0..HOSTS).filter(stands).collect()
    }

    /// How long it takes until some host stands.
    fn until_one_stands(&mut self) -> Duration {
        let begun = self.now;
        while self.candidates().is_empty() {
            self.step();
            assert!(self.now < begun + Duration::from_secs(60), "nobody stands");
        }
        self.now - begun
    }
}

/// Two rounds of greetings and one second, in which nobody stood, a round
/// until the last is heard to be gone, and a look.
const VACANCY: Duration = Duration::from_millis(3 * 1_900 + 1_000 + 400);

#[test]
fn the_hosts_with_the_most_room_stand_and_no_others() {
    let mut site = Site::start(1);
    site.play(SETTLED);
    let standing = site.candidates();
    assert!(standing.len() <= PREFERRED_CANDIDATES + 2, "{} stand", standing.len());
    assert!(standing.len() >= PREFERRED_CANDIDATES, "{} stand", standing.len());
    let least = standing.iter().map(|at| site.hosts[*at].room).min();
    assert_eq!(least, Some(ControlCapacity(100)), "one with less room stands");
}

#[test]
fn somebody_stands_soon_after_all_that_stood_are_gone() {
    for pending in [false, true] {
        let mut site = Site::start(2);
        site.play(SETTLED);
        site.pending = pending;
        for at in site.candidates() {
            site.hosts[at].up = false;
        }
        let took = site.until_one_stands();
        assert!(took <= VACANCY, "nobody stood for {took:?}");
    }
}

#[test]
fn few_stand_while_hosts_come_and_go() {
    let mut site = Site::start(3);
    site.play(SETTLED);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let (mut most, mut gone) = (0, Vec::new());
    for step in 0..600 {
        if step % 10 == 0 {
            // One of those that stand stops, and is back ten seconds later.
            let standing = site.candidates();
            let at = standing[rng.random_range(0..standing.len())];
            (site.hosts[at].up, site.hosts[at].started) =
                (false, site.now + Duration::from_secs(10));
            site.hosts[at].stop();
            gone.push(at);
        }
        for at in gone.clone() {
            site.hosts[at].up = site.now >= site.hosts[at].started;
        }
        site.step();
        let standing = site.candidates().len();
        assert!(standing > 0, "nobody stands at {:?}", site.now);
        most = most.max(standing);
    }
    // Each that stops is replaced, and stands again before its substitute,
    // which heard of it, leaves.
    assert!(most <= PREFERRED_CANDIDATES + 8, "{most} stood");
}

#[test]
fn an_outage_of_the_store_leaves_somebody_standing_at_once() {
    let mut site = Site::start(4);
    site.play(SETTLED);
    site.outage = true;
    site.pending = true;
    site.play(Duration::from_secs(20));
    assert!(site.candidates().is_empty());
    site.outage = false;
    let took = site.until_one_stands();
    assert!(took <= LOOK * 2, "nobody stood for {took:?}");
    site.play(SETTLED);
    let standing = site.candidates().len();
    assert!(
        (PREFERRED_CANDIDATES..=PREFERRED_CANDIDATES + 8).contains(&standing),
        "{standing} stand later"
    );
}

#[test]
fn a_host_that_lost_its_membership_alone_rests_and_returns() {
    let mut site = Site::start(5);
    site.play(SETTLED);
    let at = site.candidates()[0];
    site.hosts[at].cut = true;
    site.play(LEASE + LOOK * 2);
    assert!(site.hosts[at].joined.is_none(), "it still stands");
    site.hosts[at].cut = false;
    site.play(COOL_DOWN / 2);
    assert!(!site.candidates().contains(&at), "it does not rest");
    site.play(COOL_DOWN / 2 + Duration::from_secs(10));
    assert!(site.candidates().contains(&at), "it has not returned");
}
