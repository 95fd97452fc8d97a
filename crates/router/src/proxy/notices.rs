//! What the host that orders new weights tells the others of engines: closed
//! for a change, or open again.
//!
//! Load pattern: a fifth of the engines and more begin to change at once, and
//! each refuses all it is sent until it has changed. A datagram for each
//! engine and host fills a small host's link, so most were lost: of 87 hosts
//! on links of 10 Mbit/s many went on sending, and engines refused a quarter
//! of what arrived. So engines that close together are told of in one
//! datagram, twice, and every greeting repeats what still holds.
//!
//! Limits: an engine is told to be closed for longer than it takes until
//! another host holds the duty, so the change outlives the host that ordered
//! it; the next holder goes on telling.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::upstream::Weights;

use super::fleet::Upstream;
use super::peers::Notice;
use super::site::Site;

/// For how long an engine is told to be closed: a lease of the duty, and the
/// time in which the next holder is dealt it and asks the engine.
const CLOSED: Duration = Duration::from_millis(4_500);

/// What this host tells of one engine, and since when.
#[derive(Debug, Clone)]
struct Told {
    notice: Notice,
    at: Duration,
}

/// The notices of this host that others may not have heard.
#[derive(Debug, Default)]
pub struct Notices(RefCell<HashMap<u64, Told>>);

impl Notices {
    /// Those to be repeated at `now`: what is closed, and what opened within
    /// `span`.
    pub fn lately(&self, span: Duration, now: Duration) -> Vec<Notice> {
        let mut told = self.0.borrow_mut();
        told.retain(|_, t| t.notice.closed.is_some() || now < t.at + span);
        told.values().map(|t| t.notice.clone()).collect()
    }
}

/// Tells all hosts, this one included, that `upstreams` close for a change to
/// `weights`.
pub fn close(site: &Site, upstreams: &[Rc<Upstream>], weights: &Weights) {
    tell(site, upstreams.iter().map(|u| notice(u, weights, Some(CLOSED))).collect());
}

/// Tells all hosts, this one included, that `upstream` is open and serves
/// `weights`.
pub fn open(site: &Site, upstream: &Upstream, weights: &Weights) {
    tell(site, vec![notice(upstream, weights, None)]);
}

fn notice(upstream: &Upstream, weights: &Weights, closed: Option<Duration>) -> Notice {
    Notice {
        upstream: upstream.key,
        model: weights.model.clone(),
        version: weights.version,
        closed: closed.map(|c| c.as_millis() as u64),
    }
}

fn tell(site: &Site, notices: Vec<Notice>) {
    if notices.is_empty() {
        return;
    }
    let at = site.now();
    for notice in &notices {
        let told = Told { notice: notice.clone(), at };
        site.notices.0.borrow_mut().insert(notice.upstream, told);
    }
    take(site, &notices);
    site.peers.notify(notices);
}

/// Takes in what another host, or this one, tells of engines.
pub fn take(site: &Site, notices: &[Notice]) {
    if notices.is_empty() {
        return;
    }
    for upstream in site.fleet.all() {
        let Some(notice) = notices.iter().find(|n| n.upstream == upstream.key) else { continue };
        match notice.closed {
            // It has changed meanwhile: an earlier datagram comes late.
            Some(_) if upstream.weights(&notice.model) >= Some(notice.version) => {}
            Some(ms) => upstream.closed.set(Some(site.now() + Duration::from_millis(ms))),
            None => {
                upstream.closed.set(None);
                upstream.serves(&notice.model, notice.version);
            }
        }
    }
}
