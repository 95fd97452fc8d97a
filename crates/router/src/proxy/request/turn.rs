//! Waits for the request's turn and for an engine with room.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::switches::Mechanism;
use marjoram_core::waiting::{self, Urgency};
use marjoram_core::{credit, place};
use xxhash_rust::xxh3::xxh3_64;

use super::choose::{Chosen, DEFAULT_THROUGHPUT};
use super::{Exchange, WAIT_INTERVAL, millis};
use crate::proxy::fleet::Upstream;
use crate::proxy::refusal::Refusal;
use crate::proxy::site::{QueueKey, WaitQueue};
use crate::proxy::waiting::Place;
use crate::proxy::{rate_limits, slot_leases};

/// Divisor of the caller's time limit: a large prompt waits for its turn and for room for at most
/// that fraction of it, since its target has passed then.
const MAX_WAIT_DIVISOR: u32 = 4;

/// Longest time between two looks at whether it is a request's turn: the order also changes when
/// others join.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Exchange {
    /// Whether this request waits in a queue: a prompt for a coordinated service.
    pub(super) fn is_queued(&self) -> bool {
        self.request.asked.prompt.is_some()
            && self.site.has(Mechanism::WaitQueue)
            && self.site.stopping.get().is_none()
            && self.site.coordination(&self.service).is_some()
    }

    /// Priorities of the request's workspace and route.
    pub(super) fn urgency(&self) -> Urgency {
        let workspace = self.workspace.as_ref().and_then(|w| w.priority);
        Urgency::new(workspace, self.route.priority)
    }

    fn workspace_key(&self) -> u64 {
        self.workspace.as_ref().map_or(0, |w| xxh3_64(w.name.as_bytes()))
    }

    /// Prompt tokens, the cost by which workspaces share the engines.
    fn prompt_tokens(&self) -> u64 {
        self.request.asked.prompt.as_ref().map_or(1, |p| p.input)
    }

    fn is_large(&self) -> bool {
        self.prompt_tokens() >= place::LARGE_PROMPT
    }

    fn queue(&self) -> Rc<WaitQueue> {
        let large = self.is_large();
        self.site.waiting.queue(QueueKey { service: self.service.clone(), large })
    }

    /// Shortest time in which the request can be answered: that for prefilling its own parts.
    fn shortest_service(&self) -> Duration {
        let prompt = self.request.asked.prompt.as_ref();
        let own = prompt.map_or(0, |p| p.input.saturating_sub(p.shared()));
        millis(own as f64 / DEFAULT_THROUGHPUT)
    }

    fn join(&self) -> Place {
        let request = waiting::Request {
            urgency: self.urgency(),
            workspace: self.workspace_key(),
            cost: self.prompt_tokens(),
            arrived: self.request.started,
            expires: self.expires,
            service: self.shortest_service(),
        };
        Place::join(&self.site, &self.queue(), request)
    }

    /// Until when the request waits for its turn and for room.
    fn wait_end(&self) -> Duration {
        let limit = self.expires.saturating_sub(self.request.started);
        match self.is_large() {
            true => self.request.started + limit / MAX_WAIT_DIVISOR,
            false => self.request.started + limit / 2,
        }
    }

    /// Whether `upstream` has room for one more request, as far as this host knows.
    pub(super) fn has_room(&self, upstream: &Upstream) -> bool {
        self.has_slot(upstream) && self.has_memory(upstream)
    }

    fn has_slot(&self, upstream: &Upstream) -> bool {
        // Slots of brittle upstreams are leased.
        if slot_leases::is_enforced(&self.site, &self.service) {
            return true;
        }
        let free = credit::free_places(upstream.entry.borrow().slots, upstream.load().running);
        match self.is_large() {
            true => free > 0.0,
            false => {
                let peers = &self.site.peers;
                let mut credit = upstream.credit.get();
                let share = free / peers.count() as f64;
                credit.earn(share, peers.heartbeat_round(), self.site.now());
                upstream.credit.set(credit);
                credit.is_enough()
            }
        }
    }

    /// Whether the request has to wait because the engine chosen has no room for it.
    pub(super) fn lacks_room(&self, chosen: &Chosen) -> bool {
        self.is_queued() && !self.has_room(&chosen.upstream) && self.site.now() < self.wait_end()
    }

    /// Selects the upstream for the next send once it is the request's turn and an engine has room.
    pub(super) async fn next_in_turn(&self, resumed: bool) -> Result<Chosen, Refusal> {
        // A caller that already has a part of its answer does not wait behind others.
        let queued = self.is_queued() && !resumed;
        // A request that may not be sent again is answered without waiting for its turn.
        self.may_send()?;
        rate_limits::wait_until_learned(&self.site, self.left()).await;
        let mut place: Option<Place> = None;
        let may_wait = queued && self.site.now() < self.wait_end();
        if may_wait && self.queue().order.borrow().must_join(self.urgency()) {
            self.check_expected_wait()?;
            place = Some(self.join());
        }
        loop {
            self.may_send()?;
            if self.is_withheld() {
                self.note_withheld();
                place = None;
                tokio::time::sleep(WAIT_INTERVAL).await;
                continue;
            }
            if let Some(place) = &place {
                self.check_place(place)?;
                if !place.is_first() && self.site.now() < self.wait_end() {
                    place.changed(self.wait_end().min(self.site.now() + RECHECK_INTERVAL)).await;
                    continue;
                }
            }
            self.query_backlog().await;
            if let Some(chosen) = self.next(resumed)? {
                self.leave(place, queued);
                self.spend_credit(&chosen.upstream);
                return Ok(chosen);
            }
            match &mut place {
                _ if !queued => self.wait_for_slot().await,
                Some(place) => {
                    let end = self.site.now() + WAIT_INTERVAL;
                    tokio::select! {
                        () = place.changed(end) => {}
                        () = self.site.slots.granted.notified() => {}
                    }
                }
                None => {
                    self.check_expected_wait()?;
                    place = Some(self.join());
                }
            }
        }
    }

    /// Waits until the next check, or until this host has been granted slots.
    async fn wait_for_slot(&self) {
        // Ends without a notification after the interval.
        let _ = tokio::time::timeout(WAIT_INTERVAL, self.site.slots.granted.notified()).await;
    }

    /// Refuses a request for which those ahead of it leave too little time.
    fn check_expected_wait(&self) -> Result<(), Refusal> {
        let now = self.site.now();
        let queue = self.queue();
        let wait = queue.order.borrow().expected_wait(self.urgency(), now).unwrap_or_default();
        match !self.is_large() && now + wait > self.wait_end() {
            true => {
                self.site.counters.count("queue.too_long");
                Err(self.give_up("too many requests wait"))
            }
            false => Ok(()),
        }
    }

    /// Spends this host's credit at `upstream`, which gets the request.
    fn spend_credit(&self, upstream: &Upstream) {
        if self.is_queued() && !self.is_large() {
            let mut credit = upstream.credit.get();
            credit.spend();
            upstream.credit.set(credit);
        }
    }

    /// Refuses a request that was evicted or has too little time left to be answered.
    fn check_place(&self, place: &Place) -> Result<(), Refusal> {
        if place.is_evicted() {
            return Err(self.give_up("too many requests wait"));
        }
        if self.left() < self.shortest_service() {
            self.site.counters.count("queue.expired");
            return Err(self.give_up("too little time left"));
        }
        Ok(())
    }

    /// Records that the request is being sent.
    fn leave(&self, place: Option<Place>, queued: bool) {
        match place {
            Some(place) => {
                tracing::info!(target: "place", id = self.id(),
                    ms = place.waited().as_millis() as u64, "left the queue");
                place.sent();
            }
            None if queued => {
                let (urgency, tokens) = (self.urgency(), self.prompt_tokens());
                let queue = self.queue();
                queue.order.borrow_mut().note_sent(urgency, self.workspace_key(), tokens);
            }
            None => {}
        }
    }

    /// When a caller that is refused should retry, if it is to wait for its turn again: after
    /// those that wait before it.
    pub(super) fn retry_in_turn(&self) -> Option<Duration> {
        let queue = self.is_queued().then(|| self.queue())?;
        let order = queue.order.borrow();
        Some(order.retry_after(self.urgency(), self.left(), self.site.now()))
    }

    /// Wakes the requests that wait for an engine of this service: one of them may have room.
    pub(super) fn notify_room(&self) {
        if self.sends > 0 && self.is_queued() {
            self.queue().changed.notify_waiters();
        }
    }
}
