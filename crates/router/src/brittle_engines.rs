//! What this router knows of engines that state how few rejections they can bear.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use marjoram_core::brittle::{DEFAULT_WORK, MaxRejections, RecentRejections, Statement};
use marjoram_core::cache::Slot;
use marjoram_core::slot_leases::abandoned::AbandonedRequests;
use marjoram_core::wire::BrittleReport;

/// Weight of one sample in the moving average of the time that requests run.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Time after an engine's first statement in which requests are sent to it as before: half of the
/// time in which it lets as many wait as before.
const TRANSITION: Duration = Duration::from_millis(1_500);

/// What this router knows of a brittle engine.
pub struct BrittleEngine {
    /// Its last report.
    pub report: BrittleReport,
    /// How many rejections it can bear.
    pub statement: Statement,
    /// This router's requests that it rejected.
    pub rejections: RecentRejections,
    /// This router's requests there that were given up.
    pub abandoned: AbandonedRequests,
    /// How long a request runs there.
    pub work: Duration,
    /// From when on requests are sent only to slots that this router holds.
    limited_from: Duration,
}

/// The brittle engines, by slot.
#[derive(Default)]
pub struct BrittleEngines {
    engines: Mutex<HashMap<Slot, BrittleEngine>>,
    /// When engines last reported without a statement.
    last_sound: Mutex<HashMap<Slot, Duration>>,
}

impl BrittleEngines {
    /// The engines, locked.
    pub fn lock(&self) -> MutexGuard<'_, HashMap<Slot, BrittleEngine>> {
        self.engines.lock().unwrap()
    }

    /// Records what the load report of the engine in `slot`, just received, states. True if
    /// the engine was not known to be brittle.
    pub fn record_report(&self, slot: Slot, report: Option<BrittleReport>, now: Duration) -> bool {
        let mut engines = self.lock();
        let mut last_sound = self.last_sound.lock().unwrap();
        let Some(report) = report else {
            engines.remove(&slot);
            last_sound.insert(slot, now);
            return false;
        };
        let is_new = !engines.contains_key(&slot);
        let engine = engines.entry(slot).or_insert_with(|| BrittleEngine {
            report,
            statement: Statement::default(),
            rejections: RecentRejections::default(),
            abandoned: AbandonedRequests::default(),
            work: DEFAULT_WORK,
            // Without a sound report the engine may have been brittle for long.
            limited_from: last_sound.get(&slot).map_or(now, |sound| *sound + TRANSITION),
        });
        engine.report = report;
        engine.statement.state(report.max_rejections, now);
        is_new
    }
}

impl BrittleEngine {
    /// Records that a request ran there for `took`.
    pub fn record_completion(&mut self, took: Duration) {
        self.work = self.work.mul_f64(1.0 - SAMPLE_WEIGHT) + took.mul_f64(SAMPLE_WEIGHT);
    }

    /// How many rejections it can bear, if it states so at `now`.
    pub fn max_rejections(&self, now: Duration) -> Option<MaxRejections> {
        self.statement.in_force(now)
    }

    /// Whether requests are sent only to its slots that this router holds.
    pub fn is_limited(&self, now: Duration) -> bool {
        self.max_rejections(now).is_some() && now >= self.limited_from
    }

    /// Whether it has recently rejected requests of any router.
    pub fn has_rejected(&self, now: Duration) -> bool {
        self.report.rejections + self.rejections.count(now) > 0
    }
}
