//! How long the platform's store has been sound, now and before.
//!
//! Load pattern: the store fails or slows down while engines are still on
//! weights that were replaced long ago, since hosts were stopped in turn and
//! the duty of ordering moved with them. The operators' bound on weights runs
//! in one stretch in which the store is sound. A host that looks only at the
//! stretch that lasts now takes weights into use again whose bound had passed
//! before the trouble.
//!
//! A host may also meet trouble that is its own: its link or its processor is
//! loaded, one connection has fallen silent. Taken for the store's, that keeps
//! replaced weights in use past their bound, at that host alone. So trouble is
//! the store's once a share of the hosts have met it.
//!
//! Limits: a stretch ends with the last good answer before the trouble, so it
//! is never taken to be longer than it was; short ones and old ones, which
//! cannot reach a bound, are forgotten.

use std::collections::VecDeque;
use std::time::Duration;

/// Shortest stretch that is remembered.
const SHORTEST: Duration = Duration::from_secs(2);

/// Stretches remembered.
const MOST: usize = 16;

/// Share of the hosts that meet trouble of the store's: it may turn away a
/// third of them and serve the others. Two of them at least, so that no host
/// stands alone.
const WITNESSES: f64 = 0.2;
const FEWEST: usize = 2;

/// Time within which these meet it: a host calls the store every second or so.
const TOGETHER: Duration = Duration::from_secs(3);

/// How long ago the store itself was last in trouble, as a host takes it that
/// met some `own` ago; `others` says how long ago those of the other hosts that
/// met any last did, of `hosts` in all. A host that met none takes nobody's
/// word: two that were suspended at once have both waited for answers.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::soundness::agreed;
/// let secs = Duration::from_secs;
/// // One host of nine says little, two make it the store's.
/// assert_eq!(agreed(Some(secs(0)), [], 9), None);
/// assert_eq!(agreed(Some(secs(0)), [secs(1)], 9), Some(secs(1)));
/// assert_eq!(agreed(Some(secs(0)), [], 1), Some(secs(0)));
/// assert_eq!(agreed(None, [secs(0), secs(0)], 9), None);
/// ```
pub fn agreed(
    own: Option<Duration>,
    others: impl IntoIterator<Item = Duration>,
    hosts: usize,
) -> Option<Duration> {
    let own = own.filter(|age| *age <= TOGETHER)?;
    let share = (hosts as f64 * WITNESSES).ceil() as usize;
    let needed = share.max(FEWEST).min(hosts.max(1));
    let mut met: Vec<Duration> = others.into_iter().filter(|age| *age <= TOGETHER).collect();
    met.push(own);
    met.sort_unstable();
    met.get(needed - 1).copied()
}

/// A stretch in which the store was sound.
#[derive(Debug, Clone, Copy)]
struct Stretch {
    /// When it began; `None` if before this process started.
    begun: Option<Duration>,
    /// The last good answer in it.
    end: Duration,
}

/// When the store has been sound, as far as this host knows.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::soundness::Soundness;
/// let secs = Duration::from_secs;
/// let mut store = Soundness::new();
/// store.good(secs(19));
/// store.trouble(secs(20));
/// // Sound for 13 of the 22 seconds since a moment 22 seconds ago, in one
/// // stretch, and for two since the trouble.
/// assert_eq!(store.past(secs(22), secs(28)), secs(13));
/// assert_eq!(store.lasts(secs(22)), secs(2));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Soundness {
    troubled: Option<Duration>,
    good: Duration,
    past: VecDeque<Stretch>,
}

impl Soundness {
    /// No trouble known.
    pub fn new() -> Self {
        Self::default()
    }

    /// The store answered in time at `now`.
    pub fn good(&mut self, now: Duration) {
        self.good = self.good.max(now);
    }

    /// The store was in trouble at `now`; an earlier moment is no news.
    pub fn trouble(&mut self, now: Duration) {
        if self.troubled.is_some_and(|at| now <= at) {
            return;
        }
        let stretch = Stretch { begun: self.troubled, end: self.good };
        let length = self.good.saturating_sub(self.troubled.unwrap_or_default());
        if length >= SHORTEST {
            self.past.push_back(stretch);
        }
        if self.past.len() > MOST {
            self.past.pop_front();
        }
        self.troubled = Some(now);
    }

    /// How long it has been sound at `now` without a break.
    pub fn lasts(&self, now: Duration) -> Duration {
        self.troubled.map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    /// The longest that it was sound without a break, before the last trouble,
    /// in the `span` before `now`.
    pub fn past(&self, span: Duration, now: Duration) -> Duration {
        let within = |stretch: &Stretch| {
            let since = span.saturating_sub(now.saturating_sub(stretch.end));
            stretch.begun.map_or(since, |begun| since.min(stretch.end.saturating_sub(begun)))
        };
        self.past.iter().map(within).max().unwrap_or_default()
    }
}
