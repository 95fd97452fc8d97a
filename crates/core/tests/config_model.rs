//! Invariant: an accepted configuration is in force everywhere within
//! seconds and never reverts.
//!
//! Stateful fuzzing of two configuration followers against a simple model,
//! the log itself. Operators publish records concurrently (some refer to
//! templates that do not exist yet, some are malformed); each follower reads
//! forward in chunks of its own size and also receives old records again, as
//! in a late or repeated read response. Followers write snapshots, restart
//! without state, and restore any snapshot ever written; the log drops records
//! that a snapshot covers. After every step each follower must have exactly
//! the configuration of the log's prefix up to its offset, its offset must
//! never decrease, and followers at the same offset must agree.

#[path = "support/fuzz.rs"]
mod fuzz;

use marjoram_core::config::{Config, Record};
use marjoram_core::ids::{ModelVersion, Offset, WorkspaceId};
use marjoram_core::policy::PolicyName;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

#[derive(Debug, Clone, Default)]
struct Log {
    records: Vec<Option<Record>>,
}

#[derive(Debug, Clone)]
enum Step {
    /// An operator appends a record; `None` is a malformed one.
    Publish(Option<Record>),
    /// Follower `which` reads up to `count` records forward.
    Read(usize, usize),
    /// Follower `which` receives the record at `offset`, whatever its own offset.
    Replay(usize, usize),
    /// Follower `which` writes a snapshot of its configuration.
    Snapshot(usize),
    /// Follower `which` is given the `nth` snapshot written (modulo all).
    Restore(usize, usize),
    /// Follower `which` restarts without state.
    Restart(usize),
    /// The log drops up to `count` of its oldest records, as far as the
    /// newest snapshot covers them.
    Expire(usize),
}

fn record() -> impl Strategy<Value = Option<Record>> {
    let name = prop::sample::select(vec!["a", "b", "c"]);
    let id = prop::sample::select(vec!["w1", "w2", "w3"])
        .prop_map(|s| s.parse::<WorkspaceId>().unwrap());
    let policy = prop::sample::select(PolicyName::ALL.to_vec());
    prop_oneof![
        2 => (name.clone(), policy).prop_map(|(n, p)| Some(Record::Template {
            name: n.into(),
            policy: p,
            params: Default::default()
        })),
        3 => (id.clone(), name).prop_map(|(i, n)| Some(Record::Workspace {
            id: i,
            template: n.into(),
            params: Default::default()
        })),
        1 => id.prop_map(|i| Some(Record::Remove { id: i })),
        1 => (1u32..4).prop_map(|v| Some(Record::Weights { version: ModelVersion(v) })),
        1 => Just(None),
    ]
}

struct LogModel;

impl ReferenceStateMachine for LogModel {
    type State = Log;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Log> {
        Just(Log::default()).boxed()
    }

    fn transitions(_: &Log) -> BoxedStrategy<Step> {
        prop_oneof![
            3 => record().prop_map(Step::Publish),
            3 => (0usize..2, 1usize..4).prop_map(|(w, n)| Step::Read(w, n)),
            2 => (0usize..2, 0usize..20).prop_map(|(w, o)| Step::Replay(w, o)),
            1 => (0usize..2).prop_map(Step::Snapshot),
            1 => (0usize..2, 0usize..8).prop_map(|(w, n)| Step::Restore(w, n)),
            1 => (0usize..2).prop_map(Step::Restart),
            1 => (1usize..8).prop_map(Step::Expire),
        ]
        .boxed()
    }

    fn apply(mut log: Log, step: &Step) -> Log {
        if let Step::Publish(record) = step {
            log.records.push(record.clone());
        }
        log
    }
}

/// The configuration that results from the log's records up to and including `last`.
fn oracle(log: &Log, last: Option<Offset>) -> Config {
    let mut config = Config::new();
    let end = last.map(|o| o.0 as usize + 1).unwrap_or(0);
    for (offset, record) in log.records.iter().take(end).enumerate() {
        deliver(&mut config, offset, record);
    }
    config
}

fn deliver(config: &mut Config, offset: usize, record: &Option<Record>) {
    let offset = Offset(offset as u64);
    match record {
        Some(record) => config.apply(offset, record),
        None => config.skip(offset, "malformed".into()),
    };
}

