//! Which services are coordinated. Guards against a change of behaviour for deployments whose
//! callers have no time for it: their targets are shorter than `MIN_TARGET`.

use std::time::Duration;

use marjoram_core::catalog::{Catalog, EngineSpec, Kind, Limits, Role, Route, Service, Share};
use marjoram_core::coordination::{Coordination, MIN_TARGET};
use test_case::test_case;

const LARGE: &str = "large";
const SMALL: &str = "small";

fn engines() -> Role {
    Role::Engine(EngineSpec {
        slots: 16,
        capacity: 160_000,
        token_bytes: 18_432.0,
        link_mbps: 370_000.0,
        listeners: 8,
        models: vec!["m".into()],
    })
}

fn service(name: &str, role: Role) -> Service {
    Service { name: name.into(), role, connections: 500, health: "/health".into() }
}

/// A streaming route to the services `names` with a target of `target_ms`.
fn route(name: &str, names: &[&str], target_ms: u64) -> Route {
    let share = |service: &&str| Share { service: (*service).into(), weight: 1 };
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/"),
        kind: Kind::Stream { resumable: false },
        timeout: Duration::from_secs(8),
        target: Duration::from_millis(target_ms),
        priority: 0,
        shares: names.iter().map(share).collect(),
        attempts: 1,
        public: false,
    }
}

/// The names of the coordinated services, in order.
fn coordinated(
    services: impl IntoIterator<Item = Service>,
    routes: impl IntoIterator<Item = Route>,
) -> Vec<String> {
    let catalog = Catalog::new(1, Limits::default()).with_services(services).with_routes(routes);
    let mut names: Vec<String> = Coordination::services(&catalog).into_keys().collect();
    names.sort();
    names
}

/// Whether a service of `role` with two streaming routes is coordinated.
fn is_coordinated(role: Role, large_ms: u64, small_ms: u64) -> bool {
    let routes = [route(LARGE, &["s"], large_ms), route(SMALL, &["s"], small_ms)];
    !coordinated([service("s", role)], routes).is_empty()
}

#[test_case(800, 400)]
#[test_case(600, 300)]
#[test_case(800, 500)]
#[test_case(600, 400)]
#[test_case(800, 599; "just below the limit")]
#[test_case(400, 800; "the large prompts' target is the short one")]
fn engines_with_a_short_target_are_not_coordinated(large_ms: u64, small_ms: u64) {
    assert!(!is_coordinated(engines(), large_ms, small_ms));
}

#[test_case(800, 2_000)]
#[test_case(1_000, 600)]
fn engines_whose_targets_are_all_long_are_coordinated(large_ms: u64, small_ms: u64) {
    assert!(is_coordinated(engines(), large_ms, small_ms));
}

#[test]
fn plain_upstreams_are_not_coordinated() {
    assert!(!is_coordinated(Role::Plain, 800, 2_000));
}

#[test]
fn engines_without_a_streaming_route_are_not_coordinated() {
    let call = Route { kind: Kind::Idempotent, ..route(LARGE, &["s"], 2_000) };
    assert!(coordinated([service("s", engines())], [call]).is_empty());
}

#[test]
fn a_short_target_of_a_call_that_is_not_streamed_has_no_effect() {
    let call = Route { kind: Kind::Idempotent, ..route(SMALL, &["s"], 300) };
    let routes = [route(LARGE, &["s"], 800), call];
    assert_eq!(coordinated([service("s", engines())], routes), ["s"]);
}

#[test]
fn a_short_target_on_one_service_leaves_the_others_coordinated() {
    let services = [service("s", engines()), service("t", engines())];
    let routes = [route(LARGE, &["s", "t"], 800), route(SMALL, &["t"], 400)];
    assert_eq!(coordinated(services, routes), ["s"]);
}

/// A lowered target takes effect although the service was coordinated before.
#[test]
fn a_configuration_that_lowers_one_target_ends_coordination() {
    let below = MIN_TARGET.as_millis() as u64 - 1;
    assert!(is_coordinated(engines(), 800, 600));
    assert!(!is_coordinated(engines(), 800, below));
    assert!(!is_coordinated(engines(), below, 600));
}

#[test]
fn engines_with_a_route_without_a_target_are_not_coordinated() {
    // A target that is not stated is the time-out.
    let large = route(LARGE, &["s"], 8_000);
    assert!(coordinated([service("s", engines())], [large]).is_empty());
}
