//! The content of the heartbeats that a host sends.

use std::rc::Rc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::EVENT_SENDS;
use crate::clock;
use crate::proxy::brittle;
use crate::proxy::fleet::Upstream;
use crate::proxy::hosts::{Heartbeat, LostLinks};
use crate::proxy::site::Site;
use crate::proxy::state_transfer;

/// How long hosts include the age of an announcement of weights in heartbeats.
/// An engine that was unreachable may still be on weights that were replaced long
/// ago.
const MAX_WEIGHTS_AGE: Duration = Duration::from_secs(600);

/// Unreachable upstreams named in one heartbeat; they take half a kilobyte.
const MAX_UNREACHABLE: usize = 64;

/// Sends a heartbeat to the next few hosts.
pub fn send_heartbeats(site: &Site) {
    let own = |u: &Rc<Upstream>| (u.key, u.local_load.get());
    let (now, all) = (site.now(), site.fleet.all());
    let span = site.peers.heartbeat_round() * EVENT_SENDS;
    let loads = all.iter().map(own).filter(|(_, l)| l.running > 0).collect();
    let heartbeat = Heartbeat {
        name: site.peers.name.clone(),
        record: site.peers.record.clone(),
        open: site.is_ready(),
        unix_time: clock::unix_time().as_millis() as u64,
        loads,
        announcement_ages: recent_announcement_ages(site),
        news: site.cache_updates.borrow_mut().recent(span, now),
        candidate_status: site.candidate_status.get(),
        room: site.control_capacity(),
        store_error: site.store_error.get().map(|at| now.saturating_sub(at).as_millis() as u64),
        versions: state_transfer::versions(site),
        quarantine: site.poison.newest_entries(span, now),
        unreachable: unreachable_keys(site, &all, now),
        lost_links: lost_links(site),
        brittle: brittle::reported_statements(site),
        rejections: brittle::rejections(site, &all),
    };
    site.peers.send_heartbeat(heartbeat);
}

/// The links that this host has lost.
fn lost_links(site: &Site) -> LostLinks {
    let cut_off = site.cut_off.borrow();
    let services = cut_off.iter().map(|service| xxh3_64(service.as_bytes())).collect();
    LostLinks { services, all: site.is_cut_off_from_all() }
}

/// Keys of upstreams that are down as this host sees it, starting at a random one
/// each time if there are too many. Where this host is cut off or knows no path, its
/// connects say nothing of the upstreams.
fn unreachable_keys(site: &Site, all: &[Rc<Upstream>], now: Duration) -> Vec<u64> {
    let unreachable = all.iter().filter(|u| {
        u.health.borrow().is_known_unreachable(now) && !site.is_cut_off(&u.entry.borrow().service)
    });
    let mut keys: Vec<u64> = unreachable.map(|u| u.key).collect();
    if keys.len() > MAX_UNREACHABLE {
        let first = rand::random_range(0..keys.len());
        keys.rotate_left(first);
        keys.truncate(MAX_UNREACHABLE);
    }
    keys
}

/// Weights versions announced so recently that their age matters.
fn recent_announcement_ages(site: &Site) -> Vec<(String, u64, u64)> {
    let (now, announced) = (site.now(), site.announced_weights.borrow());
    let ages = announced.iter().flat_map(|(model, versions)| {
        let ages = versions.ages(now, MAX_WEIGHTS_AGE).into_iter();
        ages.map(|(version, age)| (model.clone(), version, age.as_millis() as u64))
    });
    ages.collect()
}

/// Records when another host learnt of weights versions.
pub(super) fn apply_announcement_ages(site: &Site, ages: &[(String, u64, u64)]) {
    let mut all = site.announced_weights.borrow_mut();
    for (model, version, age) in ages {
        if let Some(known) = all.get_mut(model) {
            known.record_reported(*version, Duration::from_millis(*age), site.now());
        }
    }
}
