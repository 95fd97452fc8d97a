//! Distinguishes an upstream that is down from a host that has lost its link to
//! it, and selects the path of new connections.
//!
//! Load pattern: some hosts, at times most of a data centre, lose their links to
//! all upstreams or to those of one service for seconds. Callers, the platform's
//! store and the other hosts still reach them. A host that took this for a failure
//! of the upstreams tried four of them for 300 ms each, refused every request after
//! 1.2 s, and reported healthy upstreams unreachable to the others.
//!
//! Evidence: a connect that fails at one host and succeeds through another at the
//! same time shows that the link is lost; one that fails at both shows that the
//! upstream is down if the other host reaches other upstreams at that time, or this
//! one does where no other host can tell. Without that the cause is unknown: other
//! hosts may have lost their links at the same moment, and do not know it yet. While a link is lost, connections go through
//! another host, which passes bytes on in both directions. A host that has lost the
//! links to half of a service's upstreams is cut off from the service and says so in its
//! heartbeats: it is not asked to relay, its reports on these upstreams are not sent,
//! and callers are named other hosts if enough of them are left.
//! A host that does not use its links does not notice that they are lost, and one that
//! uses a few of them may not count as cut off. What it says of itself is therefore no
//! proof: a host that could not relay is asked after the others for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay after which a connect is also tried over the next path, in parallel.
/// Within a region a connect takes a few milliseconds.
pub const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Other hosts that are asked to relay one connection.
pub const MAX_RELAYS: usize = 3;

/// Other hosts that must have failed to reach an upstream, and reach others, before
/// no further host is asked.
const CONFIRMATIONS: usize = 2;

/// Bounds of the time between two direct connects over a lost link; it doubles with
/// each failure.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(400);
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Fewest lost links by which a host counts as cut off from a service with several
/// upstreams: one alone may be the upstream's fault.
const MIN_LOST_LINKS: usize = 2;

/// How a new connection to an upstream is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Over this host's own link first.
    Direct,
    /// Only through other hosts.
    Relayed,
    /// Over both at once, to find out whether the link works again at no cost for
    /// the request.
    Both,
}

/// The state of a host's link to one upstream.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::reach::{Link, Path};
/// let ms = Duration::from_millis;
/// let mut link = Link::default();
/// assert_eq!(link.path(ms(0)), Path::Direct);
/// link.lost(ms(100));
/// assert_eq!(link.path(ms(200)), Path::Relayed);
/// assert_eq!(link.path(ms(600)), Path::Both);
/// link.restored();
/// assert_eq!(link.path(ms(700)), Path::Direct);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Link {
    /// When a direct connect is tried again, and the time between tries, while the
    /// link is lost.
    retry: Option<(Duration, Duration)>,
}

impl Link {
    /// Whether the link is lost.
    pub fn is_lost(&self) -> bool {
        self.retry.is_some()
    }

    /// Records that the upstream was reached through another host only. Returns
    /// whether the link was not known to be lost before.
    pub fn lost(&mut self, now: Duration) -> bool {
        let interval = match self.retry {
            None => MIN_RETRY_INTERVAL,
            Some((_, interval)) => (interval * 2).min(MAX_RETRY_INTERVAL),
        };
        let known = self.retry.replace((now + interval, interval));
        known.is_none()
    }

    /// Records that a direct connect has succeeded. Returns whether the link was
    /// lost before.
    pub fn restored(&mut self) -> bool {
        self.retry.take().is_some()
    }

    /// The path that a connection opened at `now` would take.
    pub fn path(&self, now: Duration) -> Path {
        match self.retry {
            None => Path::Direct,
            Some((retry, _)) if now < retry => Path::Relayed,
            Some(_) => Path::Both,
        }
    }

    /// The path for a connection that is opened at `now`. If a lost link is tried
    /// again with it, no other one tries that link until it has failed.
    pub fn begin_connect(&mut self, now: Duration) -> Path {
        let path = self.path(now);
        if let (Path::Both, Some((retry, interval))) = (path, &mut self.retry) {
            *retry = now + *interval;
        }
        path
    }
}

/// How long a host that could not relay a connection is asked after the others.
const FAILED_RELAY_TTL: Duration = Duration::from_secs(2);

