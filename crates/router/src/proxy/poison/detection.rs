//! Detection of requests that crash upstreams, at the detecting hosts: decides, from the
//! crash reports of all hosts, which requests and prompt parts go into quarantine.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::poison::{CRASH_REPORT_WINDOW, PartCrashReport, Quarantined};

use super::{parts, quarantine};
use crate::proxy::site::Site;

/// Delay of the detection after a report that may complete the number of crashes
/// for which a request is put in quarantine: reports of other hosts on the same
/// crash arrive within [`CRASH_REPORT_WINDOW`].
const DETECTION_DELAY: Duration = CRASH_REPORT_WINDOW.saturating_add(Duration::from_millis(5));

/// Bytes from an upstream prove that it is alive only if they arrive more than
/// this time after the reported crash: bytes that it sent before may be read late.
const READ_DELAY: Duration = Duration::from_millis(100);

/// Has the detection consider the reports received so far, once all hosts have had the
/// time to report.
pub(super) fn start(site: &Rc<Site>) {
    let poison = &site.poison;
    poison.recheck_count.set(poison.recheck_count.get() + 1);
    if !poison.detecting.replace(true) {
        ntex::rt::spawn(run(site.clone()));
    }
}

/// Handles crash reports on parts, of this host or another, at a detecting host.
pub fn handle_part_crashes(site: &Rc<Site>, reports: &[PartCrashReport]) {
    if parts::add_reports(site, reports) {
        start(site);
    }
}

/// Runs the detection until no more reports arrive that call for it, and all
/// requests that were in flight at enough crashes have been decided on.
async fn run(site: Rc<Site>) {
    loop {
        let count = site.poison.recheck_count.get();
        tokio::time::sleep(DETECTION_DELAY).await;
        detect(&site);
        let undecided = site.poison.suspects.borrow().has_unevaluated()
            || site.poison.suspected_parts.borrow().has_unevaluated();
        if site.poison.recheck_count.get() == count && !undecided {
            site.poison.detecting.set(false);
            return;
        }
    }
}

/// Withdraws crash reports on upstreams that have proved alive, and puts the
/// requests that are identified in quarantine.
fn detect(site: &Rc<Site>) {
    let now = site.now();
    let upstreams = site.fleet.all();
    let is_alive = |key: u64, since: Duration| {
        let span = now.saturating_sub(since + READ_DELAY);
        let mut matching = upstreams.iter().filter(|u| u.key == key);
        matching.any(|u| u.health.borrow().was_alive(now, span))
    };
    let identified = {
        let mut suspects = site.poison.suspects.borrow_mut();
        suspects.refute(now, is_alive);
        suspects.detect(now)
    };
    let at = site.unix_time();
    let entry = |(request, upstreams)| Quarantined::new(request, upstreams, at);
    quarantine::publish(site, identified.into_iter().map(entry).collect());
    quarantine::publish(site, parts::detect(site, now, at));
}
