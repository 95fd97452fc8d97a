//! Registry of the upstreams that can be sent requests.
//!
//! [`Registry`] applies the entries that upstreams publish about themselves, in
//! whatever order they arrive. Each entry carries the start time of its upstream
//! and a sequence number that grows with every entry of that incarnation, so an
//! entry that arrives late never overrides a newer one: an upstream that is
//! leaving is not used again, an upstream that has left is not listed again by an
//! old entry, and an upstream that was restarted under its former id is not
//! mistaken for its previous incarnation, whatever their sequence numbers.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Error;
use crate::host::DataCentre;

/// The id that an upstream chooses for itself; it may keep it across restarts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamId(pub String);

impl fmt::Display for UpstreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Start time of an upstream in Unix milliseconds; 0 if it is not known.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StartTime(pub u64);

impl StartTime {
    /// Whether both can be the same start time; an unknown one matches any.
    pub fn may_equal(self, other: Self) -> bool {
        self == other || self == Self(0) || other == Self(0)
    }
}

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One incarnation of an upstream, from its start to its exit. Its caches,
/// counters and announcements do not outlive it.
///
/// ```
/// use marjoram_core::upstream::Instance;
/// let instance: Instance = "i-7f3a91c2@1764720000000".parse().unwrap();
/// assert_eq!((instance.id.0.as_str(), instance.born.0), ("i-7f3a91c2", 1_764_720_000_000));
/// assert_eq!(instance.to_string(), "i-7f3a91c2@1764720000000");
/// assert_eq!("i-7f3a91c2".parse::<Instance>().unwrap().born.0, 0);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The upstream.
    pub id: UpstreamId,
    /// Its start time.
    pub born: StartTime,
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            StartTime(0) => write!(f, "{}", self.id),
            born => write!(f, "{}@{born}", self.id),
        }
    }
}

impl FromStr for Instance {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (id, born) = text.split_once('@').unwrap_or((text, "0"));
        let invalid = |why| Error::Parse("incarnation of an upstream", text.into(), why);
        let born = born.parse().map_err(|_| invalid("start time is not a whole number"))?;
        match id {
            "" => Err(invalid("id is empty")),
            _ => Ok(Self { id: UpstreamId(id.into()), born: StartTime(born) }),
        }
    }
}

/// The weights that an upstream serves for one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// The model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
}

/// The entry that an upstream publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its id and start time.
    pub life: Instance,
    /// The service it is part of.
    pub service: String,
    /// Address at which it accepts requests.
    pub addr: SocketAddr,
    /// Its data centre.
    pub dc: DataCentre,
    /// Requests it runs at once.
    pub slots: u32,
    /// It is shutting down and must not be sent new requests.
    pub leaving: bool,
    /// The weights it serves.
    pub weights: Vec<Weights>,
    /// Sequence number that grows with every entry of this incarnation.
    pub beat: u64,
}

/// Time after the store becomes available again during which entries that were
/// lost in the outage are kept. Upstreams publish their entries again within
/// about two seconds.
pub const REPUBLISH_GRACE: Duration = Duration::from_secs(2);

impl Entry {
    /// Sort key of the entries of one upstream: the greater one is newer.
    fn order(&self) -> (StartTime, u64) {
        (self.life.born, self.beat)
    }
}

/// Time for which the sort key of an upstream's last entry is remembered after
/// it left, so that entries which arrive late are recognized as old.
const LEFT_TTL: Duration = Duration::from_secs(60);

/// The effect of an update on the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// None: the entry is old, or equal to the listed one.
    None,
    /// A new upstream was added.
    Joined,
    /// The entry of an upstream changed.
    Changed,
    /// The weights of an upstream changed, and nothing else.
    Weights,
    /// An upstream was restarted under its former id.
    Reborn,
    /// An upstream was removed.
    Left,
    /// The entry of an upstream was lost in an outage of the store; the upstream
    /// is kept for up to [`REPUBLISH_GRACE`] after that.
    Missing,
}

