//! Load: 64 hosts, of which two read an engine's cache events, send heartbeats to 16
//! others every 100 ms; one datagram in forty is lost, and the engine stores and evicts
//! large parts all the time. Every host must know where parts are cached.

use std::time::Duration;

use marjoram_core::cache_updates::UpdateQueue;
use marjoram_core::exchange::{Part, PartId};
use marjoram_core::part_index::{CacheId, Event, Page, PartIndex};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOSTS: usize = 64;
const FANOUT: usize = 16;
const READERS: usize = 2;
const PERIOD: Duration = Duration::from_millis(100);
const LOSS: f64 = 0.025;
const PARTS: u64 = 200;
/// Number of parts that fit into the engine's memory.
const CACHED_PARTS: usize = 10;
const TOKENS: u64 = 13_300;

struct Host {
    part_index: PartIndex,
    update_queue: UpdateQueue,
    next_target: usize,
}

/// Share of (host, part) pairs in which the host knows that the part is cached, over the
/// last half of `seconds`, while the engine stores `per_s` parts per second. Without
/// `sends_updates` the heartbeats carry no cache updates.
fn share_known(per_s: f64, seconds: u32, sends_updates: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let cache = CacheId::new("1");
    let new =
        |_| Host { part_index: PartIndex::new(), update_queue: UpdateQueue::new(), next_target: 0 };
    let mut hosts: Vec<Host> = (0..HOSTS).map(new).collect();
    let (mut cached, mut number) = (Vec::<u64>::new(), 0);
    let (mut known, mut checked) = (0u64, 0u64);
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
            if !cached.contains(&part) {
                cached.push(part);
                event(part, TOKENS);
            }
            if cached.len() > CACHED_PARTS {
                event(cached.remove(0), 0);
            }
        }
        let page = Page { epoch: 1, next: number + 1, lost: false, events };
        for host in hosts.iter_mut().take(READERS) {
            let large = host.part_index.large_part_events(&page);
            host.update_queue.add(9, page.epoch, &large, now);
            host.part_index.apply(&page);
        }
        for reader in 0..READERS {
            let host = &mut hosts[reader];
            let first = host.next_target;
            host.next_target = (first + FANOUT) % HOSTS;
            let updates = host.update_queue.recent(PERIOD * (HOSTS / FANOUT * 2) as u32, now);
            for target in (first..first + FANOUT).map(|i| i % HOSTS).filter(|t| *t >= READERS) {
                if sends_updates && !rng.random_bool(LOSS) {
                    updates.iter().for_each(|update| {
                        hosts[target].part_index.apply_remote(update.epoch, &update.event())
                    });
                }
            }
        }
        if tick > ticks / 2 {
            for host in &hosts {
                for part in &cached {
                    let parts = [Part { id: PartId(*part), tokens: TOKENS }];
                    known += u64::from(host.part_index.cached_tokens(cache, &parts) > 0);
                    checked += 1;
                }
            }
        }
    }
    known as f64 / checked as f64
}

/// Without cache updates in heartbeats, only the two hosts that read the events know.
#[test]
fn hosts_that_read_no_events_know_what_an_engine_has_cached() {
    assert!(share_known(2.0, 60, false) < 0.05);
    let sent = share_known(2.0, 60, true);
    assert!(sent > 0.9, "{sent:.3}");
}

/// Load: a burst of events, as after an engine has loaded new weights.
#[test]
fn a_burst_of_events_is_sent_newest_first() {
    let cache = CacheId::new("1");
    let event = |n| Event { number: n, cache, part: PartId(n), tokens: TOKENS };
    let events: Vec<Event> = (0..1_000).map(event).collect();
    let mut update_queue = UpdateQueue::new();
    update_queue.add(9, 1, &events, PERIOD);
    let sent = update_queue.recent(PERIOD, PERIOD);
    assert!(sent.len() < 64, "{} events do not fit into a heartbeat", sent.len());
    assert_eq!(sent[0].event(), event(999));
}

/// An engine reads a part in pieces and emits an event for each; a heartbeat carries only the
/// last one of them.
#[test]
fn a_part_that_is_read_in_pieces_is_sent_once_as_a_whole() {
    let cache = CacheId::new("1");
    let event = |number, part, tokens| Event { number, cache, part: PartId(part), tokens };
    let mut update_queue = UpdateQueue::new();
    for piece in 1..=4 {
        update_queue.add(9, 1, &[event(piece, 7, piece * 2_048), event(piece + 4, 8, 0)], PERIOD);
    }
    let sent: Vec<Event> =
        update_queue.recent(PERIOD, PERIOD).iter().map(|update| update.event()).collect();
    assert_eq!(sent, [event(8, 8, 0), event(4, 7, 8_192)]);
}
