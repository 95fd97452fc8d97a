//! The published configuration: routes from requests to services, workspaces and
//! their limits, and which requests may be retried.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::host::DataCentre;
use crate::quota::Quota;

/// Whether and how a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Must run at most once for each attempt of a caller.
    NonIdempotent,
    /// Answered by a stream of events, which another upstream may continue only if
    /// it is resumable.
    Stream {
        /// Whether another upstream may continue it.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may already have run can be retried from its start.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that gets a share of a route's requests.
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
    /// Host name of its requests, in lower case.
    pub host: String,
    /// Path prefix of its requests.
    pub prefix: String,
    /// Whether its requests may be retried.
    pub kind: Kind,
    /// Maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// Latency target; an answer that takes longer is late.
    pub target: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that get its requests.
    pub shares: Vec<Share>,
    /// Maximum number of upstreams that one attempt of a caller is sent to.
    pub attempts: u32,
    /// Whether callers without an API key may use it.
    pub public: bool,
}

impl Route {
    /// The service that gets the request with the hash `key`, chosen by weight;
    /// the same hash always gives the same service.
    pub fn service(&self, key: u64) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut position = key.checked_rem(total)?;
        for share in &self.shares {
            match u64::from(share.weight) {
                weight if position < weight => return Some(&share.service),
                weight => position -= weight,
            }
        }
        None
    }
}

/// Published properties of a service's engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine has memory for.
    pub capacity: u64,
    /// Bytes of memory per token.
    pub token_bytes: f64,
    /// Speed of an engine's link, in megabits a second.
    pub link_mbps: f64,
    /// Maximum number of concurrent long-poll calls for cache events at an engine.
    pub listeners: u32,
    /// Models that the engines serve.
    pub models: Vec<String>,
}

/// An external store of prompt caches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CacheStore {
    /// Its address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub dc: DataCentre,
    /// Speed of its link, in megabits a second.
    pub link_mbps: f64,
    /// Maximum number of hosts that wait for its events at once.
    pub listeners: u32,
}

/// The kind of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Role {
    /// Runs plain calls.
    Plain,
    /// Runs a language model.
    Engine(EngineSpec),
    /// Stores prompt caches; accepts no requests of callers.
    Store(CacheStore),
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Its kind.
    pub role: Role,
    /// Maximum number of connections that one of its upstreams accepts in total.
    pub connections: u32,
    /// The path of its health check.
    pub health: String,
}

/// One workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Overrides the priority of a route.
    pub priority: Option<u8>,
    /// Shares no prompt cache with other workspaces.
    pub isolated: bool,
    /// Limit on its requests; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Size and time limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum bytes of a request's head.
    pub head: usize,
    /// Maximum bytes of a request's body.
    pub body: usize,
    /// Maximum time for the head to arrive.
    pub head_time: Duration,
    /// Maximum time that a connection stays idle.
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

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Its version; later configurations have higher ones.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Services, by name.
    pub services: HashMap<String, Service>,
    /// Workspaces; `None` if callers need no API key.
    pub workspaces: Option<Vec<Arc<Workspace>>>,
    /// Routes by host name, the longest path prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Workspaces by API key.
    keys: HashMap<String, Arc<Workspace>>,
}

impl Catalog {
    /// A configuration with `version` and `limits`, without routes.
    pub fn new(version: u64, limits: Limits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds `routes`.
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        for route in routes {
            self.routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        self
    }

    /// Adds `services`.
    pub fn with_services(mut self, services: impl IntoIterator<Item = Service>) -> Self {
        self.services.extend(services.into_iter().map(|s| (s.name.clone(), s)));
        self
    }

    /// Sets `workspaces`; callers then need an API key.
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
    /// matching path prefix.
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

    /// The workspace with the API key `key`.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Published properties of the engines of `service`.
    pub fn engine(&self, service: &str) -> Option<&EngineSpec> {
        match &self.services.get(service)?.role {
            Role::Engine(spec) => Some(spec),
            _ => None,
        }
    }

    /// The external stores of prompt caches.
    pub fn cache_stores(&self) -> impl Iterator<Item = &CacheStore> {
        self.services.values().filter_map(|s| match &s.role {
            Role::Store(store) => Some(store),
            _ => None,
        })
    }
}
