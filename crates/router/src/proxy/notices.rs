//! Announces to the other hosts which engines are closed for a change of weights,
//! and processes their announcements. What goes into which message is decided by
//! [`marjoram_core::announce`].

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::announce::{Change, PERIOD};
use marjoram_core::upstream::Weights;

use super::fleet::Upstream;
use super::hosts::{Message, Notice};
use super::site::Site;

/// For how long an engine is announced as closed: one lease of the leadership,
/// and the time in which the next leader is assigned leadership and polls the
/// engine.
const CLOSED_TTL: Duration = Duration::from_millis(4_500);

/// Delay before a message is sent, so that changes at nearly the same time share
/// it.
const BATCH_DELAY: Duration = Duration::from_millis(15);

/// Longest time that an order waits for its announcement to be sent to the
/// others.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces to all hosts, including this one, that `upstreams` close for a
/// change to `weights`.
pub fn close(site: &Site, upstreams: &[Rc<Upstream>], weights: &Weights) {
    let Weights { model, version } = weights.clone();
    announce(site, upstreams, Change::Closed { model, version, span: CLOSED_TTL });
}

/// Announces to all hosts, including this one, that `upstream` is open and serves
/// `weights`.
pub fn open(site: &Site, upstream: &Rc<Upstream>, weights: &Weights) {
    let Weights { model, version } = weights.clone();
    announce(site, std::slice::from_ref(upstream), Change::Open { model, version });
}

fn announce(site: &Site, upstreams: &[Rc<Upstream>], change: Change) {
    let now = site.now();
    for upstream in upstreams {
        apply_change(site, upstream, &change);
        site.notices.announcements.borrow_mut().put(upstream.key, change.clone(), now);
    }
    site.notices.added.notify_one();
}

/// Waits until the latest change of `upstream` has been sent to all hosts once.
pub async fn wait_until_sent(site: &Site, upstream: &Upstream) {
    let all = async {
        while !site.notices.announcements.borrow().is_announced(upstream.key) {
            site.notices.sent.notified().await;
        }
    };
    // Hosts without the announcement learn of the change when the engine refuses
    // a request.
    let _ = tokio::time::timeout(ANNOUNCE_TIMEOUT, all).await;
}

/// Sends pending announcements, no faster than the link allows.
pub async fn run(site: Rc<Site>) {
    loop {
        let due = site.notices.announcements.borrow().due();
        let wait = due.map_or(Duration::MAX, |at| at.saturating_sub(site.now()));
        // A newly added announcement may be due sooner.
        let _ = tokio::time::timeout(wait, site.notices.added.notified()).await;
        tokio::time::sleep(BATCH_DELAY).await;
        let next = site.notices.announcements.borrow_mut().next(site.now());
        if next.is_empty() {
            continue;
        }
        let burst = site.peers.broadcast(&Message::Notices(group(next)));
        site.notices.sent.notify_waiters();
        let link = site.settings.load().capacity.link;
        let pause = link.message_pause(burst.datagrams, burst.bytes);
        tokio::time::sleep(PERIOD.max(pause)).await;
    }
}

/// Combines engines with the same change into one notice.
fn group(changes: Vec<(u64, Change)>) -> Vec<Notice> {
    let mut notices: Vec<Notice> = Vec::new();
    for (key, change) in changes {
        let mut notice = Notice::from(change);
        let same = |n: &&mut Notice| {
            (&n.model, n.version, n.closed) == (&notice.model, notice.version, notice.closed)
        };
        match notices.iter_mut().find(same) {
            Some(known) => known.upstreams.push(key),
            None => {
                notice.upstreams.push(key);
                notices.push(notice);
            }
        }
    }
    notices
}

impl From<Change> for Notice {
    fn from(change: Change) -> Self {
        let (model, version, closed) = match change {
            Change::Closed { model, version, span } => (model, version, Some(span)),
            Change::Open { model, version } => (model, version, None),
        };
        let closed = closed.map(|span| span.as_millis() as u64);
        Self { model, version, closed, upstreams: Vec::new() }
    }
}

impl From<&Notice> for Change {
    fn from(notice: &Notice) -> Self {
        let (model, version) = (notice.model.clone(), notice.version);
        match notice.closed {
            Some(ms) => Self::Closed { model, version, span: Duration::from_millis(ms) },
            None => Self::Open { model, version },
        }
    }
}

/// Processes another host's announcements.
pub fn receive(site: &Site, notices: &[Notice]) {
    let mut by_key: HashMap<u64, &Notice> = HashMap::new();
    for notice in notices {
        by_key.extend(notice.upstreams.iter().map(|key| (*key, notice)));
    }
    for upstream in site.fleet.all() {
        if let Some(notice) = by_key.get(&upstream.key) {
            apply_change(site, &upstream, &Change::from(*notice));
        }
    }
}

/// Records which weights engines serve, according to the registry.
pub fn apply_weights(site: &Site, reported: &[(u64, Vec<Weights>)]) {
    let reported: HashMap<u64, &Vec<Weights>> = reported.iter().map(|(key, w)| (*key, w)).collect();
    for upstream in site.fleet.all() {
        for weights in reported.get(&upstream.key).into_iter().copied().flatten() {
            upstream.record_weights(&weights.model, weights.version);
        }
    }
}

fn apply_change(site: &Site, upstream: &Upstream, change: &Change) {
    match change {
        // The engine has changed in the meantime, so this datagram arrived late.
        Change::Closed { model, version, .. } if upstream.weights(model) >= Some(*version) => {}
        Change::Closed { span, .. } => upstream.closed.set(Some(site.now() + *span)),
        Change::Open { model, version } => {
            upstream.closed.set(None);
            upstream.record_weights(model, *version);
        }
    }
}
