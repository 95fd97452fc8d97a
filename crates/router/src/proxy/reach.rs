//! Opens connections to upstreams, over this host's own link or through another
//! host, and records which links are lost.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::reach::{Conclusion, MAX_RELAYS, Path};

use super::fleet::Upstream;
use super::site::Site;
use crate::conn::Conn;
use crate::control_connects::CONTROL_CONNECTS;
use crate::paths::{self, CONNECT_TIMEOUT, ConnectError, Outcome, Paths};

/// Time between two checks for upstreams and lost links that are to be tried by this
/// host itself, without a request.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Connects to `upstream` over this host's own link or through other hosts.
pub async fn connect(site: &Site, upstream: &Upstream) -> Result<Conn, ConnectError> {
    let path = upstream.link.borrow_mut().begin_connect(site.now());
    let paths = Paths {
        addr: upstream.entry.borrow().addr,
        key: upstream.key,
        path,
        hosts: site.peers.relays(upstream, MAX_RELAYS),
    };
    let others = || site.fleet.others(upstream, CONTROL_CONNECTS);
    let Outcome { conclusion, failed_relays, result } = paths::connect(paths, others).await;
    apply(site, upstream, conclusion);
    site.peers.record_failed_relays(upstream, failed_relays);
    if result.as_ref().is_ok_and(|conn| conn.relayed) {
        site.counters.count("upstream.relayed_connects");
    }
    result
}

/// Applies what connects to `upstream` have shown.
fn apply(site: &Site, upstream: &Upstream, conclusion: Conclusion) {
    match conclusion {
        Conclusion::LinkWorks => restore(site, upstream),
        Conclusion::LinkLost => {
            // Idle connections over a lost link may hang.
            upstream.pool.clear();
            if upstream.link.borrow_mut().lost(site.now()) {
                site.counters.count("upstream.link_lost");
                tracing::warn!(target: "reach", upstream = %upstream.life,
                    "link to upstream lost; other hosts reach it");
            }
        }
        Conclusion::Undecided | Conclusion::UpstreamDown | Conclusion::Unknown => {}
    }
}

/// Records that a direct connect to `upstream` has succeeded. If this host was cut
/// off from its service, the other links are taken to work as well: the next
/// connect over each shows whether they do.
fn restore(site: &Site, upstream: &Upstream) {
    if !upstream.link.borrow_mut().restored() {
        return;
    }
    tracing::info!(target: "reach", upstream = %upstream.life, "link to upstream works again");
    let service = upstream.entry.borrow().service.clone();
    if site.is_cut_off(&service) {
        for other in site.fleet.service(&service) {
            other.link.borrow_mut().restored();
        }
    }
    update(site);
}

/// Updates the services from which this host is cut off.
fn update(site: &Site) {
    let cut_off = site.fleet.cut_off_services();
    let former = site.cut_off.replace(cut_off.clone());
    for service in cut_off.iter().filter(|service| !former.contains(service)) {
        site.counters.count("service.cut_off");
        tracing::warn!(target: "reach", service, "cut off from the upstreams of a service");
    }
    for service in former.iter().filter(|service| !cut_off.contains(service)) {
        tracing::info!(target: "reach", service, "upstreams of a service are reached again");
    }
}

/// Connects to an upstream that is down, and records whether it still is.
async fn retry(site: Rc<Site>, upstream: Rc<Upstream>) {
    match connect(&site, &upstream).await {
        Ok(conn) => {
            upstream.health.borrow_mut().record_connect();
            upstream.pool.put(conn, None, site.now());
        }
        Err(error) => upstream.mark_down(&error, site.now()),
    }
    upstream.retrying.set(false);
}

/// Connects to upstreams that are down, so that no request waits for that.
fn retry_down(site: &Rc<Site>) {
    let now = site.now();
    let is_due = |u: &Rc<Upstream>| u.health.borrow().is_retry_due(now) && !u.retrying.get();
    for upstream in site.fleet.all().into_iter().filter(is_due) {
        upstream.retrying.set(true);
        ntex::rt::spawn(retry(site.clone(), upstream));
    }
}

/// Tries upstreams that are down, and lost links of services from which this host is
/// cut off, until the process ends.
pub async fn run(site: Rc<Site>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        retry_down(&site);
        update(&site);
        let services = site.cut_off.borrow().clone();
        for service in services {
            let begin_retry =
                |u: &Rc<Upstream>| u.link.borrow_mut().begin_connect(site.now()) == Path::Both;
            let Some(upstream) = site.fleet.service(&service).into_iter().find(begin_retry) else {
                continue;
            };
            let addr = upstream.entry.borrow().addr;
            match Conn::connect(addr, CONNECT_TIMEOUT).await {
                Ok(_) => restore(&site, &upstream),
                Err(_) => drop(upstream.link.borrow_mut().lost(site.now())),
            }
        }
    }
}
