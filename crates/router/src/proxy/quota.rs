//! Enforces the workspaces' quotas. Each host admits or refuses requests, and
//! reports what it admitted to the coordinators, the hosts that keep the accounts
//! of a workspace; these answer with the ratio to admit. The rules are in
//! [`marjoram_core::quota`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use marjoram_core::catalog::{Catalog, Workspace};
use marjoram_core::exchange::RequestMetadata;
use marjoram_core::quota::gate::{Admission, Mode};
use marjoram_core::quota::ledger::{Allocation, Sender, Usage};
use marjoram_core::quota::{COORDINATORS, Limit, Quota, REPORT_INTERVAL, RESERVATION_TIME, group};
use marjoram_core::switches::Mechanism;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::hosts::Message;
use super::refusal::Refusal;
use super::site::Site;

/// Longest time in `Retry-After` of a refusal for a quota.
pub const RETRY_MAX: Duration = Duration::from_secs(8);
/// Largest fraction by which that time is randomly extended, so that callers
/// refused together do not retry together.
pub const RETRY_JITTER: f64 = 0.5;

/// Pause after a report that was made early for a workspace's first request.
pub const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Usages or allocations in one datagram: about 30 bytes each.
pub const MAX_BATCH: usize = 200;

/// Seed of the hash of the attempt's id that decides on a request when only a
/// part of the requests is admitted.
const DRAW_SEED: u64 = 1;

/// What a request was charged to the quota of its workspace.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    workspace: u64,
    cost: u64,
}

impl Charge {
    /// Refunds the charge of a request that has not run.
    pub fn refund(self, site: &Site) {
        site.quotas.gate.borrow_mut().refund(self.workspace, self.cost, site.now());
    }
}

/// Hash of the workspace's name, by which hosts refer to it.
fn key(workspace: &Workspace) -> u64 {
    xxh3_64(workspace.name.as_bytes())
}

/// `quota` with the tolerance that the operators allow.
fn limit(site: &Site, quota: Quota) -> Limit {
    Limit { quota, tolerance: site.settings.load().bounds.quota }
}

/// Admits or refuses a request of `workspace`. Returns the charge if it is
/// admitted and the workspace has a quota. When only a part of the requests is
/// admitted, a hash of the attempt's id decides, which is the same on every host.
pub fn admit(
    site: &Site,
    workspace: &Workspace,
    metadata: &RequestMetadata,
) -> Result<Option<Charge>, Refusal> {
    let Some(quota) = workspace.quota else { return Ok(None) };
    if !site.startup_reads.initialized() {
        return Err(Refusal::not_run("other hosts not known yet", Duration::ZERO));
    }
    let charge = Charge { workspace: key(workspace), cost: quota.cost(metadata.tokens) };
    let id = metadata.attempt.as_deref().unwrap_or_default().as_bytes();
    let draw = match id {
        [] => rand::random(),
        id => xxh3_64_with_seed(id, DRAW_SEED) as f64 / u64::MAX as f64,
    };
    let hosts = site.peers.count();
    let admission = {
        let (limit, now) = (limit(site, quota), site.now());
        let mut gate = site.quotas.gate.borrow_mut();
        if gate.is_unknown(charge.workspace) {
            site.quotas.first.notify_one();
        }
        gate.admit(charge.workspace, charge.cost, draw, &limit, hosts, now)
    };
    match admission {
        Admission::Admitted => Ok(Some(charge)),
        Admission::Refused(wait) => {
            site.counters.count("quota.refused");
            let jitter = 1.0 + RETRY_JITTER * rand::random::<f64>();
            Err(Refusal::over_quota(quota, wait.mul_f64(jitter).min(RETRY_MAX)))
        }
    }
}

/// Reports what this host admitted, and updates the accounts that it keeps, until
/// the process ends. A workspace's first request is reported at once.
pub async fn run(site: Rc<Site>) {
    loop {
        let next = site.at(site.now() + REPORT_INTERVAL);
        let first = tokio::time::timeout_at(next, site.quotas.first.notified()).await.is_ok();
        if let Some(catalog) = site.catalog().filter(|c| c.workspaces.is_some()) {
            let quotas = quotas(&catalog);
            let limits = limits(&site, &quotas);
            advance(&site, &quotas, &limits);
            report(&site, &limits);
        }
        if first {
            tokio::time::sleep(FIRST_PAUSE).await;
        }
    }
}

/// The quotas by the hash of their workspace's name.
fn quotas(catalog: &Catalog) -> HashMap<u64, (&Workspace, Quota)> {
    let workspaces = catalog.workspaces.iter().flatten();
    workspaces.filter_map(|w| Some((key(w), (&**w, w.quota?)))).collect()
}

/// This process as the sender of reports to coordinators.
pub fn sender(site: &Site) -> Sender {
    Sender { host: xxh3_64(site.peers.name.as_bytes()), life: site.peers.record.life }
}

/// The limits of `quotas`.
fn limits(site: &Site, quotas: &HashMap<u64, (&Workspace, Quota)>) -> HashMap<u64, Limit> {
    quotas.iter().map(|(workspace, (_, quota))| (*workspace, limit(site, *quota))).collect()
}