/// Other hosts that could not relay a connection recently, by service.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::reach::FailedRelays;
/// let (mut failed, host, ms) = (FailedRelays::default(), ([127, 0, 0, 1], 80).into(), Duration::from_millis);
/// failed.record(host, 7, ms(100));
/// assert!(failed.contains(host, 7, ms(2_000)) && !failed.contains(host, 8, ms(2_000)));
/// assert!(!failed.contains(host, 7, ms(2_100)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct FailedRelays(HashMap<(SocketAddr, u64), Duration>);

impl FailedRelays {
    /// Records that `host` could not relay a connection to an upstream of `service`.
    pub fn record(&mut self, host: SocketAddr, service: u64, now: Duration) {
        self.0.retain(|_, at| now < *at + FAILED_RELAY_TTL);
        self.0.insert((host, service), now);
    }

    /// Whether `host` could not relay a connection to an upstream of `service` recently.
    pub fn contains(&self, host: SocketAddr, service: u64, now: Duration) -> bool {
        self.0.get(&(host, service)).is_some_and(|at| now < *at + FAILED_RELAY_TTL)
    }
}

/// Whether a host is cut off from a service: it has lost `lost` of its links to the
/// service's `upstreams` upstreams.
///
/// ```
/// use marjoram_core::reach::is_cut_off;
/// assert!(is_cut_off(2, 4) && is_cut_off(1, 1));
/// assert!(!is_cut_off(1, 2) && !is_cut_off(2, 5) && !is_cut_off(0, 0));
/// ```
pub fn is_cut_off(lost: usize, upstreams: usize) -> bool {
    lost >= MIN_LOST_LINKS.min(upstreams).max(1) && lost * 2 >= upstreams
}

/// How a connect ended over one path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connect {
    /// It is not tried.
    NotTried,
    /// It has not ended.
    Pending,
    /// It succeeded.
    Connected,
    /// The upstream refused it, or did not answer. A host that was asked to relay it
    /// reaches other upstreams.
    Failed,
    /// The host that was asked to relay it did not try, or reaches no other upstream
    /// either.
    Unavailable,
}

/// What the connects to one upstream show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// Some connects have not ended, or another host is to be asked.
    Undecided,
    /// The link works.
    LinkWorks,
    /// The link is lost; the upstream is reached through another host.
    LinkLost,
    /// Hosts that reach other upstreams do not reach this one.
    UpstreamDown,
    /// Neither this host nor those that it asked are known to have a link.
    Unknown,
}

/// Concludes from how a direct connect ended, and those through other hosts. `more`:
/// there are other hosts that have not been asked.
///
/// ```
/// use marjoram_core::reach::{Conclusion, Connect, conclude};
/// use Connect::{Connected, Failed, Pending, Unavailable};
/// assert_eq!(conclude(Pending, &[Unavailable, Connected], true), Conclusion::LinkLost);
/// assert_eq!(conclude(Failed, &[Failed, Failed], true), Conclusion::UpstreamDown);
/// assert_eq!(conclude(Failed, &[Unavailable], true), Conclusion::Undecided);
/// assert_eq!(conclude(Failed, &[Unavailable], false), Conclusion::Unknown);
/// assert_eq!(conclude(Failed, &[], false), Conclusion::Unknown);
/// ```
pub fn conclude(direct: Connect, relayed: &[Connect], more: bool) -> Conclusion {
    let count = |wanted| relayed.iter().filter(|c| **c == wanted).count();
    let pending = direct == Connect::Pending || count(Connect::Pending) > 0;
    match direct {
        Connect::Connected => Conclusion::LinkWorks,
        _ if count(Connect::Connected) > 0 => Conclusion::LinkLost,
        Connect::Failed if count(Connect::Failed) >= CONFIRMATIONS => Conclusion::UpstreamDown,
        _ if pending || more => Conclusion::Undecided,
        _ if count(Connect::Failed) > 0 => Conclusion::UpstreamDown,
        _ => Conclusion::Unknown,
    }
}

/// Whether callers are named the hosts that are cut off from all services too:
/// fewer than half of the `open` hosts are not, and would have to take the load of
/// all.
///
/// ```
/// use marjoram_core::reach::names_cut_off;
/// assert!(!names_cut_off(9, 4) && names_cut_off(9, 5));
/// ```
pub fn names_cut_off(open: usize, cut_off: usize) -> bool {
    cut_off * 2 > open
}
