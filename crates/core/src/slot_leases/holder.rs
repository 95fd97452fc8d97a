//! The slots that this host holds.

use std::collections::HashMap;
use std::time::Duration;

use super::{HostKey, LEASE_TTL, REPORT_INTERVAL, SlotGrant, UpstreamKey};

/// Shortest time between two reports, which are sent early when this host needs more or fewer
/// slots.
const MIN_REPORT_GAP: Duration = Duration::from_millis(2);

/// Time between reports while the number of requests that wait changes.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Time without an answer after which a report is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(15);

/// Time without a grant after which a coordinator is replaced, and for which it is avoided.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1_000);
const AVOIDED_SPAN: Duration = Duration::from_secs(5);

/// Time that a coordinator is given to get a quorum before another one may be preferred.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without reports to a coordinator before the first one to the next: the leases of the
/// former have ended by then, and it counts this host no more.
const SWITCH_DELAY: Duration = Duration::from_millis(800);

/// How long slots that are not needed are kept while no other host waits for one.
const IDLE_SPAN: Duration = Duration::from_millis(100);

/// The slots of one brittle service that this host holds.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::slot_leases::SlotGrant;
/// use marjoram_core::slot_leases::holder::Holder;
/// let ms = Duration::from_millis;
/// let mut holder = Holder::default();
/// assert_eq!(holder.coordinator(|| vec![7, 8], ms(0)), Some(7));
/// holder.record_report(1, ms(10));
/// let grant = SlotGrant {
///     service: 1,
///     term: 5,
///     number: 1,
///     answers_us: 10_000,
///     leases: vec![(3, 2)],
///     is_contended: false,
///     has_quorum: true,
/// };
/// holder.apply(7, grant, ms(14));
/// assert!(holder.is_allowed(3, 1, ms(20)) && !holder.is_allowed(3, 2, ms(20)));
/// assert!(!holder.is_allowed(4, 0, ms(20)) && !holder.is_allowed(3, 1, ms(611)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Holder {
    coordinator: Option<Coordinator>,
    /// Coordinators that were silent, and until when they are avoided.
    avoided: HashMap<HostKey, Duration>,
    /// When the last report was sent, whichever coordinator it went to.
    last_report: Option<Duration>,
    /// The last report has been answered, or sent again.
    is_answered: bool,
    /// Most requests that recently needed slots, and when there were so many.
    peak: (usize, Duration),
    /// What the last report asked for.
    reported: usize,
    /// This host has to report as soon as it may.
    is_due: bool,
    /// Rejections since the start, by upstream, and when the last one was.
    rejected: HashMap<UpstreamKey, (u32, Duration)>,
}

/// The coordinator that this host reports to, and what it has granted.
#[derive(Debug, Clone, Default)]
struct Coordinator {
    host: HostKey,
    since: Duration,
    last_grant: Option<Duration>,
    grant: (u64, u32),
    leases: HashMap<UpstreamKey, u16>,
    /// When the newest report that it has answered was sent.
    answered: Duration,
    is_contended: bool,
    has_quorum: bool,
}

impl Coordinator {
    fn is_valid(&self, now: Duration) -> bool {
        now < self.answered + LEASE_TTL
    }

    fn is_silent(&self, now: Duration) -> bool {
        now >= self.last_grant.unwrap_or(self.since).max(self.since) + COORDINATOR_TIMEOUT
    }

    /// Whether another one may be preferred to it.
    fn lacks_quorum(&self, now: Duration) -> bool {
        !self.has_quorum && now >= self.since + QUORUM_TIMEOUT
    }
}

impl Holder {
    /// The coordinator to report to at `now`, if any; `ranked` names the hosts that may be, in
    /// order of preference, and is called only if another one may be needed.
    pub fn coordinator(
        &mut self,
        ranked: impl FnOnce() -> Vec<HostKey>,
        now: Duration,
    ) -> Option<HostKey> {
        self.avoided.retain(|_, until| now < *until);
        if let Some(current) = &self.coordinator {
            let (host, is_silent) = (current.host, current.is_silent(now));
            if !is_silent && !current.lacks_quorum(now) {
                return Some(host);
            }
            if is_silent {
                self.avoided.insert(host, now + AVOIDED_SPAN);
            }
            let preferred = self.preferred(&ranked())?;
            if preferred == host {
                return Some(host);
            }
            self.coordinator = None;
            return None;
        }
        if self.last_report.is_some_and(|at| now < at + SWITCH_DELAY) {
            return None;
        }
        let preferred = self.preferred(&ranked())?;
        self.coordinator = Some(Coordinator { host: preferred, since: now, ..Default::default() });
        self.is_due = true;
        Some(preferred)
    }

    /// Records that the process of `host` has ended: if it is the coordinator, it is replaced
    /// without waiting for its time-out.
    pub fn record_end(&mut self, host: HostKey, now: Duration) {
        if self.coordinator.take_if(|coordinator| coordinator.host == host).is_some() {
            self.avoided.insert(host, now + AVOIDED_SPAN);
        }
    }