struct Followers {
    configs: [Config; 2],
    /// Snapshots in the log service, as JSON.
    snapshots: Vec<String>,
    /// Records before this offset have expired.
    first_kept: usize,
}

impl Followers {
    /// The offset that follower `which` must apply next.
    fn next_offset(&self, which: usize) -> usize {
        self.configs[which].expected().0 as usize
    }

    /// Gives follower `which` the snapshot at `index`.
    fn restore(&mut self, which: usize, index: usize) {
        let before = self.configs[which].offset;
        let snapshot: Config = serde_json::from_str(&self.snapshots[index]).expect("snapshot");
        let ahead = snapshot.offset > before;
        assert_eq!(
            self.configs[which].restore(snapshot),
            ahead,
            "a snapshot is restored only if its offset is ahead"
        );
        assert!(self.configs[which].offset >= before, "a snapshot decreased the offset");
    }
}

struct ConfigTest;

impl StateMachineTest for ConfigTest {
    type SystemUnderTest = Followers;
    type Reference = LogModel;

    fn init_test(_: &Log) -> Followers {
        Followers { configs: [Config::new(), Config::new()], snapshots: Vec::new(), first_kept: 0 }
    }

    fn apply(mut followers: Followers, log: &Log, step: Step) -> Followers {
        match step {
            Step::Publish(_) => {}
            Step::Read(which, count) => {
                let before = followers.configs[which].offset;
                if followers.next_offset(which) < followers.first_kept {
                    followers.restore(which, followers.snapshots.len() - 1);
                    assert!(
                        followers.next_offset(which) >= followers.first_kept,
                        "the newest snapshot bridges the gap"
                    );
                }
                let next_offset = followers.next_offset(which);
                for offset in next_offset..(next_offset + count).min(log.records.len()) {
                    deliver(&mut followers.configs[which], offset, &log.records[offset]);
                }
                assert!(followers.configs[which].offset >= before, "reading decreased the offset");
            }
            Step::Replay(which, offset) if offset < log.records.len() => {
                let before = format!("{:?}", followers.configs[which]);
                let next_offset = followers.next_offset(which);
                deliver(&mut followers.configs[which], offset, &log.records[offset]);
                match offset {
                    o if o < next_offset => assert_eq!(
                        format!("{:?}", followers.configs[which]),
                        before,
                        "an old record changed the configuration"
                    ),
                    o if o > next_offset => assert_eq!(
                        format!("{:?}", followers.configs[which]),
                        before,
                        "a record beyond a gap changed the configuration"
                    ),
                    _ => assert_eq!(followers.next_offset(which), next_offset + 1),
                }
            }
            Step::Snapshot(which) if followers.configs[which].offset.is_some() => {
                let newest = followers.snapshots.last().map(|s| serde_json::from_str::<Config>(s));
                let newest = newest.and_then(|s| s.expect("snapshot").offset);
                if followers.configs[which].offset > newest {
                    let text = serde_json::to_string(&followers.configs[which]).expect("snapshot");
                    followers.snapshots.push(text);
                }
            }
            Step::Restore(which, nth) if !followers.snapshots.is_empty() => {
                followers.restore(which, nth % followers.snapshots.len());
            }
            Step::Restart(which) => followers.configs[which] = Config::new(),
            Step::Expire(count) => {
                let newest = followers.snapshots.last().map(|s| serde_json::from_str::<Config>(s));
                let covered = newest.and_then(|s| s.expect("snapshot").offset);
                let covered = covered.map(|o| o.0 as usize + 1).unwrap_or(0);
                followers.first_kept = (followers.first_kept + count).min(covered);
            }
            Step::Replay(..) | Step::Snapshot(_) | Step::Restore(..) => {}
        }
        followers
    }

    fn check_invariants(followers: &Followers, log: &Log) {
        for config in &followers.configs {
            let expected = oracle(log, config.offset);
            assert_eq!(config.routing(), expected.routing());
            assert_eq!(format!("{:?}", config.workspaces), format!("{:?}", expected.workspaces));
            assert_eq!(config.weights, expected.weights);
        }
        if followers.configs[0].offset == followers.configs[1].offset {
            assert_eq!(followers.configs[0].routing(), followers.configs[1].routing());
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(0xc0f1))]

    #[test]
    fn config_is_the_same_everywhere_and_never_reverts(sequential 1..60 => ConfigTest);
}
