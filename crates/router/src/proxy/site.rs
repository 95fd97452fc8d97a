//! State that the parts of one process share. Nothing here imports those parts.

mod notices;
mod poison;
mod quotas;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use marjoram_core::budget::{Allowance, Budget};
use marjoram_core::candidacy::Room;
use marjoram_core::catalog::Catalog;
use marjoram_core::era::Era;
use marjoram_core::host::HostSettings;
use marjoram_core::news::Digest;
use marjoram_core::policy::PolicyName;
use marjoram_core::rollout::Named;
use marjoram_core::soundness::{self, Soundness};
use marjoram_core::stop::Stop;
use marjoram_core::switches::{Mechanism, Switches};
use marjoram_core::tenure::Stance;
use marjoram_core::upstream::Registry;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::counters::Counters;
use super::fleet::Fleet;
use super::hosts::Peers;
use super::relays::Relays;
use super::stores::Stores;
use super::traffic::Traffic;
pub use notices::Notices;
pub use poison::{Broken, Poison};
pub use quotas::Quotas;

/// Everything that the parts of one process share.
pub struct Site {
    /// Checked settings; replaced when the file changes.
    pub settings: ArcSwap<HostSettings>,
    /// How engines are chosen.
    pub policy: PolicyName,
    /// Which mechanisms of the decisions are in use.
    pub switches: Switches,
    /// Counts choices, for policies that take turns.
    pub turn: Cell<u64>,
    /// The configuration in force.
    pub catalog: ArcSwapOption<Catalog>,
    /// Upstreams as the store lists them.
    pub registry: RefCell<Registry>,
    /// Upstreams.
    pub fleet: Fleet,
    /// The other hosts.
    pub peers: Peers,
    /// Weights named, by model.
    pub named: RefCell<HashMap<String, Named>>,
    /// The stores of prompt caches.
    pub stores: Stores,
    /// Events of caches to be told to other hosts.
    pub news: RefCell<Digest>,
    /// What hosts read of the registry for each other.
    pub relays: Relays,
    /// What this host tells of engines that change their weights.
    pub notices: Notices,
    /// Requests that crash upstreams.
    pub poison: Poison,
    /// What workspaces may send, and have sent.
    pub quotas: Quotas,
    /// Counters and histograms.
    pub counters: Counters,
    /// What is sent and received beside callers' requests.
    pub traffic: Rc<Traffic>,
    /// The process is stopping.
    pub stopping: Cell<Option<Stop>>,
    /// The upstreams have been listed once.
    pub listed: Cell<bool>,
    /// What hosts have written down for each other has been read, or waited for.
    pub recalled: Cell<bool>,
    /// The newest era of the store that was met.
    pub era: Cell<Option<Era>>,
    /// When this host last saw a store error.
    pub store_error: Cell<Option<Duration>>,
    /// When the store has been sound, by what all hosts met.
    pub soundness: RefCell<Soundness>,
    /// Since when other hosts are known to know more.
    pub behind: Cell<Option<Duration>>,
    /// How this host stands to the duty of ordering weights.
    pub stance: Cell<Stance>,
    /// Until when this host leaves that duty to others.
    pub rest: Cell<Duration>,
    /// Told when the process stops taking connections.
    pub stop: Notify,
    /// Told when the store answers again, returned from a copy, or has another
    /// address.
    pub regained: Notify,
    /// Told when weights are named or upstreams change.
    pub duty: Notify,
    /// Requests being handled.
    pub handled: Cell<u32>,
    budgets: RefCell<HashMap<String, Budget>>,
    start: Instant,
}

impl Site {
    /// State for `settings`, before anything is known.
    pub fn new(settings: HostSettings, policy: PolicyName, switches: Switches) -> Rc<Self> {
        let traffic = Rc::new(Traffic::default());
        let peers = Peers::new(&settings, traffic.clone());
        Rc::new(Self {
            settings: ArcSwap::from_pointee(settings),
            policy,
            switches,
            turn: Cell::default(),
            catalog: ArcSwapOption::empty(),
            registry: RefCell::default(),
            fleet: Fleet::default(),
            peers,
            named: RefCell::default(),
            stores: Stores::default(),
            news: RefCell::default(),
            relays: Relays::default(),
            notices: Notices::default(),
            poison: Poison::default(),
            quotas: Quotas::default(),
            counters: Counters::new(),
            traffic,
            stopping: Cell::default(),
            listed: Cell::default(),
            recalled: Cell::default(),
            era: Cell::default(),
            store_error: Cell::default(),
            soundness: RefCell::default(),
            behind: Cell::default(),
            stance: Cell::default(),
            rest: Cell::default(),
            stop: Notify::new(),
            regained: Notify::new(),
            duty: Notify::new(),
            handled: Cell::default(),
            budgets: RefCell::default(),
            start: Instant::now(),
        })
    }

    /// Whether `mechanism` is in use.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.switches.has(mechanism)
    }

    /// Time since the process started, on the steady clock.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The moment `now` of the steady clock.
    pub fn at(&self, now: Duration) -> Instant {
        self.start + now
    }

    /// This host's room for the duty of ordering weights.
    pub fn room(&self) -> Room {
        match self.now() < self.rest.get() {
            true => Room::default(),
            false => self.settings.load().capacity.room(),
        }
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let knows = self.catalog.load().is_some() && self.listed.get() && self.recalled.get();
        self.stopping.get().is_none() && knows
    }

    /// Takes in the era of an answer of the store; whether it holds still.
    /// Positions read in an earlier one are void from here on.
    pub fn note_era(&self, era: Era) -> bool {
        let known = self.era.get();
        if known < Some(era) {
            self.era.set(Some(era));
            if let Some(before) = known {
                tracing::warn!(target: "store", %era, %before,
                    "store returned from a copy, all is listed anew");
                self.regained.notify_waiters();
            }
        }
        known <= Some(era)
    }

    /// The store failed a call of this host, or was slow.
    pub fn note_store_error(&self) {
        self.store_error.set(Some(self.now()));
        self.judge_store();
    }

    /// Takes in what all hosts have met of the store.
    pub fn judge_store(&self) {
        let Some(met) = self.store_error.get() else { return };
        let now = self.now();
        let own = Some(now.saturating_sub(met));
        let (others, hosts) = self.peers.store_errors(now);
        if let Some(age) = soundness::agreed(own, others, hosts + 1) {
            self.soundness.borrow_mut().note_error(now.saturating_sub(age));
        }
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Counts a caller's request for `service`.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.request(now));
    }

    /// Whether a request for `service` may be sent once more.
    pub fn may_repeat(&self, service: &str) -> bool {
        let (now, hosts) = (self.now(), self.peers.count());
        self.with_budget(service, |budget| budget.repeat(now, hosts))
    }

    /// Whether a request for `service` might be sent once more.
    pub fn might_repeat(&self, service: &str) -> bool {
        let (now, hosts) = (self.now(), self.peers.count());
        self.with_budget(service, |budget| budget.has_room(now, hosts))
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            let bounds = &self.settings.load().bounds;
            let allowance = Allowance {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                window: bounds.retry_window,
            };
            budgets.insert(service.to_string(), Budget::new(allowance));
        }
        act(budgets.get_mut(service).expect("just inserted"))
    }
}
