//! Counters and histograms, exported as text.
//!
//! Counters use a `cadence` client. Its sink here keeps sums in memory for the
//! metrics endpoint instead of sending statsd lines to a collector.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{CountedExt, MetricSink, StatsdClient};
use hdrhistogram::Histogram;

/// Largest value of the histograms, in milliseconds; longer times count as this.
const MAX_MS: u64 = 60_000;

/// Name of the histogram of request times, from the first byte of the request to
/// the end of the answer.
pub const REQUEST: &str = "request";

/// A statsd sink that sums up the counters.
#[derive(Debug, Clone, Default)]
struct Sums(Arc<Mutex<BTreeMap<String, i64>>>);

impl MetricSink for Sums {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let parsed = metric.split_once(':').and_then(|(name, rest)| {
            let (value, _) = rest.split_once('|')?;
            Some((name, value.parse::<i64>().ok()?))
        });
        if let (Some((name, value)), Ok(mut sums)) = (parsed, self.0.lock()) {
            match sums.get_mut(name) {
                Some(sum) => *sum += value,
                None => drop(sums.insert(name.to_string(), value)),
            }
        }
        Ok(metric.len())
    }
}

/// Counters and histograms of one process.
pub struct Counters {
    client: StatsdClient,
    sums: Sums,
    times: Mutex<BTreeMap<&'static str, Histogram<u32>>>,
}

impl Counters {
    /// Counters at zero.
    pub fn new() -> Self {
        let sums = Sums::default();
        let client = StatsdClient::from_sink("marjoram", sums.clone());
        Self { client, sums, times: Mutex::default() }
    }

    /// Adds one to the counter `name`.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Number of requests that have ended.
    pub fn requests(&self) -> u64 {
        self.times.lock().ok().and_then(|t| Some(t.get(REQUEST)?.len())).unwrap_or_default()
    }

    /// Adds `took` to the histogram `name`.
    pub fn time(&self, name: &'static str, took: Duration) {
        let Ok(mut times) = self.times.lock() else { return };
        let new = || Histogram::new_with_bounds(1, MAX_MS, 2).expect("valid bounds");
        let ms = (took.as_millis() as u64).clamp(1, MAX_MS);
        times.entry(name).or_insert_with(new).saturating_record(ms);
    }

    /// All counters and histograms as text, with a name and a value on each line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Ok(sums) = self.sums.0.lock() {
            for (name, sum) in sums.iter() {
                let _ = writeln!(text, "{} {sum}", name.replace('.', "_"));
            }
        }
        if let Ok(times) = self.times.lock() {
            for (name, histogram) in times.iter() {
                let _ = writeln!(text, "marjoram_{name}_ms_count {}", histogram.len());
                for (label, quantile) in [("0.5", 0.5), ("0.95", 0.95), ("0.99", 0.99)] {
                    let value = histogram.value_at_quantile(quantile);
                    let _ = writeln!(text, "marjoram_{name}_ms{{quantile=\"{label}\"}} {value}");
                }
            }
        }
        text
    }
}
