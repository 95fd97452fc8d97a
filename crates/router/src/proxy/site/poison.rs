//! What a host knows about requests that crash upstreams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use marjoram_core::exchange::PartId;
use marjoram_core::fingerprint::Fingerprint;
use marjoram_core::poison::{
    BrokenRequest, HeldParts, PART_COMPLETION_WINDOW, PartSuspects, Quarantine, Quarantined,
    RecentCompletions, Suspects, part_set,
};
use marjoram_core::upstream::Instance;
use tokio::sync::Notify;

/// Most quarantine entries in one heartbeat, at about 90 bytes each.
const MAX_IN_HEARTBEAT: usize = 32;

/// What a host knows about requests that crash upstreams.
#[derive(Default)]
pub struct Poison {
    /// Requests that were in flight at crashes.
    pub suspects: RefCell<Suspects>,
    /// Parts of prompts that were in flight at crashes.
    pub suspected_parts: RefCell<PartSuspects>,
    /// Parts of prompts that detecting hosts may suspect.
    pub held_parts: RefCell<HeldParts>,
    /// Requests and sets of prompt parts that are not sent.
    pub quarantine: RefCell<Quarantine>,
    /// Requests whose connections broke, by upstreams not yet known to have
    /// crashed.
    pub broken: RefCell<HashMap<Instance, Vec<BrokenRequest>>>,
    /// Requests that completed recently.
    pub recently_completed: RefCell<RecentCompletions>,
    /// When answers to prompts were last completed, by the parts of these.
    pub completed_parts: RefCell<RecentCompletions>,
    /// When any answer to a prompt was last completed, since the Unix epoch.
    pub prompt_completed: Cell<Option<Duration>>,
    /// Quarantine entries learnt recently, for heartbeats.
    pub recent_entries: RefCell<Vec<(Quarantined, Duration)>>,
    /// Incremented when received reports may complete a suspect's crashes, so
    /// that the detection task checks again.
    pub recheck_count: Cell<u64>,
    /// Whether that task is running.
    pub detecting: Cell<bool>,
    /// Records to be written to the store; `None` deletes the record.
    pub writes: RefCell<HashMap<Fingerprint, Option<Quarantined>>>,
    /// Notified when there are records to be written.
    pub write_requested: Notify,
}

impl Poison {
    /// Records that `request` completed at `now`.
    pub fn record_completion(&self, request: Fingerprint, now: Duration) {
        self.recently_completed.borrow_mut().record(request, now);
        self.suspects.borrow_mut().clear(request);
    }

    /// Records that an answer to a prompt with the shared `parts` was completed at `now`,
    /// and `wall` since the Unix epoch.
    pub fn record_parts_completion(&self, parts: &[PartId], now: Duration, wall: Duration) {
        self.prompt_completed.set(Some(wall));
        let mut completed = self.completed_parts.borrow_mut();
        let mut suspected = self.suspected_parts.borrow_mut();
        for part in parts {
            completed.record(part_set(&[*part]), now);
            suspected.record_completion(*part, wall);
        }
    }

    /// How long before `now` an answer to a prompt with `part` was last completed here, if
    /// that still speaks for the part.
    pub fn part_completion_age(&self, part: PartId, now: Duration) -> Option<Duration> {
        let age = self.completed_parts.borrow().age(part_set(&[part]), now);
        age.filter(|age| *age < PART_COMPLETION_WINDOW)
    }

    /// Whether prompts with `parts` are not sent at `now`: one of them was in flight at
    /// crashes that are not decided on, here or at the detecting hosts, or at an upstream
    /// that is being checked, and no completed answer speaks for it.
    pub fn are_withheld(&self, parts: &[PartId], now: Duration) -> bool {
        let (suspected, broken) = (self.suspected_parts.borrow(), self.broken.borrow());
        let held = self.held_parts.borrow();
        if suspected.is_empty() && broken.is_empty() && held.is_empty() {
            return false;
        }
        let broke = |part: PartId| broken.values().flatten().any(|b| b.parts.contains(&part));
        let waits =
            |part: PartId| suspected.withholds(part, now) || held.holds(part, now) || broke(part);
        parts.iter().any(|part| waits(*part) && self.part_completion_age(*part, now).is_none())
    }

    /// Holds those of `parts` back for `span` for which no completed answer speaks here.
    pub fn hold_parts(&self, parts: impl Iterator<Item = PartId>, span: Duration, now: Duration) {
        let mut held = self.held_parts.borrow_mut();
        for part in parts.filter(|part| self.part_completion_age(*part, now).is_none()) {
            held.hold(part, now + span);
        }
    }

    /// Whether `request` was in flight at a crash, as far as this host knows.
    pub fn suspects(&self, request: Fingerprint) -> bool {
        self.suspects.borrow().contains(request)
    }

    /// Whether `request` is not sent for now: it was in flight at enough crashes
    /// and all hosts have yet to report on these, or it was in flight at one
    /// crash fewer and its last upstream is being checked.
    pub fn is_withheld(&self, request: Fingerprint) -> bool {
        let suspects = self.suspects.borrow();
        let broke = || self.broken.borrow().values().flatten().any(|b| b.request == request);
        suspects.withholds(request) || suspects.is_close(request) && broke()
    }

    /// Number of suspected requests and prompt parts, and of those that are in quarantine or were
    /// recently.
    pub fn counts(&self) -> (usize, usize) {
        let suspected = self.suspects.borrow().len() + self.suspected_parts.borrow().len();
        (suspected, self.quarantine.borrow().len())
    }

    /// Number of times that requests were put in quarantine: equal on hosts that
    /// know the same entries.
    pub fn quarantine_version(&self) -> u64 {
        self.quarantine.borrow().detection_count()
    }

    /// The quarantine entries in force.
    pub fn entries(&self) -> Vec<Quarantined> {
        self.quarantine.borrow().entries().cloned().collect()
    }

    /// The newest entries learnt within `span` before `now`, for heartbeats.
    pub fn newest_entries(&self, span: Duration, now: Duration) -> Vec<Quarantined> {
        let mut recent = self.recent_entries.borrow_mut();
        recent.retain(|(_, at)| now < *at + span);
        recent.iter().rev().take(MAX_IN_HEARTBEAT).map(|(entry, _)| entry.clone()).collect()
    }
}
