//! The connections, and which of them is given up.

use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use super::{CONN_SIZE, Exhausted, Stage};

/// Bytes of a large request. Small ones may use the whole memory, large ones all but
/// 1 / [`RESERVED_FRACTION`] of it.
const LARGE_SIZE: usize = 64 << 10;
const RESERVED_FRACTION: usize = 8;

/// Bytes that a peer must send or accept to make progress: one that sends a byte now and then
/// makes none.
const PROGRESS_SIZE: usize = 4 << 10;

/// Time without progress after which a connection is given up before others.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

new_key_type! {
    pub(super) struct ConnKey;
    pub(super) struct PortKey;
}

#[derive(Debug)]
struct Entry {
    port: PortKey,
    stage: Stage,
    /// Bytes received or to be sent.
    size: usize,
    /// When it last made progress.
    moved: Instant,
    /// Bytes sent or accepted since then.
    progress: usize,
    /// Number of connections and requests begun before.
    number: u64,
    given_up: Option<Exhausted>,
    waker: Option<Waker>,
}

impl Entry {
    /// The bytes that it uses.
    fn used(&self) -> usize {
        match self.given_up {
            Some(_) => 0,
            None => CONN_SIZE + self.size,
        }
    }

    /// Whether it can be given up for another connection.
    fn is_candidate(&self) -> bool {
        self.given_up.is_none() && self.stage != Stage::InProgress
    }

    fn stalled_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.moved)
    }

    /// Bytes times the time for which they have been held without progress; `None` if it is too
    /// short to matter.
    fn stall_cost(&self, now: Instant) -> Option<u128> {
        let stalled = self.stalled_for(now);
        (stalled >= STALL_TIMEOUT).then(|| self.used() as u128 * stalled.as_millis())
    }
}

#[derive(Debug)]
struct PortEntry {
    limit: usize,
    /// Connections that are not given up.
    conns: usize,
}

#[derive(Debug)]
pub(super) struct Table {
    limit: usize,
    used: usize,
    conns: SlotMap<ConnKey, Entry>,
    ports: SlotMap<PortKey, PortEntry>,
    begun: u64,
}

impl Table {
    pub(super) fn new(limit: usize) -> Self {
        Self { limit, used: 0, conns: SlotMap::with_key(), ports: SlotMap::with_key(), begun: 0 }
    }

    pub(super) fn set_limit(&mut self, limit: usize, request: usize) {
        let needed = CONN_SIZE + request;
        self.limit = limit.max(needed + needed / (RESERVED_FRACTION - 1) + 1);
    }

    pub(super) fn used(&self) -> usize {
        self.used
    }

    pub(super) fn add_port(&mut self, limit: usize) -> PortKey {
        self.ports.insert(PortEntry { limit, conns: 0 })
    }

    pub(super) fn conns(&self, port: PortKey) -> usize {
        self.ports[port].conns
    }

    pub(super) fn is_full(&self, port: PortKey) -> bool {
        self.ports[port].conns >= self.ports[port].limit || self.used + CONN_SIZE > self.limit
    }

    pub(super) fn accept(&mut self, port: PortKey, now: Instant) -> Result<ConnKey, Exhausted> {
        let limit = self.ports[port].limit;
        while self.ports[port].conns >= limit {
            let exhausted = Exhausted::Conns(limit);
            let oldest = self.longest_stalled(port).ok_or(exhausted)?;
            self.give_up(oldest, exhausted);
        }
        while self.used + CONN_SIZE > self.limit {
            let exhausted = Exhausted::Memory(self.limit);
            let victim = self.most_costly(now).or_else(|| self.newest_large()).ok_or(exhausted)?;
            self.give_up(victim, exhausted);
        }
        self.ports[port].conns += 1;
        self.used += CONN_SIZE;
        let number = self.next_number();
        Ok(self.conns.insert(Entry {
            port,
            stage: Stage::Idle,
            size: 0,
            moved: now,
            progress: 0,
            number,
            given_up: None,
            waker: None,
        }))
    }

    pub(super) fn enter(&mut self, key: ConnKey, stage: Stage, now: Instant) {
        let number = self.next_number();
        let entry = &mut self.conns[key];
        if stage == Stage::Receiving {
            entry.number = number;
        }
        (entry.stage, entry.moved, entry.progress) = (stage, now, 0);
    }

