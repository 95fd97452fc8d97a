//! The requests that are sent to no upstream for now.

use std::collections::HashMap;
use std::time::Duration;

use super::{Evidence, Verdict};
use crate::fingerprint::Fingerprint;

/// How long after its term a request is remembered: the next crash under it
/// suffices then to keep it away again.
const PAROLE: Duration = Duration::from_secs(24 * 3_600);

/// Requests kept; the one whose term ends first yields.
const MOST: usize = 1_024;

/// What became of a verdict that was learnt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is new; the request that had to yield to it, if one had to.
    New(Option<Fingerprint>),
    /// It was known, or a later one is.
    Known,
    /// It no longer matters.
    Over,
}

/// The requests that are kept from upstreams. Times are since the Unix epoch:
/// verdicts outlive the hosts that found them.
///
/// Limits: a request that is innocent after all, or has been mended, would stay
/// away for good if its term began anew whenever it is asked for; one that is
/// not costs an upstream each time it is tried. So terms end, and double.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::fingerprint::Fingerprint;
/// use marjoram_core::poison::{Admission, Quarantine, TERM, Verdict};
/// let mut quarantine = Quarantine::new();
/// let now = Duration::from_secs(1_000_000);
/// let verdict = Verdict::new(Fingerprint(7), vec![1, 2, 3], now);
/// assert_eq!(quarantine.admit(verdict, now), Admission::New(None));
/// assert_eq!(quarantine.refuses(Fingerprint(7), now), Some(TERM));
/// assert_eq!(quarantine.refuses(Fingerprint(7), now + TERM), None);
/// assert_eq!(quarantine.refuses(Fingerprint(8), now), None);
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    verdicts: HashMap<Fingerprint, Verdict>,
}

impl Quarantine {
    /// Nothing kept away.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests remembered, kept away or not.
    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    /// Verdicts there have been on those remembered: hosts that know the same
    /// have the same number.
    pub fn extent(&self) -> u64 {
        self.verdicts.values().map(|v| u64::from(v.strikes) + 1).sum()
    }

    /// Takes in a verdict learnt at `now`.
    pub fn admit(&mut self, verdict: Verdict, now: Duration) -> Admission {
        if now >= verdict.until() + PAROLE {
            return Admission::Over;
        }
        match self.verdicts.get(&verdict.request) {
            Some(known) if known.strikes >= verdict.strikes => return Admission::Known,
            _ => {}
        }
        let full = self.len() >= MOST && !self.verdicts.contains_key(&verdict.request);
        let yields = match full {
            true => self.verdicts.values().min_by_key(|v| (v.until(), v.request)),
            false => None,
        };
        let yields = yields.map(|v| v.request);
        if let Some(request) = yields {
            self.verdicts.remove(&request);
        }
        self.verdicts.insert(verdict.request, verdict);
        Admission::New(yields)
    }

    /// For how long from `now` on `request` is kept away.
    pub fn refuses(&self, request: Fingerprint, now: Duration) -> Option<Duration> {
        let left = self.verdicts.get(&request)?.until().checked_sub(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// The verdict on a request that was tried once more after its term, and
    /// under which an upstream crashed again, as `evidence` tells at `now`.
    pub fn relapse(&self, evidence: &Evidence, now: Duration) -> Option<Verdict> {
        let former = self.verdicts.get(&evidence.request)?;
        let tried = now.checked_sub(former.until())?;
        // It ran to its end since: this crash has another cause.
        let mended = evidence.well.is_some_and(|age| age < tried);
        let verdict = Verdict {
            request: evidence.request,
            upstreams: vec![evidence.upstream],
            at: now,
            strikes: former.strikes + 1,
        };
        (!mended).then_some(verdict)
    }

    /// Forgets those that no longer matter at `now`.
    pub fn expire(&mut self, now: Duration) -> Vec<Fingerprint> {
        let over = self.verdicts.values().filter(|v| now >= v.until() + PAROLE);
        let over: Vec<Fingerprint> = over.map(|v| v.request).collect();
        for request in &over {
            self.verdicts.remove(request);
        }
        over
    }

    /// All verdicts remembered.
    pub fn verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.values()
    }
}