    /// The first of `ranked` that is not avoided, or the first of all.
    fn preferred(&self, ranked: &[HostKey]) -> Option<HostKey> {
        let heard = ranked.iter().find(|host| !self.avoided.contains_key(host));
        heard.or(ranked.first()).copied()
    }

    /// Whether a request may be sent to `upstream`, where `running` of this host's requests are.
    pub fn is_allowed(&self, upstream: UpstreamKey, running: u32, now: Duration) -> bool {
        self.coordinator.as_ref().is_some_and(|coordinator| {
            let leased = coordinator.leases.get(&upstream).copied().unwrap_or_default();
            coordinator.is_valid(now) && running < u32::from(leased)
        })
    }

    /// Applies a grant of the host `from`.
    pub fn apply(&mut self, from: HostKey, grant: SlotGrant, now: Duration) {
        let Some(coordinator) = self.coordinator.as_mut().filter(|c| c.host == from) else {
            return;
        };
        let (term, number) = coordinator.grant;
        let answers = Duration::from_micros(grant.answers_us);
        let is_outdated = match term == grant.term {
            true => grant.number < number,
            false => answers < coordinator.answered,
        };
        if is_outdated {
            return;
        }
        let before = std::mem::take(&mut coordinator.leases);
        // A grant that does not take account of a rejection does not hold at that upstream.
        let is_informed =
            |key: &u64| self.rejected.get(key).is_none_or(|(_, rejected)| answers >= *rejected);
        let leases = grant.leases.into_iter().filter(|(key, _)| is_informed(key));
        coordinator.leases = leases.collect();
        coordinator.answered = match term == grant.term {
            true => coordinator.answered.max(answers),
            false => answers,
        };
        coordinator.last_grant = Some(now);
        coordinator.is_contended = grant.is_contended;
        coordinator.has_quorum = grant.has_quorum;
        coordinator.grant = (grant.term, grant.number);
        let leases = &coordinator.leases;
        let lost = |(key, slots): (&u64, &u16)| leases.get(key).is_none_or(|left| left < slots);
        // The coordinator counts slots that it has taken back as in use until it hears of it.
        self.is_due |= before.iter().any(lost);
        self.is_answered |= self.last_report.is_some_and(|at| answers >= at);
    }

    /// Records a send at `now` of a report that asks for `wanted` slots.
    pub fn record_report(&mut self, wanted: usize, now: Duration) {
        // A report that asks for the same is sent again once.
        self.is_answered = !self.is_due && wanted == self.reported;
        (self.last_report, self.reported, self.is_due) = (Some(now), wanted, false);
    }

    /// Records that a request was rejected by `upstream`, whose slots this host gives up.
    pub fn record_rejection(&mut self, upstream: UpstreamKey, now: Duration) {
        let (count, last) = self.rejected.entry(upstream).or_default();
        (*count, *last) = (*count + 1, now);
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.leases.remove(&upstream);
        }
        self.is_due = true;
    }

    /// Rejections by `upstream` since the start.
    pub fn rejected(&self, upstream: UpstreamKey) -> u32 {
        self.rejected.get(&upstream).map_or(0, |(count, _)| *count)
    }

    /// Slots that this host asks for at `now`, with `demand` requests that run or wait.
    pub fn wanted(&mut self, demand: usize, now: Duration) -> usize {
        let is_contended = self.coordinator.as_ref().is_some_and(|c| c.is_contended);
        if demand >= self.peak.0 || is_contended || now >= self.peak.1 + IDLE_SPAN {
            self.peak = (demand, now);
        }
        self.peak.0
    }

    /// When the next report is due, if this host asks for `wanted` slots at `now`.
    pub fn next_report(&self, wanted: usize, now: Duration) -> Duration {
        let Some(last) = self.last_report else { return Duration::ZERO };
        let leased = self.leases(now).map(|(_, slots)| usize::from(slots)).sum();
        let needs_more = wanted > leased && self.reported <= leased;
        let needs_fewer = wanted < leased && self.reported >= leased;
        match () {
            () if self.is_due || needs_more || needs_fewer => last + MIN_REPORT_GAP,
            () if !self.is_answered => last + RETRY_INTERVAL,
            () if wanted != self.reported => last + UPDATE_INTERVAL,
            () => last + REPORT_INTERVAL,
        }
    }

    /// Term and number of the newest grant applied.
    pub fn applied(&self) -> (u64, u32) {
        self.coordinator.as_ref().map(|c| c.grant).unwrap_or_default()
    }

    /// The slots held at `now`.
    pub fn leases(&self, now: Duration) -> impl Iterator<Item = (UpstreamKey, u16)> {
        let valid = self.coordinator.iter().filter(move |c| c.is_valid(now));
        valid.flat_map(|c| c.leases.iter().map(|(key, slots)| (*key, *slots)))
    }
}
