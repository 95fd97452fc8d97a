//! Guarantee: routers that lose their links to engines and services serve their callers through
//! other routers.

#[path = "../../../platform/tests/support/alone.rs"]
mod alone;
#[path = "../../../platform/tests/support/link.rs"]
#[allow(dead_code, reason = "other tests use the other conditions")]
mod link;
#[path = "support/site.rs"]
mod site;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::MutexGuard;
use std::time::{Duration, Instant};

use alone::alone;
use link::{Condition, Link};
use marjoram_core::wire::Role;
use site::{Site, completion, post, run, state};
use test_case::test_case;

/// Number of routers.
const ROUTERS: usize = 3;

/// Routers whose links are cut.
const CUT_ROUTERS: [usize; 2] = [0, 1];

/// Time after the beginning of a cut from which on routers must serve again.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time for which first tries are counted.
const COUNTED: Duration = Duration::from_secs(3);

/// Time within which a try must be answered.
const DEADLINE: Duration = Duration::from_secs(1);

/// Callers at each router.
const CALLERS: usize = 3;

/// Outcomes of tries: how many, and the failed ones with the time they took.
#[derive(Default)]
struct Outcomes {
    tries: usize,
    failed: Vec<(String, u16, Duration)>,
}

/// Sends completions and service calls to `router` in turn until `end`.
async fn call(router: String, end: Instant) -> Outcomes {
    let mut outcomes = Outcomes::default();
    while Instant::now() < end {
        let calls = [
            ("completions", completion("kili-checks", 32, 4, false)),
            ("services/echo", "body".into()),
        ];
        for (path, body) in calls {
            let begun = Instant::now();
            let (status, _) = post(&format!("http://{router}/v1/{path}"), &body).await;
            outcomes.tries += 1;
            if status != 200 || begun.elapsed() > DEADLINE {
                outcomes.failed.push((path.into(), status, begun.elapsed()));
            }
        }
        ntex::time::sleep(Duration::from_millis(20)).await;
    }
    outcomes
}

/// A site in which some routers have links of their own to engines and services. There is one at
/// a time.
struct Partition {
    site: Site,
    /// Links to engines and to the service.
    links: Vec<(Role, Link)>,
    _alone: MutexGuard<'static, ()>,
}

impl Partition {
    /// Starts a site in which `cut` routers have such links.
    fn start(cut: &[usize]) -> Self {
        let _alone = alone();
        let mut site = Site::start(3, ROUTERS, &[]);
        let mut links: Vec<(Role, Link)> = Vec::new();
        for &i in cut {
            let engines = site.engines.iter().map(|addr| (Role::Engine, addr));
            let upstreams = engines.chain([(Role::Service, &site.service)]);
            let own: HashMap<SocketAddr, (Role, Link)> = upstreams
                .map(|(role, addr)| (addr.parse().unwrap(), role))
                .map(|(addr, role)| (addr, (role, Link::new(addr))))
                .collect();
            site.restart_with_host_list(i, |addr| own[&addr].1.addr);
            links.extend(own.into_values());
        }
        Self { site, links, _alone }
    }

    async fn wait_ready(&self) {
        let offset = self.site.configure("kili-checks", "round-robin").await;
        self.site.wait_config_applied(offset).await;
        for i in 0..ROUTERS {
            self.site.wait_ready(i).await;
        }
    }

    /// Sets the condition of the links to upstreams with `role`, or to all.
    fn set(&self, role: Option<Role>, condition: Condition) {
        let links = self.links.iter().filter(|(r, _)| role.is_none_or(|role| role == *r));
        links.for_each(|(_, link)| link.set(condition));
    }

    /// Sends requests to all routers for `time`. Returns the outcomes by caller.
    async fn load(&self, time: Duration) -> Vec<Outcomes> {
        let end = Instant::now() + time;
        let callers = self.site.routers.iter().flat_map(|r| std::iter::repeat_n(r, CALLERS));
        futures::future::join_all(callers.map(|router| call(router.clone(), end))).await
    }

    /// Checks that first tries at all routers are served.
    async fn check_served(&self) {
        for (n, outcomes) in self.load(COUNTED).await.iter().enumerate() {
            let (router, failed) = (n / CALLERS, &outcomes.failed);
            println!("router {router}: {} of {} failed", failed.len(), outcomes.tries);
            assert!(outcomes.tries > 20, "{} tries", outcomes.tries);
            assert!(failed.len() * 50 <= outcomes.tries, "router {router}: {failed:?}");
        }
    }

    /// Cuts the links to upstreams with `role`, or to all, and checks what is served.
    async fn check_served_in_cut(&self, role: Option<Role>, condition: Condition) {
        let before = self.load(Duration::from_secs(1)).await;
        assert!(before.iter().all(|o| o.failed.is_empty()), "failures before the cut");
        self.set(role, condition);
        self.load(STABLE_WINDOW).await;
        self.check_served().await;
    }
}

