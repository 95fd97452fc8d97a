//! The prefill throughput of an engine, measured from the prompts of all hosts.
//!
//! Engines of one service differ in speed, and some slow down when nearly full, so there are two
//! moving averages: below and above [`HIGH_FILL`].

use std::time::Duration;

/// Share of an engine's slots above which it counts as nearly full.
const HIGH_FILL: f64 = 0.75;

/// Fewest tokens of a sample: with fewer, the fixed time of an engine step dominates.
const MIN_SAMPLE: u64 = 2_000;

/// Weight of one sample in the moving averages: about the last five seconds of an engine count.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Bounds of a sample, in tokens a millisecond. A cache hit that was not expected, or a report
/// that was delayed, gives samples outside.
const PLAUSIBLE: std::ops::RangeInclusive<f64> = 2.0..=400.0;

/// Prefill throughput of one engine.
#[derive(Debug, Default)]
pub(super) struct Throughput {
    low_fill: Option<f64>,
    high_fill: Option<f64>,
}

impl Throughput {
    /// Records that `tokens` were prefilled in `took` with the share `fill` of the slots taken.
    pub(super) fn record(&mut self, tokens: u64, took: Duration, fill: f64) {
        let sample = tokens as f64 / (took.as_secs_f64() * 1e3).max(1.0);
        if tokens < MIN_SAMPLE || !PLAUSIBLE.contains(&sample) {
            return;
        }
        let average = if fill > HIGH_FILL { &mut self.high_fill } else { &mut self.low_fill };
        *average = Some(average.map_or(sample, |a| a + SAMPLE_WEIGHT * (sample - a)));
    }

    /// The throughput expected with the share `fill` of the slots taken, in tokens a millisecond;
    /// that at another fill if there is no sample for this one.
    pub(super) fn get(&self, fill: f64) -> Option<f64> {
        match fill > HIGH_FILL {
            true => self.high_fill.or(self.low_fill),
            false => self.low_fill.or(self.high_fill),
        }
    }
}
