//! The operators' limit on the use of replaced weights, as it applies to a request.

use std::time::Duration;

use marjoram_core::rollout::AnnouncedVersions;
use marjoram_core::store_availability::StoreAvailability;

use super::Exchange;

/// Replaced weights stop getting new requests this long before the operators'
/// limit on their use: a request sent to an engine may queue there that long
/// before it begins, and it must begin before the limit.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);

/// A request that has not begun on replaced weights is cancelled this long before
/// that limit. Messages within a region take a few milliseconds, so the
/// cancellation arrives in time.
const CANCEL_MARGIN: Duration = Duration::from_millis(250);

/// The operators' limit on how long weights may be used after newer ones have
/// been announced.
///
/// Engines cannot be ordered to change weights while the platform's store is
/// unavailable. So the limit applies to each period without a store outage
/// separately: the time before an outage is not added to the time after it.
pub(super) struct ReplacedWeightsLimit {
    /// The versions announced for the model, and when.
    announced: AnnouncedVersions,
    /// Time after which replaced weights get no new requests: the operators'
    /// limit less [`WEIGHTS_MARGIN`].
    cutoff: Duration,
    /// When the store answered without errors.
    availability: StoreAvailability,
    now: Duration,
}

impl ReplacedWeightsLimit {
    /// Time after which replaced weights get no new requests.
    pub(super) fn cutoff(&self) -> Duration {
        self.cutoff
    }

    /// How long ago a newer version than `weights` was announced; zero if none was.
    pub(super) fn replaced_for(&self, weights: u64) -> Duration {
        self.announced.replaced(weights, self.now).unwrap_or_default()
    }

    /// How much of that time has passed since the last store outage.
    pub(super) fn elapsed(&self, weights: u64) -> Duration {
        self.replaced_for(weights).min(self.availability.error_free_for(self.now))
    }

    /// Whether `weights` may get new requests: the time allowed for them is not
    /// used up in the current period, and was not in an earlier one either.
    /// Without the second check, an outage would bring weights back into use.
    pub(super) fn allows(&self, weights: u64) -> bool {
        let before_outage =
            self.availability.longest_past_period(self.replaced_for(weights), self.now);
        self.elapsed(weights) < self.cutoff && before_outage < self.cutoff + WEIGHTS_MARGIN
    }

    /// How long a request on `weights` may wait before it begins; it is
    /// cancelled after that.
    pub(super) fn begin_within(&self, weights: u64) -> Duration {
        let used = self.elapsed(weights) + CANCEL_MARGIN;
        (self.cutoff + WEIGHTS_MARGIN).saturating_sub(used)
    }
}

impl Exchange {
    /// The limit on replaced weights of `model` at this moment.
    pub(super) fn replaced_weights_limit(&self, model: &str) -> ReplacedWeightsLimit {
        let now = self.site.now();
        ReplacedWeightsLimit {
            announced: self.site.announced_weights.borrow().get(model).cloned().unwrap_or_default(),
            cutoff: self.site.settings.load().bounds.weights.saturating_sub(WEIGHTS_MARGIN),
            availability: self.site.store_availability.borrow().clone(),
            now,
        }
    }
}