    pub(super) fn record_progress(&mut self, key: ConnKey, bytes: usize, now: Instant) {
        let entry = &mut self.conns[key];
        entry.progress += bytes;
        if entry.progress >= PROGRESS_SIZE {
            (entry.progress, entry.moved) = (0, now);
        }
    }

    pub(super) fn resize(
        &mut self,
        key: ConnKey,
        size: usize,
        now: Instant,
    ) -> Result<(), Exhausted> {
        loop {
            let entry = &self.conns[key];
            if let Some(exhausted) = entry.given_up {
                return Err(exhausted);
            }
            let (before, in_progress) = (entry.size, entry.stage == Stage::InProgress);
            if size <= before || self.used - before + size <= self.limit_for(size) {
                self.used = self.used - before + size;
                self.conns[key].size = size;
                return Ok(());
            }
            let exhausted = Exhausted::Memory(self.limit);
            let victim = self.most_costly(now).or_else(|| self.newest_large());
            match victim {
                Some(victim) => self.give_up(victim, exhausted),
                None if in_progress => return Err(exhausted),
                None => self.give_up(key, exhausted),
            }
        }
    }

    pub(super) fn given_up(&self, key: ConnKey) -> Option<Exhausted> {
        self.conns[key].given_up
    }

    pub(super) fn poll_given_up(&mut self, key: ConnKey, waker: &Waker) -> Poll<Exhausted> {
        let entry = &mut self.conns[key];
        match entry.given_up {
            Some(exhausted) => Poll::Ready(exhausted),
            None => {
                if !entry.waker.as_ref().is_some_and(|known| known.will_wake(waker)) {
                    entry.waker = Some(waker.clone());
                }
                Poll::Pending
            }
        }
    }

    pub(super) fn close(&mut self, key: ConnKey, now: Instant) {
        let entry = &mut self.conns[key];
        let was_given_up = entry.given_up.take().is_some();
        let size = std::mem::take(&mut entry.size);
        match was_given_up {
            true => {
                self.ports[entry.port].conns += 1;
                self.used += CONN_SIZE;
            }
            false => self.used -= size,
        }
        self.enter(key, Stage::Closing, now);
    }

    pub(super) fn remove(&mut self, key: ConnKey) {
        let Some(entry) = self.conns.remove(key) else { return };
        self.used -= entry.used();
        if entry.given_up.is_none() {
            self.ports[entry.port].conns -= 1;
        }
    }

    /// The limit for a connection with `size` bytes.
    fn limit_for(&self, size: usize) -> usize {
        match size >= LARGE_SIZE {
            true => self.limit - self.limit / RESERVED_FRACTION,
            false => self.limit,
        }
    }

    /// The connection that has held the most bytes for the longest time without progress.
    fn most_costly(&self, now: Instant) -> Option<ConnKey> {
        let candidates = self.conns.iter().filter(|(_, entry)| entry.is_candidate());
        let stalled = candidates.filter_map(|(key, e)| Some((e.stall_cost(now)?, key)));
        stalled.max_by_key(|(cost, _)| *cost).map(|(_, key)| key)
    }

    /// The newest large request that is being received.
    fn newest_large(&self) -> Option<ConnKey> {
        let receiving = self.conns.iter().filter(|(_, entry)| {
            entry.is_candidate() && entry.stage == Stage::Receiving && entry.size >= LARGE_SIZE
        });
        receiving.max_by_key(|(_, entry)| entry.number).map(|(key, _)| key)
    }

    /// The connection of `port` without progress for the longest time. One that closes comes
    /// first.
    fn longest_stalled(&self, port: PortKey) -> Option<ConnKey> {
        let candidates =
            self.conns.iter().filter(|(_, entry)| entry.port == port && entry.is_candidate());
        let order = |entry: &Entry| (entry.stage != Stage::Closing, entry.moved, entry.number);
        candidates.min_by_key(|(_, entry)| order(entry)).map(|(key, _)| key)
    }

    fn give_up(&mut self, key: ConnKey, exhausted: Exhausted) {
        let entry = &mut self.conns[key];
        self.used -= entry.used();
        self.ports[entry.port].conns -= 1;
        (entry.given_up, entry.size) = (Some(exhausted), 0);
        if let Some(waker) = entry.waker.take() {
            waker.wake();
        }
    }

    fn next_number(&mut self) -> u64 {
        self.begun += 1;
        self.begun
    }
}