/// The listed upstreams.
///
/// ```
/// use std::time::Duration;
/// use marjoram_core::upstream::{Change, Entry, Registry};
/// let entry = Entry {
///     life: "i-1@1000".parse().unwrap(),
///     service: "s".into(),
///     addr: "10.0.0.1:80".parse().unwrap(),
///     dc: String::from("dc").into(),
///     slots: 4,
///     leaving: true,
///     weights: vec![],
///     beat: 7,
/// };
/// let mut registry = Registry::new();
/// let now = Duration::ZERO;
/// assert_eq!(registry.apply(entry.clone(), now), Change::Joined);
/// let old = Entry { leaving: false, beat: 6, ..entry.clone() };
/// assert_eq!(registry.apply(old, now), Change::None);
/// // It is restarted: its sequence numbers start over, and it is not leaving.
/// let life = "i-1@2000".parse().unwrap();
/// let again = Entry { life, leaving: false, beat: 1, ..entry.clone() };
/// assert_eq!(registry.apply(again, now), Change::Reborn);
/// assert_eq!(registry.apply(Entry { beat: 9, ..entry }, now), Change::None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Registry {
    entries: HashMap<UpstreamId, Entry>,
    /// Entries lost during an outage of the store, and until when they are kept.
    missing: HashMap<UpstreamId, Duration>,
    /// Sort keys of the last entries of upstreams that left, and when they left.
    left: HashMap<UpstreamId, ((StartTime, u64), Duration)>,
    /// When the store last became available again.
    recovered_at: Option<Duration>,
}

impl Registry {
    /// An empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an entry that was received at `now`.
    pub fn apply(&mut self, entry: Entry, now: Duration) -> Change {
        let id = entry.life.id.clone();
        let outdated = self.left.get(&id).is_some_and(|(last, _)| entry.order() <= *last);
        if outdated {
            return Change::None;
        }
        match self.entries.get_mut(&id) {
            Some(known) if entry.order() < known.order() => Change::None,
            Some(known) if entry.order() == known.order() => {
                // The same entry again: the upstream is still listed.
                self.missing.remove(&id);
                Change::None
            }
            Some(known) if entry.life != known.life => {
                self.missing.remove(&id);
                *known = entry;
                Change::Reborn
            }
            Some(known) => {
                let entry = Entry { leaving: entry.leaving || known.leaving, ..entry };
                let same_beat = Entry { beat: known.beat, ..entry.clone() };
                let same_weights = Entry { weights: known.weights.clone(), ..same_beat.clone() };
                let change = match () {
                    () if same_beat == *known => Change::None,
                    () if same_weights == *known => Change::Weights,
                    () => Change::Changed,
                };
                self.missing.remove(&id);
                *known = entry;
                change
            }
            None => {
                self.left.retain(|_, (_, since)| now < *since + LEFT_TTL);
                self.entries.insert(id, entry);
                Change::Joined
            }
        }
    }

    /// Handles a record under the key of `id`, read at `now`, that cannot be
    /// decoded because another program wrote it. The upstream is removed until
    /// its next entry, due within about a second: a host that starts now reads
    /// only the invalid record, and all hosts must list the same upstreams.
    pub fn handle_invalid_record(&mut self, id: &UpstreamId, now: Duration) -> Change {
        self.remove(id, now)
    }

    /// Handles that the store no longer lists `id` at `now`. The upstream is
    /// removed, or kept as missing for up to [`REPUBLISH_GRACE`] after an outage of
    /// the store unless it was leaving.
    pub fn unlist(&mut self, id: &UpstreamId, now: Duration) -> Change {
        let grace = self.recovered_at.map(|at| at + REPUBLISH_GRACE).filter(|until| now < *until);
        match (self.entries.get(id), grace) {
            (None, _) => Change::None,
            (Some(entry), Some(until)) if !entry.leaving => {
                self.missing.entry(id.clone()).or_insert(until);
                Change::Missing
            }
            (Some(_), _) => self.remove(id, now),
        }
    }

    /// Records that the store became available again at `now`.
    pub fn store_recovered(&mut self, now: Duration) {
        self.recovered_at = Some(now);
    }

    /// Unlists the upstreams that are not in `ids`, the full list read at `now`.
    pub fn retain(&mut self, ids: &[UpstreamId], now: Duration) -> Vec<(UpstreamId, Change)> {
        let unlisted: Vec<UpstreamId> =
            self.entries.keys().filter(|id| !ids.contains(id)).cloned().collect();
        unlisted
            .into_iter()
            .map(|id| {
                let change = self.unlist(&id, now);
                (id, change)
            })
            .collect()
    }

    /// Whether the entry of `id` was lost in an outage and is still kept.
    pub fn is_missing(&self, id: &UpstreamId) -> bool {
        self.missing.contains_key(id)
    }

    /// Removes missing upstreams whose grace period has ended at `now`.
    pub fn expire(&mut self, now: Duration) -> Vec<UpstreamId> {
        let expired: Vec<UpstreamId> = self
            .missing
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove(id, now);
        }
        expired
    }

    fn remove(&mut self, id: &UpstreamId, now: Duration) -> Change {
        self.missing.remove(id);
        match self.entries.remove(id) {
            Some(entry) => {
                self.left.insert(id.clone(), (entry.order(), now));
                Change::Left
            }
            None => Change::None,
        }
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The entry of `id`.
    pub fn get(&self, id: &UpstreamId) -> Option<&Entry> {
        self.entries.get(id)
    }
}
