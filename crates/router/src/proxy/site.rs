//! State shared by the parts of one process. This module imports none of those
//! parts.

mod announcements;
mod backlog;
mod handover;
mod notices;
mod poison;
mod quotas;
mod slot_leases;
mod startup_query;
mod waiting;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use marjoram_core::brittle::Statement;
use marjoram_core::budget::{Allowance, Budget};
use marjoram_core::buffer_budget::BufferBudget;
use marjoram_core::cache_updates::UpdateQueue;
use marjoram_core::candidacy::ControlCapacity;
use marjoram_core::catalog::Catalog;
use marjoram_core::coordination::Coordination;
use marjoram_core::era::Era;
use marjoram_core::heartbeat;
use marjoram_core::host::HostSettings;
use marjoram_core::in_progress::InProgress;
use marjoram_core::leadership::CandidateStatus;
use marjoram_core::peer_budget::Exhausted;
use marjoram_core::policy::PolicyName;
use marjoram_core::rollout::AnnouncedVersions;
use marjoram_core::stop::Stop;
use marjoram_core::store_availability::{self, StoreAvailability};
use marjoram_core::switches::{Mechanism, Switches};
use marjoram_core::upstream::Registry;
use tokio::sync::{Notify, SetOnce};
use tokio::time::Instant;

use super::callers;
use super::counters::Counters;
use super::fleet::Fleet;
use super::hosts::Peers;
use super::peer_limits::{self, GivenUp, PeerLimits};
use super::relays::Relays;
use super::stores::Stores;
use super::traffic::Traffic;
use crate::clock;
use crate::tunnel::Tunnels;
pub use announcements::StoredAnnouncements;
pub use backlog::{Accounts, Backlog};
pub use handover::Handover;
pub use notices::Notices;
pub use poison::Poison;
pub use quotas::Quotas;
pub use slot_leases::{ServiceSlots, SlotLeases, SlotWait};
pub use startup_query::StartupQuery;
pub use waiting::{QueueKey, WaitQueue, Waiting};

/// Time without errors after which an outage of the store is logged as a new one.
const OUTAGE_LOG_INTERVAL: Duration = Duration::from_secs(3);

/// State shared by the parts of one process.
pub struct Site {
    /// Validated settings, replaced when the file changes.
    pub settings: ArcSwap<HostSettings>,
    /// The policy that chooses engines.
    pub policy: PolicyName,
    /// Which decision mechanisms are in use.
    pub switches: Switches,
    /// Counts choices, for policies that take turns.
    pub turn: Cell<u64>,
    /// The configuration in force.
    pub catalog: ArcSwapOption<Catalog>,
    /// Upstreams as listed in the store.
    pub registry: RefCell<Registry>,
    /// Upstreams with their load and health.
    pub fleet: Fleet,
    /// The other hosts.
    pub peers: Peers,
    /// Services from which this host is cut off: it has lost its links to their upstreams.
    pub cut_off: RefCell<Vec<String>>,
    /// Which services are brittle, by the hashes of their names.
    pub brittle: RefCell<HashMap<u64, Statement>>,
    /// Slots of brittle upstreams that this host holds or grants.
    pub slots: SlotLeases,
    /// Connections to upstreams that this host relays for others.
    pub tunnels: Tunnels,
    /// Announced weights versions, by model.
    pub announced_weights: RefCell<HashMap<String, AnnouncedVersions>>,
    /// When they were announced, as recorded in the platform's store.
    pub stored_announcements: StoredAnnouncements,
    /// The cache stores, and this host's index of their contents.
    pub stores: Stores,
    /// Cache updates to be sent to other hosts.
    pub cache_updates: RefCell<UpdateQueue>,
    /// Registry changes that hosts read for each other.
    pub relays: Relays,
    /// Announcements to be sent of engines that change their weights.
    pub notices: Notices,
    /// Requests that crash upstreams.
    pub poison: Poison,
    /// Workspaces' quotas and their usage.
    pub quotas: Quotas,
    /// Upstreams' rate limits and their usage.
    pub rate_limits: Quotas,
    /// Accounts of outstanding large prompts.
    pub backlog: Backlog,
    /// Requests that wait for an engine.
    pub waiting: Waiting,
    pub counters: Counters,
    /// Counts messages and calls other than callers' requests.
    pub traffic: Rc<Traffic>,
    /// Set once the process is stopping.
    pub stopping: Cell<Option<Stop>>,
    /// The upstreams have been listed once.
    pub listed: Cell<bool>,
    /// The hosts' records have been listed once.
    pub hosts_listed: Cell<bool>,
    /// The hosts' records and the quarantine have been read once, from the store
    /// or from another host, or the wait for them has timed out.
    pub startup_reads: SetOnce<()>,
    /// The query for the rate limits in force.
    pub startup_query: StartupQuery,
    /// The newest era of the store that has been reported to this host.
    pub era: Cell<Option<Era>>,
    /// When this host's last store error was.
    pub store_error: Cell<Option<Duration>>,
    /// Store availability over time, as judged from all hosts' errors.
    pub store_availability: RefCell<StoreAvailability>,
    /// Since when other hosts are known to have newer state.
    pub outdated_since: Cell<Option<Duration>>,
    /// This host's candidate status for leadership of weights rollouts.
    pub candidate_status: Cell<CandidateStatus>,
    /// What hosts tell each other when that leadership moves.
    pub handover: Handover,
    /// Until when this host leaves that leadership to others.
    pub no_leadership_until: Cell<Duration>,
    /// Notified when the process stops accepting connections.
    pub stop: Notify,
    /// Set when the time for requests in progress is up, at the end of a stop.
    pub interrupt: SetOnce<()>,
    /// Notified when the store answers again, was restored from a copy, or has
    /// another address.
    pub store_recovered: Notify,
    /// Notified when a weights version is announced or upstreams change.
    pub rollout_check: Notify,
    /// Requests in progress.
    pub handled: InProgress,
    /// Limits what is held for callers, other hosts and readers of the status.
    pub peer_limits: PeerLimits,
    /// Limits the answers that are read whole at the same time.
    pub buffers: BufferBudget,
    budgets: RefCell<HashMap<String, Budget>>,
    /// The coordinated services of the configuration in force.
    coordinated: RefCell<HashMap<String, Rc<Coordination>>>,
    start: Instant,
}

