//! Selects the services for which hosts coordinate where prompts go and in which order they wait.
//!
//! Coordination costs each request a message to another host and, under load, a wait at the
//! router. It takes effect on services of engines whose callers have that time: the targets of all
//! their streaming routes are [`MIN_TARGET`] or longer.

use std::collections::HashMap;
use std::time::Duration;

use crate::catalog::{Catalog, Route};

/// Shortest latency target at which a service is coordinated. A query that is not answered delays a
/// request by 30 ms, a twentieth of it.
pub const MIN_TARGET: Duration = Duration::from_millis(600);

/// The streaming routes of a coordinated service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Coordination {
    targets: Vec<(String, Duration)>,
}

impl Coordination {
    /// The coordinated services of `catalog`, by name.
    ///
    /// ```
    /// use std::time::Duration;
    /// use marjoram_core::catalog::{Catalog, EngineSpec, Kind, Limits, Role, Route, Service, Share};
    /// use marjoram_core::coordination::Coordination;
    /// let engines = Role::Engine(EngineSpec {
    ///     slots: 16,
    ///     capacity: 160_000,
    ///     token_bytes: 18_432.0,
    ///     link_mbps: 370_000.0,
    ///     listeners: 8,
    ///     models: vec!["m".into()],
    /// });
    /// let service = Service { name: "s".into(), role: engines, connections: 500, health: "/".into() };
    /// let route = |name: &str, target| Route {
    ///     name: name.into(),
    ///     host: "a.example".into(),
    ///     prefix: "/x/".into(),
    ///     kind: Kind::Stream { resumable: false },
    ///     timeout: Duration::from_secs(8),
    ///     target: Duration::from_millis(target),
    ///     priority: 0,
    ///     shares: vec![Share { service: "s".into(), weight: 1 }],
    ///     attempts: 1,
    ///     public: false,
    /// };
    /// let catalog = |small| {
    ///     Catalog::new(1, Limits::default())
    ///         .with_services([service.clone()])
    ///         .with_routes([route("large", 800), route("small", small)])
    /// };
    /// let coordinated = Coordination::services(&catalog(2_000));
    /// let beside = coordinated["s"].shortest_target_beside("large");
    /// assert_eq!(beside, Some(Duration::from_secs(2)));
    /// assert!(Coordination::services(&catalog(400)).is_empty());
    /// ```
    pub fn services(catalog: &Catalog) -> HashMap<String, Self> {
        let mut services: HashMap<String, Self> = HashMap::new();
        for route in catalog.routes().filter(|r| r.kind.streams()) {
            for share in route.shares.iter().filter(|s| catalog.engine(&s.service).is_some()) {
                services.entry(share.service.clone()).or_default().add(route);
            }
        }
        services.retain(|_, s| s.targets.iter().all(|(_, target)| *target >= MIN_TARGET));
        services
    }

    /// Adds a route. One whose target is not stated has its time-out as target, and asks for
    /// nothing.
    fn add(&mut self, route: &Route) {
        let stated = route.target < route.timeout;
        let target = if stated { route.target } else { Duration::ZERO };
        self.targets.push((route.name.clone(), target));
    }

    /// The shortest target of the service's streaming routes other than `route`.
    pub fn shortest_target_beside(&self, route: &str) -> Option<Duration> {
        self.targets.iter().filter(|(name, _)| name != route).map(|(_, target)| *target).min()
    }
}
