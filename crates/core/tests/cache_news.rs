//! Load: 64 hosts, of which two read an engine's events, greet 16 others each
//! 100 ms; one datagram in forty is lost, and engines take in and drop large
//! parts all the time. Every host is to know where parts are kept.

use std::time::Duration;

use marjoram_core::cache_updates::UpdateQueue;
use marjoram_core::exchange::{Part, PartId};
use marjoram_core::part_index::{CacheId, Event, Page, PartIndex};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOSTS: usize = 64;
const FANOUT: usize = 16;
const TELLERS: usize = 2;
const PERIOD: Duration = Duration::from_millis(100);
const LOSS: f64 = 0.025;
const PARTS: u64 = 200;
/// Parts that the engine has memory for.
const ROOM: usize = 10;
const TOKENS: u64 = 13_300;

struct Host {
    holdings: PartIndex,
    digest: UpdateQueue,
    turn: usize,
}

/// Share of (host, part) pairs in which a host is right about a part, over the
/// last half of `seconds`, while the engine takes in `per_s` parts a second.
fn right(per_s: f64, seconds: u32, tells: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let cache = CacheId::new("1");
    let new = |_| Host { holdings: PartIndex::new(), digest: UpdateQueue::new(), turn: 0 };
    let mut hosts: Vec<Host> = (0..HOSTS).map(new).collect();
    let (mut kept, mut number) = (Vec::<u64>::new(), 0);
    let (mut agree, mut seen) = (0u64, 0u64);
    let ticks = seconds * 10;
    for tick in 0..ticks {
        let now = PERIOD * tick;
        let mut events = Vec::new();
        let mut event = |part, tokens| {
            number += 1;
            events.push(Event { number, cache, part: PartId(part), tokens });
        };
        if rng.random_bool(per_s * PERIOD.as_secs_f64()) {
            let part = rng.random_range(0..PARTS);
            if !kept.contains(&part) {
                kept.push(part);
                event(part, TOKENS);
            }
            if kept.len() > ROOM {
                event(kept.remove(0), 0);
            }
        }
        let page = Page { epoch: 1, next: number + 1, lost: false, events };
        for host in hosts.iter_mut().take(TELLERS) {
            let large = host.holdings.large_part_events(&page);
            host.digest.add(9, page.epoch, &large, now);
            host.holdings.apply(&page);
        }
        for teller in 0..TELLERS {
            let host = &mut hosts[teller];
            let first = host.turn;
            host.turn = (first + FANOUT) % HOSTS;
            let news = host.digest.recent(PERIOD * (HOSTS / FANOUT * 2) as u32, now);
            for target in (first..first + FANOUT).map(|i| i % HOSTS).filter(|t| *t >= TELLERS) {
                if tells && !rng.random_bool(LOSS) {
                    news.iter()
                        .for_each(|n| hosts[target].holdings.apply_remote(n.epoch, &n.event()));
                }
            }
        }
        if tick > ticks / 2 {
            for host in &hosts {
                for part in &kept {
                    let parts = [Part { id: PartId(*part), tokens: TOKENS }];
                    agree += u64::from(host.holdings.cached_tokens(cache, &parts) > 0);
                    seen += 1;
                }
            }
        }
    }
    agree as f64 / seen as f64
}

/// Without greetings, only the two hosts that read the events know.
#[test]
fn hosts_that_read_no_events_know_what_an_engine_keeps() {
    assert!(right(2.0, 60, false) < 0.05);
    let told = right(2.0, 60, true);
    assert!(told > 0.9, "{told:.3}");
}

/// Load: a burst of events, as after new weights.
#[test]
fn a_burst_of_events_is_told_newest_first() {
    let cache = CacheId::new("1");
    let event = |n| Event { number: n, cache, part: PartId(n), tokens: TOKENS };
    let events: Vec<Event> = (0..1_000).map(event).collect();
    let mut digest = UpdateQueue::new();
    digest.add(9, 1, &events, PERIOD);
    let told = digest.recent(PERIOD, PERIOD);
    assert!(told.len() < 64, "{} events do not fit into a greeting", told.len());
    assert_eq!(told[0].event(), event(999));
}

/// A part is read in pieces, each of them an event; a greeting holds only the last.
#[test]
fn a_part_that_is_read_in_pieces_is_told_of_once_and_whole() {
    let cache = CacheId::new("1");
    let event = |number, part, tokens| Event { number, cache, part: PartId(part), tokens };
    let mut digest = UpdateQueue::new();
    for piece in 1..=4 {
        digest.add(9, 1, &[event(piece, 7, piece * 2_048), event(piece + 4, 8, 0)], PERIOD);
    }
    let told: Vec<Event> = digest.recent(PERIOD, PERIOD).iter().map(|news| news.event()).collect();
    assert_eq!(told, [event(8, 8, 0), event(4, 7, 8_192)]);
}