/// Logs a request whose task ended without an outcome.
fn report_lost(id: &str) {
    tracing::error!(target: "request", id, "request ended without an outcome, its task was dropped");
}

impl Site {
    /// Initial state for `settings`.
    pub fn new(settings: HostSettings, policy: PolicyName, switches: Switches) -> Rc<Self> {
        let traffic = Rc::new(Traffic::default());
        let peers = Peers::new(&settings, traffic.clone());
        let capacity = peer_limits::within_system_limit(settings.capacity);
        let buffers = BufferBudget::new(capacity.buffered_bytes());
        Rc::new(Self {
            settings: ArcSwap::from_pointee(settings),
            policy,
            switches,
            turn: Cell::default(),
            catalog: ArcSwapOption::empty(),
            registry: RefCell::default(),
            fleet: Fleet::default(),
            peers,
            cut_off: RefCell::default(),
            brittle: RefCell::default(),
            slots: SlotLeases::default(),
            tunnels: Tunnels::new(capacity.tunnels()),
            announced_weights: RefCell::default(),
            stored_announcements: StoredAnnouncements::default(),
            stores: Stores::default(),
            cache_updates: RefCell::default(),
            relays: Relays::default(),
            notices: Notices::default(),
            poison: Poison::default(),
            quotas: Quotas::default(),
            rate_limits: Quotas::default(),
            backlog: Backlog::default(),
            waiting: Waiting::default(),
            counters: Counters::new(),
            traffic,
            stopping: Cell::default(),
            listed: Cell::default(),
            hosts_listed: Cell::default(),
            startup_reads: SetOnce::new(),
            startup_query: StartupQuery::default(),
            era: Cell::default(),
            store_error: Cell::default(),
            store_availability: RefCell::default(),
            outdated_since: Cell::default(),
            candidate_status: Cell::default(),
            handover: Handover::default(),
            no_leadership_until: Cell::default(),
            stop: Notify::new(),
            interrupt: SetOnce::new(),
            store_recovered: Notify::new(),
            rollout_check: Notify::new(),
            handled: InProgress::new(report_lost),
            peer_limits: PeerLimits::new(capacity),
            buffers,
            budgets: RefCell::default(),
            coordinated: RefCell::default(),
            start: Instant::now(),
        })
    }

    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.switches.has(mechanism)
    }

    /// Time since the process started, on the monotonic clock.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Time since the Unix epoch, for times that are used beyond this process: the
    /// median of the hosts' clocks.
    pub fn unix_time(&self) -> Duration {
        self.peers.unix_time(clock::unix_time(), self.now())
    }

    /// The instant at which [`Site::now`] returns `now`.
    pub fn at(&self, now: Duration) -> Instant {
        self.start + now
    }

    /// This host's capacity for leadership of weights rollouts.
    pub fn control_capacity(&self) -> ControlCapacity {
        match self.now() < self.no_leadership_until.get() {
            true => ControlCapacity::default(),
            false => self.settings.load().capacity.control_capacity(),
        }
    }

    /// Counts and logs what was given up for other peers.
    pub fn report_given_up(&self, what: GivenUp, why: Exhausted) {
        self.peer_limits.report(&self.counters, what, why, self.now());
    }

    /// Whether this host is cut off from the upstreams of `service`.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.cut_off.borrow().iter().any(|name| name == service)
    }

    /// Whether this host is cut off from all upstreams.
    pub fn is_cut_off_from_all(&self) -> bool {
        self.fleet.is_cut_off_from_all(&self.cut_off.borrow())
    }

    /// Whether this host takes callers.
    pub fn is_ready(&self) -> bool {
        let is_read = self.listed.get() && self.startup_reads.initialized();
        let knows = self.catalog.load().is_some() && is_read;
        self.stopping.get().is_none() && knows
    }

    /// Records that the hosts' records and the quarantine have been read.
    pub fn end_startup_reads(&self) {
        // Err: they have been read before, from another source.
        let _ = self.startup_reads.set(());
    }

    /// Records the era of an answer of the store. Returns whether it is still the
    /// newest; offsets from earlier eras are invalid from then on.
    pub fn note_era(&self, era: Era) -> bool {
        let known = self.era.get();
        if known < Some(era) {
            self.era.set(Some(era));
            if let Some(before) = known {
                tracing::warn!(target: "store", %era, %before,
                    "store was restored from a copy; listing all records again");
                self.store_recovered.notify_waiters();
            }
        }
        known <= Some(era)
    }

    /// Records that a call of this host to the store failed or was slow.
    pub fn note_store_error(&self) {
        self.store_error.set(Some(self.now()));
        self.update_store_availability();
    }

    /// Updates the store's availability from all hosts' errors.
    pub fn update_store_availability(&self) {
        let Some(last_error) = self.store_error.get() else { return };
        let now = self.now();
        let own = Some(now.saturating_sub(last_error));
        let (others, hosts) = self.peers.store_errors(now);
        let others_count = others.len();
        if let Some(age) = store_availability::outage_age(own, others, hosts + 1) {
            let mut availability = self.store_availability.borrow_mut();
            if availability.error_free_for(now) > OUTAGE_LOG_INTERVAL {
                tracing::info!(target: "store", own_error_ms = own.map(|a| a.as_millis() as u64),
                    others = others_count, hosts, "store outage: enough hosts saw errors");
            }
            availability.note_error(now.saturating_sub(age));
        }
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Puts `catalog` in force.
    pub fn set_catalog(&self, catalog: Catalog) {
        let services = Coordination::services(&catalog).into_iter();
        *self.coordinated.borrow_mut() = services.map(|(name, s)| (name, Rc::new(s))).collect();
        self.peer_limits.allow_request(callers::max_size(&catalog.limits));
        self.catalog.store(Some(Arc::new(catalog)));
    }

    /// How `service` is coordinated; `None` if it is not. With few hosts, heartbeats reach all of
    /// them in one round, and coordination gains nothing.
    pub fn coordination(&self, service: &str) -> Option<Rc<Coordination>> {
        let many = self.peers.count() > heartbeat::SINGLE_ROUND_HOSTS;
        self.coordinated.borrow().get(service).filter(|_| many).cloned()
    }

    /// Counts a caller's request for `service` towards the retry budget.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.request(now));
    }

    /// Takes one retry of a request for `service` from the retry budget.
    pub fn count_repeat(&self, service: &str) {
        let (now, hosts) = (self.now(), self.peers.count());
        self.with_budget(service, |budget| budget.repeat(now, hosts));
    }

    /// Whether the retry budget of `service` allows a retry, without taking one.
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
