//! A host's membership of the candidate group, to one of whose members the store
//! assigns leadership: when the host joins, how it renews its membership, and
//! when it leaves.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::candidacy::{COOL_DOWN, View};
use marjoram_core::era::Token;
use marjoram_core::leadership::CandidateStatus;
use marjoram_platform::store::{self, Membership};
use xxhash_rust::xxh3::xxh3_64;

use super::{GROUP, Leadership, TOPIC, is_rollout_pending, lease, leave};
use crate::clock;
use crate::proxy::site::Site;
use crate::proxy::storeclient::HttpClient;
use crate::proxy::storelink::SLOW_ANSWER;
use crate::proxy::traffic::Totals;

/// The partition whose assignee is the leader.
const LEADER_PARTITION: u32 = 0;

/// Renewals per lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// Time limit for connecting to the store and for its answer to a renewal.
pub(super) const JOIN_TIMEOUT: Duration = Duration::from_millis(450);

/// Time after the start, in addition to one heartbeat round, for receiving the
/// other hosts' heartbeats before joining; and the time between two checks
/// whether to join.
const STARTUP_DELAY: Duration = Duration::from_millis(400);
const JOIN_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a renewal that failed.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Why a membership ended. The names are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The process stops.
    Released,
    /// The store did not confirm this host's membership in time, though it
    /// confirmed others.
    Lapsed,
    /// Enough hosts with more capacity are candidates.
    Unneeded,
    /// This host alone cannot reach some engines.
    OutOfReach,
}

/// What this host knows when it decides whether to be a candidate.
pub(super) fn view(site: &Site) -> View {
    let now = site.now();
    View {
        up: now,
        without_candidate: Duration::ZERO,
        round: site.peers.heartbeat_round(),
        pending: is_rollout_pending(site),
        rank: (site.control_capacity(), xxh3_64(site.settings.load().name.as_bytes())),
        errors: site.store_error.get().map(|at| now.saturating_sub(at)),
        others: site.peers.others(),
    }
}

/// Joins the group whenever this host is to be a candidate, and leaves it again.
pub(super) async fn run(leadership: Rc<Leadership>) {
    let site = &leadership.site;
    while !leadership.released.get() {
        wait_to_join(&leadership).await;
        let end = maintain_membership(&leadership).await;
        site.candidate_status.set(CandidateStatus::NotMember);
        match end {
            End::Released => return,
            End::Lapsed | End::OutOfReach => defer_to_others(&leadership),
            End::Unneeded => {}
        }
        leave(&leadership).await;
        tracing::info!(target: "duty", ?end, "no longer a candidate");
    }
}

/// Leaves leadership to hosts with a better link for a while.
fn defer_to_others(leadership: &Leadership) {
    leadership.site.no_leadership_until.set(leadership.site.now() + COOL_DOWN);
}

async fn wait_to_join(leadership: &Leadership) {
    let site = &leadership.site;
    let mut last_occupied = site.now();
    loop {
        let now = site.now();
        let mut view = view(site);
        if view.candidates() > 0 {
            last_occupied = now;
        }
        view.without_candidate = now - last_occupied;
        // A leader that knows no engines yet would order nothing.
        let knows_engines = site.catalog().is_some() && site.listed.get();
        let is_informed = knows_engines && now >= STARTUP_DELAY + view.round;
        if leadership.released.get() || is_informed && view.joins() {
            return;
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

async fn maintain_membership(leadership: &Rc<Leadership>) -> End {
    let site = &leadership.site;
    let joined = site.now();
    leadership.hand_over_requested.set(false);
    tracing::info!(target: "duty", room = site.control_capacity().0, "became a candidate");
    let mut confirmed = None;
    // This clock also counts time during which the process is suspended.
    let mut renewed = clock::now();
    let mut token = Token::default();
    let mut client = HttpClient::new(site.settings.load().store.addr);
    let mut was_down = false;
    let mut before = site.traffic.totals();
    while !leadership.released.get() {
        site.candidate_status.set(CandidateStatus::new(
            Some(joined),
            confirmed,
            lease(site),
            site.now(),
        ));
        let sent_at = clock::now();
        let lapse = sent_at.saturating_sub(renewed);
        if lapse >= lease(site) && confirmed.is_some() && is_own_fault(site, lapse) {
            return End::Lapsed;
        }
        let reply = join(site, &mut client, token).await;
        if leadership.released.get() {
            break;
        }
        match reply {
            Ok((assigned, membership)) => {
                if std::mem::take(&mut was_down) {
                    tracing::info!(target: "duty",
                        "membership of the candidate group confirmed again");
                }
                token = assigned;
                before = site.traffic.totals();
                confirmed = Some(site.now());
                renewed = sent_at;
                if clock::now().saturating_sub(sent_at) > SLOW_ANSWER {
                    site.note_store_error();
                }
                site.candidate_status.set(CandidateStatus::Candidate);
                leadership.handle_assignment(
                    membership.parts.contains(&LEADER_PARTITION),
                    token,
                    sent_at,
                );
            }
            Err(why) => {
                if !std::mem::replace(&mut was_down, true) {
                    log_unconfirmed(leadership, &why, confirmed, before);
                }
                site.note_store_error();
                client = HttpClient::new(site.settings.load().store.addr);
                tokio::time::sleep(JOIN_RETRY_DELAY).await;
                continue;
            }
        }
        if leadership.hand_over_requested.take() && leadership.leader_term.borrow().is_held() {
            return End::OutOfReach;
        }
        if view(site).leaves() {
            return End::Unneeded;
        }
        let pause = leadership.leader_term.borrow().renewal_delay(
            clock::now(),
            leadership.term_gap(),
            RENEWALS_PER_LEASE,
        );
        let _ = tokio::time::timeout(pause, leadership.renewal_due.notified()).await;
    }
    End::Released
}

/// Joins the group or renews the membership. `last` is the token of the last
/// assignment that this member received.
async fn join(
    site: &Site,
    client: &mut HttpClient,
    last: Token,
) -> Result<(Token, Membership), String> {
    let settings = site.settings.load_full();
    client.set_peer(settings.store.addr);
    let generation = last.generation_in(site.era.get().unwrap_or_default());
    let join = store::join(GROUP, &settings.name, TOPIC, lease(site), generation);
    match client.call(&join, &[], JOIN_TIMEOUT).await {
        Ok(reply) if reply.status == 200 => {
            site.note_era(reply.era);
            let membership = store::parse_join(&reply.body).map_err(|e| e.to_string())?;
            Ok((Token::new(reply.era, membership.generation), membership))
        }
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(error) => Err(error.to_string()),
    }
}

/// Whether a membership that was not confirmed for `lapse` was lost through this
/// host's own fault. A host that receives no other host's heartbeats is itself
/// cut off.
fn is_own_fault(site: &Site, lapse: Duration) -> bool {
    site.peers.count() > 1 && view(site).must_cool_down(lapse)
}

fn log_unconfirmed(
    leadership: &Leadership,
    why: &str,
    confirmed: Option<Duration>,
    before: Totals,
) {
    let site = &leadership.site;
    let traffic = site.traffic.totals().since(before);
    let confirmed_ms = confirmed.map(|at| (site.now() - at).as_millis() as u64);
    tracing::warn!(target: "duty", why, confirmed_ms, held = leadership.leader_term.borrow().is_held(),
        ?traffic, "membership of the candidate group not confirmed");
}