/// Brings the accounts that this host keeps as a coordinator up to date.
fn advance(site: &Site, quotas: &HashMap<u64, (&Workspace, Quota)>, limits: &HashMap<u64, Limit>) {
    let hosts = site.peers.quota_hosts(RESERVATION_TIME);
    let (heard, silent) = (hosts.reachable, hosts.unreachable.len());
    for (workspace, status) in site.quotas.advance(limits, hosts, site.now()) {
        let Some((config, quota)) = quotas.get(&workspace) else { continue };
        tracing::info!(target: "quota", workspace = config.name,
            limited = status.admission_ratio < 1.0, pass = status.admission_ratio,
            level = status.level, demand = status.demand, rate = quota.rate,
            reserved = status.reserved, heard, silent,
            "quota limiting of workspace started or ended");
    }
}

/// Sends what this host admitted to the coordinators, or applies it here where
/// this host is one. Without coordinators (switched off), each host admits an
/// equal share of the quota.
fn report(site: &Rc<Site>, limits: &HashMap<u64, Limit>) {
    let window = site.settings.load().bounds.quota.window;
    site.quotas.remove_unlimited(limits);
    let usages = site.quotas.usages(window, site.now());
    if !site.has(Mechanism::QuotaCoordinators) {
        let hosts = site.peers.count();
        return site.quotas.gate.borrow_mut().set_fixed_share(1.0 / hosts as f64);
    }
    let mut groups: HashMap<u64, Vec<Usage>> = HashMap::new();
    for usage in usages {
        groups.entry(group(usage.workspace, limits.len())).or_default().push(usage);
    }
    for (group, usages) in groups {
        for coordinator in coordinators(site, group) {
            for chunk in usages.chunks(MAX_BATCH) {
                match coordinator {
                    Some(addr) => {
                        let message = Message::Usages(sender(site), chunk.to_vec());
                        site.peers.send_to(addr, &message);
                    }
                    None => {
                        let allocations = apply_usages(site, sender(site), chunk);
                        apply_allocations(site, sender(site).host, &allocations);
                    }
                }
            }
        }
    }
}

/// The quota coordinators of `group`; `None` stands for this host.
pub fn coordinators(site: &Site, group: u64) -> Vec<Option<SocketAddr>> {
    let own = site.is_ready().then(|| site.settings.load().capacity.control_capacity());
    site.peers.hosts_by_capacity(group, COORDINATORS, own)
}

/// Applies the usages that the host at `from` reports, and answers with the
/// allocations: what it may admit.
pub fn handle_usages(site: &Site, sender: Sender, usages: &[Usage], from: SocketAddr) {
    let allocations = apply_usages(site, sender, usages);
    if !allocations.is_empty() {
        let own = self::sender(site).host;
        site.peers.send_to(from, &Message::Allocations(own, allocations));
    }
}

/// Applies usages reported by `sender` to the accounts kept here; returns the
/// allocations.
fn apply_usages(site: &Site, sender: Sender, usages: &[Usage]) -> Vec<Allocation> {
    let catalog = site.catalog();
    let limits = || catalog.as_ref().map(|c| limits(site, &quotas(c))).unwrap_or_default();
    site.quotas.apply_usages(sender, usages, limits, site.now())
}

/// Applies the allocations of `coordinator`, a hash of that host's name.
pub fn apply_allocations(site: &Site, coordinator: u64, allocations: &[Allocation]) {
    site.quotas.apply_allocations(coordinator, allocations, site.now());
}

/// State of the workspaces with quotas at this host, for the state dump.
pub fn state(site: &Site) -> Vec<serde_json::Value> {
    let (now, hosts) = (site.now(), site.peers.count());
    let Some(catalog) = site.catalog() else { return Vec::new() };
    let gate = site.quotas.gate.borrow();
    let ledger = site.quotas.ledger.borrow();
    let line = |(workspace, (config, quota)): (u64, (&Workspace, Quota))| {
        let (ratio, share) = match gate.mode(workspace, hosts, now) {
            Some(Mode::ByRatio(ratio)) => (Some(ratio), None),
            Some(Mode::ByShare(share)) => (None, Some(share)),
            None => (None, None),
        };
        let totals = gate.totals(workspace);
        let account = ledger.status(workspace, now).map(|s| {
            serde_json::json!({ "pass": s.admission_ratio, "level": s.level, "demand": s.demand,
                "reserved": s.reserved })
        });
        serde_json::json!({ "workspace": config.name, "unit": quota.unit.to_string(),
            "rate": quota.rate, "burst": quota.burst, "pass": ratio, "alone": share,
            "admitted": totals.map(|t| t.admitted), "refused": totals.map(|t| t.refused),
            "account": account })
    };
    let mut lines: Vec<_> = quotas(&catalog).into_iter().map(line).collect();
    lines.sort_by_key(|line| line["workspace"].to_string());
    lines
}

/// Units admitted and requests refused by workspace, as text for the metrics.
pub fn metrics(site: &Site) -> String {
    let Some(catalog) = site.catalog() else { return String::new() };
    let gate = site.quotas.gate.borrow();
    let mut lines: Vec<String> = Vec::new();
    for (workspace, (config, quota)) in quotas(&catalog) {
        let Some(totals) = gate.totals(workspace) else { continue };
        let (name, unit) = (&config.name, quota.unit);
        let admitted = totals.admitted;
        lines.push(format!("marjoram_quota_{unit}_admitted{{workspace=\"{name}\"}} {admitted}\n"));
        let refused = totals.refused;
        lines.push(format!("marjoram_quota_refused{{workspace=\"{name}\"}} {refused}\n"));
    }
    lines.sort();
    lines.concat()
}
