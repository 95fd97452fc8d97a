//! Invariant: a request never relies on cache entries of a dead engine or
//! computed under older weights, when the cache index is built from events.
//!
//! Stateful fuzzing of one engine and one router that reads its events. The
//! engine stores and evicts blocks, loads weights and restarts, at times so
//! fast that the router never finds it unreachable; events arrive late, in
//! batches, and some are lost. The oracle is the engine's own cache. After
//! every read the cache index has no entry of another incarnation or of older
//! weights; and when no event was lost, a read to the end leaves exactly
//! the engine's entries.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::collections::BTreeSet;

use marjoram_core::cache::{CacheGeneration, CacheIndex, Slot};
use marjoram_core::feed::{self, Cursor};
use marjoram_core::ids::{BlockHash, Incarnation, ModelVersion};
use marjoram_core::wire::{CacheEvent, CacheEvents, EventKind};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const SLOT: Slot = Slot(3);

#[derive(Debug, Clone)]
enum Step {
    /// The engine stores block `b`; the event may be lost.
    Store(u8, bool),
    /// The engine evicts block `b`; the event may be lost.
    Evict(u8, bool),
    /// The engine loads the next weights.
    Load,
    /// The engine restarts with an empty cache.
    Restart,
    /// The router reads at most `n` events.
    Read(usize),
    /// The router finds the engine unreachable.
    Unreachable,
}

struct World {
    generation: CacheGeneration,
    cache: BTreeSet<u64>,
    events: Vec<CacheEvent>,
    next: u64,
    /// Whether an event of this incarnation was lost.
    lossy: bool,
    index: CacheIndex,
    cursor: Option<Cursor>,
}

impl World {
    /// A block's hash, salted with the weights version as in production, and with the incarnation.
    fn hash(&self, block: u8) -> u64 {
        u64::from(block)
            | u64::from(self.generation.version.0) << 8
            | self.generation.incarnation.0 << 32
    }

    fn publish(&mut self, kind: EventKind, blocks: Vec<BlockHash>, lost: bool) {
        let seq = self.next;
        self.next += 1;
        self.lossy |= lost;
        if !lost {
            self.events.push(CacheEvent { seq, kind, blocks });
        }
    }

    /// Reads at most `limit` events and returns whether that reached the end.
    fn read(&mut self, limit: usize) -> bool {
        let before = self.cursor;
        let from = before.map(|c| c.next).unwrap_or(0);
        let events: Vec<_> =
            self.events.iter().filter(|e| e.seq >= from).take(limit).cloned().collect();
        let next = events.last().map(|e| e.seq + 1).unwrap_or(from);
        let CacheGeneration { incarnation, version } = self.generation;
        let read = CacheEvents { incarnation, version, next, events };
        let (cursor, _) = feed::apply(&self.index, SLOT, before, &read);
        self.cursor = Some(cursor);
        let same = before.is_none_or(|c| c.life.incarnation == incarnation);
        same && self.events.last().is_none_or(|e| e.seq < cursor.next)
    }
}

struct Engine;

impl ReferenceStateMachine for Engine {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let lost = prop_oneof![9 => Just(false), 1 => Just(true)];
        prop_oneof![
            6 => (0u8..12, lost.clone()).prop_map(|(b, l)| Step::Store(b, l)),
            3 => (0u8..12, lost).prop_map(|(b, l)| Step::Evict(b, l)),
            1 => Just(Step::Load),
            1 => Just(Step::Restart),
            5 => (1usize..9).prop_map(Step::Read),
            1 => Just(Step::Unreachable),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct EngineTest;

impl StateMachineTest for EngineTest {
    type SystemUnderTest = World;
    type Reference = Engine;

    fn init_test(_: &()) -> World {
        World {
            generation: CacheGeneration { incarnation: Incarnation(1), version: ModelVersion(1) },
            cache: BTreeSet::new(),
            events: Vec::new(),
            next: 0,
            lossy: false,
            index: CacheIndex::new(),
            cursor: None,
        }
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        match step {
            Step::Store(block, lost) => {
                let hash = world.hash(block);
                world.cache.insert(hash);
                world.publish(EventKind::Stored, vec![BlockHash(hash)], lost);
            }
            Step::Evict(block, lost) => {
                let hash = world.hash(block);
                if world.cache.remove(&hash) {
                    world.publish(EventKind::Removed, vec![BlockHash(hash)], lost);
                }
            }
            Step::Load => {
                world.generation.version.0 += 1;
                world.cache.clear();
                world.publish(EventKind::Cleared, vec![], false);
            }
            Step::Restart => {
                world.generation.incarnation.0 += 1;
                world.cache.clear();
                world.events.clear();
                world.next = 0;
                world.lossy = false;
            }
            Step::Read(limit) => {
                world.read(limit);
                check(&world);
            }
            Step::Unreachable => {
                world.cursor = None;
                world.index.clear(SLOT);
            }
        }
        world
    }

    fn teardown(mut world: World, _: ()) {
        while !world.read(4) {}
        check(&world);
        if !world.lossy {
            let mut indexed: Vec<u64> = world.index.blocks_of(SLOT).iter().map(|b| b.0).collect();
            indexed.sort();
            assert_eq!(
                indexed,
                world.cache.iter().copied().collect::<Vec<_>>(),
                "entries after a read to the end"
            );
        }
    }
}

/// Checks that the cache index has the engine's generation and no entry of another incarnation.
fn check(world: &World) {
    assert_eq!(world.index.life(SLOT), Some(world.generation));
    for block in world.index.blocks_of(SLOT) {
        assert_eq!(block.0 >> 32, world.generation.incarnation.0, "entry of a dead incarnation");
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(0xfeed))]

    #[test]
    fn the_cache_index_matches_the_engine(sequential 1..60 => EngineTest);
}
