//! The published configuration: which request goes to which service, for
//! which workspace, and what may be done with it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::host::DataCentre;
use crate::quota::Quota;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// A stream of events; may be taken up at another upstream only where
    /// it is resumable.
    Stream {
        /// Whether another upstream may continue it.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run can be sent again from its start.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service's name.
    pub service: String,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host name callers ask for, in lower case.
    pub host: String,
    /// What its paths begin with.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that take its requests.
    pub shares: Vec<Share>,
    /// Upstreams one attempt of a caller may be sent to.
    pub attempts: u32,
    /// Whether it is open to callers without a key.
    pub public: bool,
}

impl Route {
    /// The service that takes the request with the hash `key`, the same one
    /// each time.
    pub fn service(&self, key: u64) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut at = key.checked_rem(total)?;
        for share in &self.shares {
            match u64::from(share.weight) {
                weight if at < weight => return Some(&share.service),
                weight => at -= weight,
            }
        }
        None
    }
}

/// What the configuration publishes of a service's engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests one engine runs at once.
    pub slots: u32,
    /// Tokens one engine has memory for.
    pub capacity: u64,
    /// Bytes of memory a token takes.
    pub token_bytes: f64,
    /// Speed of an engine's link, in megabits a second.
    pub link_mbps: f64,
    /// Calls for cache events an engine holds at once.
    pub listeners: u32,
    /// Models it serves.
    pub models: Vec<String>,
}

/// A store of kept prompt caches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CacheStore {
    /// Its address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub dc: DataCentre,
    /// Speed of its link, in megabits a second.
    pub link_mbps: f64,
    /// Hosts that may wait for its events at once.
    pub listeners: u32,
}

/// What a service is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Role {
    /// Runs plain calls.
    Plain,
    /// Runs a language model.
    Engine(EngineSpec),
    /// Keeps prompt caches; takes no requests.
    Store(CacheStore),
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Connections one of its upstreams takes from all callers together.
    pub connections: u32,
    /// The path of its health check.
    pub health: String,
}

/// One workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Keys its callers show.
    pub keys: Vec<String>,
    /// Goes before the priority of a route.
    pub priority: Option<u8>,
    /// Shares no prompt cache with other workspaces.
    pub isolated: bool,
    /// How much it may send; `None` for no limit.
    pub quota: Option<Quota>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time for the head to arrive.
    pub head_time: Duration,
    /// Time a connection may stay idle.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// A configuration in full.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Its version; a later one is higher.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Services, by name.
    pub services: HashMap<String, Service>,
    /// Workspaces; `None` where callers need no key.
    pub workspaces: Option<Vec<Arc<Workspace>>>,
    /// Routes by host name, the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    keys: HashMap<String, Arc<Workspace>>,
}

impl Catalog {
    /// A configuration with `version`, without routes.
    pub fn new(version: u64, limits: Limits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// With `routes`.
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        for route in routes {
            self.routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        self
    }

    /// With `services`.
    pub fn with_services(mut self, services: impl IntoIterator<Item = Service>) -> Self {
        self.services.extend(services.into_iter().map(|s| (s.name.clone(), s)));
        self
    }

    /// With `workspaces`: callers need a key from now on.
    pub fn with_workspaces(mut self, workspaces: impl IntoIterator<Item = Workspace>) -> Self {
        let all: Vec<Arc<Workspace>> = workspaces.into_iter().map(Arc::new).collect();
        for workspace in &all {
            for key in &workspace.keys {
                self.keys.insert(key.clone(), workspace.clone());
            }
        }
        self.workspaces = Some(all);
        self
    }

    /// The route of a request for `path` at `host`: the one with the longest
    /// prefix that begins the path.
    ///
    /// ```
    /// use marjoram_core::catalog::{Catalog, Kind, Limits, Route};
    /// let route = Route {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/x/".into(),
    ///     kind: Kind::Idempotent,
    ///     timeout: std::time::Duration::from_secs(1),
    ///     target: std::time::Duration::from_millis(100),
    ///     priority: 0,
    ///     shares: vec![],
    ///     attempts: 1,
    ///     public: true,
    /// };
    /// let longer = Route { name: "s".into(), prefix: "/x/y/".into(), ..route.clone() };
    /// let catalog = Catalog::new(1, Limits::default()).with_routes([route, longer]);
    /// assert_eq!(catalog.route("A.example:80", "/x/y/z").unwrap().name, "s");
    /// assert!(catalog.route("a.example", "/y/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.routes.get(&name)?.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// The workspace that holds `key`.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// What is published of the engines of `service`.
    pub fn engine(&self, service: &str) -> Option<&EngineSpec> {
        match &self.services.get(service)?.role {
            Role::Engine(spec) => Some(spec),
            _ => None,
        }
    }

    /// The stores of kept prompt caches.
    pub fn cache_stores(&self) -> impl Iterator<Item = &CacheStore> {
        self.services.values().filter_map(|s| match &s.role {
            Role::Store(store) => Some(store),
            _ => None,
        })
    }
}
