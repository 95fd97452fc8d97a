//! Rejections of a brittle engine.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use marjoram_core::brittle::{MaxRejections, WINDOW};
use marjoram_core::wire::BrittleReport;

use crate::options::EngineOptions;

/// Exit status of the process when it has rejected too many requests.
const EXIT_STATUS: i32 = 71;

/// The requests that an engine has rejected in the last [`WINDOW`].
pub struct Rejections {
    /// Most rejections that it can bear, if it is brittle.
    max: Option<u32>,
    /// From when on it lets no requests wait.
    enforced_from: Instant,
    recent: Mutex<Vec<Instant>>,
}

impl Rejections {
    pub fn new(opts: &EngineOptions) -> Self {
        Self {
            max: opts.brittle,
            enforced_from: Instant::now() + Duration::from_millis(opts.brittle_notice_ms),
            recent: Mutex::default(),
        }
    }

    /// Whether requests that would have to wait are rejected.
    pub fn is_enforced(&self) -> bool {
        self.max.is_some() && Instant::now() >= self.enforced_from
    }

    /// Records a rejection; ends the process if there are too many.
    pub fn record(&self) {
        self.recent.lock().unwrap().push(Instant::now());
        let count = self.count();
        if self.max.is_some_and(|max| count > max) {
            tracing::error!(target: "engine", "engine: failing after {count} rejections in a second.");
            std::process::exit(EXIT_STATUS);
        }
    }

    /// What the load report states of it.
    pub fn report(&self, slots: usize) -> Option<BrittleReport> {
        let max_rejections = MaxRejections(self.max?);
        Some(BrittleReport { slots: slots as u32, max_rejections, rejections: self.count() })
    }

    fn count(&self) -> u32 {
        let mut recent = self.recent.lock().unwrap();
        recent.retain(|at| at.elapsed() < WINDOW);
        recent.len() as u32
    }
}