#[test_case(Condition::Hanging; "connections hang")]
#[test_case(Condition::Broken; "connections are reset")]
#[test_case(Condition::Refusing; "open connections live on and new ones are refused")]
fn first_tries_at_routers_cut_off_from_all_engines_are_served(condition: Condition) {
    let partition = Partition::start(&CUT_ROUTERS);
    run(async move {
        partition.wait_ready().await;
        partition.check_served_in_cut(None, condition).await;
    });
}

#[test_case(Role::Engine; "engines")]
#[test_case(Role::Service; "plain services")]
fn first_tries_at_routers_cut_off_from_one_kind_of_upstreams_are_served(role: Role) {
    let partition = Partition::start(&CUT_ROUTERS);
    run(async move {
        partition.wait_ready().await;
        partition.check_served_in_cut(Some(role), Condition::Broken).await;
    });
}

#[test]
fn first_tries_at_routers_that_are_cut_off_again_are_served() {
    let partition = Partition::start(&CUT_ROUTERS);
    run(async move {
        partition.wait_ready().await;
        partition.check_served_in_cut(None, Condition::Hanging).await;
        partition.set(None, Condition::Normal);
        partition.load(STABLE_WINDOW).await;
        partition.check_served_in_cut(None, Condition::Hanging).await;
    });
}

#[test]
fn first_tries_at_routers_that_restart_while_cut_off_are_served() {
    let partition = Partition::start(&CUT_ROUTERS);
    let mut partition = run(async move {
        partition.wait_ready().await;
        partition.set(None, Condition::Broken);
        partition.load(STABLE_WINDOW).await;
        partition
    });
    for i in CUT_ROUTERS {
        partition.site.kill(&format!("router{i}"));
        partition.site.start_router(i);
        site::wait_listening(&partition.site.routers[i]);
    }
    run(async move {
        for i in 0..ROUTERS {
            partition.site.wait_ready(i).await;
        }
        partition.check_served().await;
    });
}

/// Callers that send one completion to each router at once.
const SAME_REQUESTS: usize = 6;

/// Time in which the completion is in flight at all engines.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(300);

/// Time in which routers check engines for a crash and report it to each other.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Services stay within reach, so that no router is cut off altogether.
#[test]
fn completions_in_flight_when_links_to_engines_are_reset_are_not_quarantined() {
    let all: Vec<usize> = (0..ROUTERS).collect();
    let partition = Partition::start(&all);
    run(async move {
        partition.wait_ready().await;
        let long = completion("kili-checks", 32, 200, false);
        let routers = partition.site.routers.iter();
        let urls = routers.map(|router| format!("http://{router}/v1/completions"));
        let urls: Vec<String> =
            urls.flat_map(|url| std::iter::repeat_n(url, SAME_REQUESTS)).collect();
        let calls = urls.clone().into_iter().map(|url| {
            let body = long.clone();
            ntex::rt::spawn(async move { post(&url, &body).await })
        });
        let calls: Vec<_> = calls.collect();
        ntex::time::sleep(IN_FLIGHT_TIME).await;
        partition.set(Some(Role::Engine), Condition::Broken);
        for call in calls {
            let (status, text) = call.await.unwrap();
            assert_ne!(status, 200, "not in flight when the links were cut: {text}");
        }
        ntex::time::sleep(DETECTION_TIME).await;
        partition.set(None, Condition::Normal);
        site::wait_for(|| async { (post(&urls[0], &long).await.0 == 200).then_some(()) }).await;
    });
}

/// Version of the weights that are announced during a cut; engines start with 1.
const NEW_WEIGHTS: u64 = 2;

#[test]
fn weights_are_ordered_by_a_lease_holder_that_is_cut_off() {
    let mut partition = Partition::start(&CUT_ROUTERS);
    run(async move {
        partition.wait_ready().await;
        // The lease goes to one of the routers that are going to be cut off.
        partition.site.kill(&format!("router{}", ROUTERS - 1));
        let holds_lease =
            async |i: usize| state(&partition.site.routers[i]).await?["lease"]["token"].as_u64();
        site::wait_for(|| async {
            let held = futures::future::join_all(CUT_ROUTERS.map(holds_lease)).await;
            held.into_iter().find_map(|token| token)
        })
        .await;
        partition.site.start_router(ROUTERS - 1);
        partition.site.wait_ready(ROUTERS - 1).await;
        partition.set(None, Condition::Broken);
        partition.load(STABLE_WINDOW).await;
        partition.site.publish(&format!(r#"{{"kind":"weights","version":{NEW_WEIGHTS}}}"#)).await;
        site::wait_for(|| async {
            let dump = state(&partition.site.routers[ROUTERS - 1]).await?;
            let mut engines = dump["engines"].as_array()?.iter();
            engines.all(|e| e["life"]["version"] == NEW_WEIGHTS).then_some(())
        })
        .await;
    });
}
