//! The limits on the memory and the connections of all peers together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use marjoram_core::peer_budget::{CONN_SIZE, Exhausted, Holding, PeerBudget, Port, Stage};
use proptest::prelude::*;

/// A fifth of the memory of the smallest hosts.
const LIMIT: usize = 17_600_000;
const LONG: usize = 4 << 20;
const SMALL: usize = 2_000;
const PIECE: usize = 16 << 10;
const STEP: Duration = Duration::from_millis(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that is received piece by piece.
struct Sender {
    holding: Holding,
    received: usize,
    /// Bytes that it sends; the body is longer if it stops short.
    sends: usize,
    total: usize,
    refused: bool,
}

impl Sender {
    fn new(port: &Port, sends: usize, total: usize, now: Instant) -> Self {
        let holding = port.accept(now).expect("a connection");
        holding.enter(Stage::Receiving, now);
        Self { holding, received: 0, sends, total, refused: false }
    }

    /// Receives the next piece.
    fn step(&mut self, now: Instant) {
        let piece = PIECE.min(self.sends - self.received);
        if self.refused || self.is_complete() || piece == 0 {
            self.refused |= self.holding.given_up().is_some();
            return;
        }
        self.received += piece;
        self.holding.record_progress(piece, now);
        self.refused = self.holding.resize(self.received, now).is_err();
        if self.is_complete() && !self.refused {
            self.holding.enter(Stage::InProgress, now);
        }
    }

    fn is_complete(&self) -> bool {
        self.received == self.total
    }
}

#[test]
fn bodies_that_stop_short_give_way_to_whole_ones_and_to_small_requests() {
    let budget = PeerBudget::new(LIMIT);
    let port = budget.port(1_000);
    let mut now = Instant::now();
    let mut stalled: Vec<_> = (0..60).map(|_| Sender::new(&port, LONG - 1, LONG, now)).collect();
    for _ in 0..400 {
        now += STEP;
        stalled.iter_mut().for_each(|sender| sender.step(now));
        assert!(budget.used() <= LIMIT);
        let mut small = Sender::new(&port, SMALL, SMALL, now);
        small.step(now);
        assert!(small.is_complete() && !small.refused, "a small request is refused");
    }
    let mut whole = Sender::new(&port, LONG, LONG, now);
    for _ in 0..300 {
        now += STEP;
        whole.step(now);
        stalled.iter_mut().for_each(|sender| sender.step(now));
        assert!(budget.used() <= LIMIT);
    }
    assert!(whole.is_complete() && !whole.refused);
    drop((stalled, whole));
    assert_eq!(budget.used(), 0);
    assert_eq!(port.conns(), 0);
}

#[test]
fn of_long_requests_that_all_move_the_oldest_are_completed() {
    let budget = PeerBudget::new(LIMIT);
    let port = budget.port(1_000);
    let mut now = Instant::now();
    let mut senders: Vec<_> = (0..60).map(|_| Sender::new(&port, LONG, LONG, now)).collect();
    for _ in 0..400 {
        now += STEP;
        senders.iter_mut().for_each(|sender| sender.step(now));
        assert!(budget.used() <= LIMIT);
    }
    let complete = senders.iter().filter(|s| s.is_complete() && !s.refused).count();
    assert!((3..=4).contains(&complete), "{complete} complete");
    assert!(senders[..complete].iter().all(|s| !s.refused), "newer ones were completed");
    assert_eq!(senders.iter().filter(|s| s.refused).count(), 60 - complete);
}

#[test]
fn requests_in_progress_are_kept_and_those_that_need_room_are_refused() {
    let budget = PeerBudget::new(LIMIT);
    let port = budget.port(1_000);
    let mut now = Instant::now();
    let mut whole: Vec<_> = (0..3).map(|_| Sender::new(&port, LONG, LONG, now)).collect();
    for _ in 0..300 {
        now += STEP;
        whole.iter_mut().for_each(|sender| sender.step(now));
    }
    now += Duration::from_secs(60);
    let mut late = Sender::new(&port, LONG, LONG, now);
    while !late.refused {
        late.step(now);
    }
    assert_eq!(late.holding.given_up(), Some(Exhausted::Memory(LIMIT)));
    assert!(whole.iter().all(|s| s.holding.given_up().is_none()));
    let read_ahead = whole[0].holding.resize(2 * LONG, now);
    assert_eq!(read_ahead, Err(Exhausted::Memory(LIMIT)));
    assert!(whole[0].holding.given_up().is_none(), "it keeps what it has");
}

#[test]
fn a_peer_that_sends_a_byte_now_and_then_makes_no_progress() {
    let start = Instant::now();
    let budget = PeerBudget::new(2 * CONN_SIZE + 100_000);
    let port = budget.port(10);
    let (dripping, moving) = (port.accept(start).unwrap(), port.accept(start).unwrap());
    for holding in [&dripping, &moving] {
        holding.enter(Stage::Receiving, start);
        holding.resize(40_000, start).unwrap();
    }
    for n in 1..=20 {
        let now = start + ms(100 * n);
        dripping.record_progress(1, now);
        moving.record_progress(5_000, now);
    }
    moving.resize(60_001, start + ms(2_000)).unwrap();
    assert!(dripping.given_up().is_some());
}

#[test]
fn at_its_limit_a_port_gives_up_the_connection_without_progress_for_the_longest_time() {
    let start = Instant::now();
    let budget = PeerBudget::new(LIMIT);
    let (port, other) = (budget.port(3), budget.port(3));
    let elsewhere = other.accept(start).unwrap();
    let conns: Vec<_> = (0..3).map(|n| port.accept(start + ms(n)).unwrap()).collect();
    conns[0].enter(Stage::InProgress, start);
    let next = port.accept(start + ms(10)).unwrap();
    assert_eq!(conns[1].given_up(), Some(Exhausted::Conns(3)));
    conns[2].enter(Stage::InProgress, start);
    next.enter(Stage::InProgress, start);
    assert_eq!(port.accept(start + ms(20)).unwrap_err(), Exhausted::Conns(3));
    assert!(elsewhere.given_up().is_none());
    drop(conns);
    assert_eq!(port.conns(), 1);
    assert!(port.accept(start + ms(30)).is_ok());
}

#[test]
fn a_connection_that_closes_is_given_up_first() {
    let start = Instant::now();
    let budget = PeerBudget::new(LIMIT);
    let port = budget.port(2);
    let (idle, refused) = (port.accept(start).unwrap(), port.accept(start).unwrap());
    refused.resize(5_000, start).unwrap();
    refused.close(start + ms(900));
    assert_eq!(budget.used(), 2 * CONN_SIZE);
    let _next = port.accept(start + ms(1_000)).unwrap();
    assert!(refused.given_up().is_some() && idle.given_up().is_none());
}

#[test]
fn a_single_request_within_the_limits_has_room_on_the_smallest_host() {
    let budget = PeerBudget::new(1_000);
    let port = budget.port(1);
    budget.set_limit(1_000, LONG);
    let now = Instant::now();
    let mut sender = Sender::new(&port, LONG, LONG, now);
    while !sender.is_complete() {
        sender.step(now);
        assert!(!sender.refused);
    }
}

#[test]
fn a_task_that_waits_is_woken_when_its_connection_is_given_up() {
    #[derive(Default)]
    struct Wakes(AtomicUsize);
    impl Wake for Wakes {
        fn wake(self: Arc<Self>) {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
    let wakes = Arc::new(Wakes::default());
    let waker = Waker::from(wakes.clone());
    let start = Instant::now();
    let port = PeerBudget::new(LIMIT).port(1);
    let idle = port.accept(start).unwrap();
    assert!(idle.poll_given_up(&mut Context::from_waker(&waker)).is_pending());
    let _next = port.accept(start).unwrap();
    assert_eq!(wakes.0.load(Ordering::SeqCst), 1);
    let polled = idle.poll_given_up(&mut Context::from_waker(&waker));
    assert_eq!(polled, Poll::Ready(Exhausted::Conns(1)));
}

/// What happens to one of several connections.
#[derive(Debug, Clone)]
enum Event {
    Accept,
    Enter(usize, u8),
    Resize(usize, usize),
    Progress(usize, usize),
    Close(usize),
    Drop(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let conn = 0..12usize;
    prop_oneof![
        4 => Just(Event::Accept),
        3 => (conn.clone(), 0..4u8).prop_map(|(n, stage)| Event::Enter(n, stage)),
        6 => (conn.clone(), 0..120_000usize).prop_map(|(n, size)| Event::Resize(n, size)),
        3 => (conn.clone(), 0..9_000usize).prop_map(|(n, bytes)| Event::Progress(n, bytes)),
        1 => conn.clone().prop_map(Event::Close),
        2 => conn.prop_map(Event::Drop),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn the_limits_hold_and_requests_in_progress_are_kept(
        events in proptest::collection::vec((event(), 0..900u64), 1..120),
    ) {
        const MEMORY: usize = 300_000;
        const CONNS: usize = 8;
        let budget = PeerBudget::new(MEMORY);
        let port = budget.port(CONNS);
        let mut now = Instant::now();
        let mut conns: Vec<(Holding, Stage)> = Vec::new();
        for (event, pause) in events {
            now += ms(pause);
            let len = conns.len().max(1);
            match event {
                Event::Accept => {
                    conns.extend(port.accept(now).ok().map(|holding| (holding, Stage::Idle)));
                }
                Event::Enter(n, stage) => {
                    if let Some(conn) = conns.get_mut(n % len) && conn.0.given_up().is_none() {
                        let stages =
                            [Stage::Idle, Stage::Receiving, Stage::InProgress, Stage::Sending];
                        conn.1 = stages[usize::from(stage)];
                        conn.0.enter(conn.1, now);
                    }
                }
                Event::Resize(n, size) => {
                    if let Some(conn) = conns.get(n % len) {
                        let was_given_up = conn.0.given_up().is_some();
                        let resized = conn.0.resize(size, now);
                        prop_assert!(resized.is_err() || !was_given_up);
                    }
                }
                Event::Progress(n, bytes) => {
                    if let Some(conn) = conns.get(n % len) {
                        conn.0.record_progress(bytes, now);
                    }
                }
                Event::Close(n) => {
                    if let Some(conn) = conns.get_mut(n % len)
                        && conn.0.given_up().is_none()
                    {
                        conn.1 = Stage::Closing;
                        conn.0.close(now);
                    }
                }
                Event::Drop(n) if !conns.is_empty() => drop(conns.swap_remove(n % len)),
                Event::Drop(_) => {}
            }
            prop_assert!(budget.used() <= MEMORY);
            prop_assert!(port.conns() <= CONNS);
            let open = conns.iter().filter(|(holding, _)| holding.given_up().is_none()).count();
            prop_assert_eq!(port.conns(), open);
            for (holding, stage) in &conns {
                prop_assert!(*stage != Stage::InProgress || holding.given_up().is_none());
            }
        }
        drop(conns);
        prop_assert_eq!(budget.used(), 0);
        prop_assert_eq!(port.conns(), 0);
    }
}
