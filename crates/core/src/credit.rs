//! Divides the free places of an engine among the hosts that send to it.
//!
//! Load pattern: a burst of small prompts fills all engines, and each host knows the others'
//! requests half a second late. When an engine seems to have room again, or opens after a change
//! of weights, all hosts send to it at once: 250 requests in 0.1 s to an engine that holds 64.
//!
//! Each host earns credit at an engine for its share of the places that were free at the last
//! report, and spends one credit a request. As an engine fills up, all hosts earn less, so
//! together they send at most what it completes.

use std::time::Duration;

/// Most credit that a host keeps at one engine. More would let all hosts send several requests at
/// once to an engine that was idle.
const MAX_CREDIT: f64 = 1.0;

/// Requests at an engine for each of its slots up to which it has room for another: a batch that
/// runs, as many as it completes until hosts learn of it, and a batch that waits there.
const ROOM_PER_SLOT: f64 = 3.0;

/// Free places of an engine with `slots` slots at which all hosts together have `running` requests.
/// Negative if it has more than it has room for.
pub fn free_places(slots: u32, running: u32) -> f64 {
    f64::from(slots.max(1)) * ROOM_PER_SLOT - f64::from(running)
}

/// A host's credit at one engine.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::credit::Credit;
/// let ms = Duration::from_millis;
/// let mut credit = Credit::new(0.0, ms(0));
/// // 24 places among 75 hosts, reported every 500 ms.
/// let share = 24.0 / 75.0;
/// for at in [500, 1_000, 1_500] {
///     credit.earn(share, ms(500), ms(at));
/// }
/// assert!(!credit.is_enough());
/// credit.earn(share, ms(500), ms(2_000));
/// assert!(credit.is_enough());
/// credit.spend();
/// assert!(!credit.is_enough());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Credit {
    amount: f64,
    earned_at: Duration,
}

impl Credit {
    /// Starts with `amount` at `now`. Hosts start with different amounts below 1, so that they do
    /// not all earn enough at the same moment.
    pub fn new(amount: f64, now: Duration) -> Self {
        Self { amount: amount.clamp(0.0, MAX_CREDIT), earned_at: now }
    }

    /// Earns the credit since the last call: `share` free places, its part of those of the engine,
    /// for each `round` of reports. A longer time than a round counts as one: the engine was not
    /// used meanwhile, and the report is of its end.
    pub fn earn(&mut self, share: f64, round: Duration, now: Duration) {
        let rounds = now.saturating_sub(self.earned_at).div_duration_f64(round).min(1.0);
        self.amount = (self.amount + share.max(0.0) * rounds).min(MAX_CREDIT);
        self.earned_at = now;
    }

    /// Whether there is enough credit for a request.
    pub fn is_enough(&self) -> bool {
        self.amount >= MAX_CREDIT
    }

    /// Spends the credit of one request, whether there is enough or not. The debt is limited, so
    /// that requests sent without credit do not hold up later ones for long.
    pub fn spend(&mut self) {
        self.amount = (self.amount - 1.0).max(-MAX_CREDIT);
    }
}
