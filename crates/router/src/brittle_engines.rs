//! What this router knows of engines that state how few rejections they can bear.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use marjoram_core::brittle::{DEFAULT_WORK, Sends, Statement};
use marjoram_core::cache::Slot;
use marjoram_core::wire::BrittleReport;

/// Weight of one sample in the moving average of the time that requests run.
const SAMPLE_WEIGHT: f64 = 0.1;

/// What this router knows of a brittle engine.
pub struct BrittleEngine {
    /// Its last report.
    pub report: BrittleReport,
    /// How many rejections it can bear.
    pub statement: Statement,
    /// This router's sends.
    pub sends: Sends,
    /// How long a request runs there.
    pub work: Duration,
}

/// The brittle engines, by slot.
#[derive(Default)]
pub struct BrittleEngines(Mutex<HashMap<Slot, BrittleEngine>>);

impl BrittleEngines {
    /// The engines, locked.
    pub fn lock(&self) -> MutexGuard<'_, HashMap<Slot, BrittleEngine>> {
        self.0.lock().unwrap()
    }

    /// Records what the load report of the engine in `slot`, just received, states. True if
    /// the engine was not known to be brittle.
    pub fn record_report(&self, slot: Slot, report: Option<BrittleReport>, now: Duration) -> bool {
        let mut engines = self.lock();
        let Some(report) = report else {
            engines.remove(&slot);
            return false;
        };
        let is_new = !engines.contains_key(&slot);
        let engine = engines.entry(slot).or_insert_with(|| BrittleEngine {
            report,
            statement: Statement::default(),
            sends: Sends::default(),
            work: DEFAULT_WORK,
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

    /// Rejections that other routers recently got there.
    pub fn others(&self, now: Duration) -> u32 {
        self.report.rejections.saturating_sub(self.sends.rejections(now))
    }
}
