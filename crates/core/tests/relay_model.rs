//! Invariant: a host that receives a log through relays never counts records it has missed
//! as read, although the store is restored from snapshots and reuses offsets.
//!
//! Stateful fuzzing of one listener and of readers whose relays arrive late, twice, in any
//! order or not at all. The oracle keeps the log of each era: the listener must have received
//! all records before its position.

#[path = "support/fuzz.rs"]
mod fuzz;

use std::collections::HashSet;
use std::time::Duration;

use marjoram_core::era::Era;
use marjoram_core::relay::{Advance, Position, Span};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const READERS: usize = 2;

#[derive(Debug, Clone)]
enum Step {
    /// This many records are written.
    Append(usize),
    /// A snapshot of the store is taken.
    Snapshot,
    /// The store is restored from the snapshot.
    Restore,
    /// Reader `r` reads the log and relays what it read.
    Read(usize),
    /// The listener receives the relay with this index, counted from the newest.
    Receive(usize),
    /// The listener reads the log itself.
    ReadDirectly,
}

struct World {
    /// The log of each era; a record is a unique number.
    logs: Vec<Vec<u64>>,
    snapshot: Vec<u64>,
    written: u64,
    /// Era and offset up to which each reader has read.
    readers: [(usize, usize); READERS],
    relays: Vec<(Span, Vec<u64>)>,
    position: Position,
    /// Era of the log that the listener last read directly.
    listener_era: usize,
    received: HashSet<u64>,
}

impl World {
    fn era(&self) -> usize {
        self.logs.len() - 1
    }

    fn read(&mut self, reader: usize) {
        let (era, end) = (self.era(), self.logs[self.era()].len());
        let (last_era, offset) = self.readers[reader];
        // In a new era the reader lists the log, which relays no records.
        let from = if last_era == era { offset } else { end };
        self.readers[reader] = (era, end);
        let span = Span { era: Era(era as u64), from: from as u64, next: end as u64 };
        self.relays.push((span, self.logs[era][from..].to_vec()));
    }

    fn receive(&mut self, back: usize) {
        let Some(index) = self.relays.len().checked_sub(1 + back) else { return };
        let (span, records) = self.relays[index].clone();
        match self.position.advance(span, Duration::ZERO) {
            Advance::Old => {}
            Advance::Gap => self.read_directly(),
            Advance::New { after } => {
                let new = (span.from..).zip(records).filter(|(offset, _)| *offset >= after);
                self.received.extend(new.map(|(_, record)| record));
            }
        }
    }

    fn read_directly(&mut self) {
        let era = self.era();
        let from = if self.listener_era == era { self.position.at() as usize } else { 0 };
        self.received.extend(&self.logs[era][from..]);
        self.listener_era = era;
        let at = self.logs[era].len() as u64;
        self.position = Position::new(Era(era as u64), at, Duration::ZERO);
    }
}

struct Log;

impl ReferenceStateMachine for Log {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (1..4usize).prop_map(Step::Append),
            1 => Just(Step::Snapshot),
            1 => Just(Step::Restore),
            5 => (0..READERS).prop_map(Step::Read),
            6 => (0..6usize).prop_map(Step::Receive),
            1 => Just(Step::ReadDirectly),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct LogTest;

impl StateMachineTest for LogTest {
    type SystemUnderTest = World;
    type Reference = Log;

    fn init_test(_: &()) -> World {
        World {
            logs: vec![Vec::new()],
            snapshot: Vec::new(),
            written: 0,
            readers: [(0, 0); READERS],
            relays: Vec::new(),
            position: Position::new(Era(0), 0, Duration::ZERO),
            listener_era: 0,
            received: HashSet::new(),
        }
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        match step {
            Step::Append(count) => {
                let first = world.written;
                world.written += count as u64;
                let era = world.era();
                world.logs[era].extend(first..world.written);
            }
            Step::Snapshot => world.snapshot = world.logs[world.era()].clone(),
            Step::Restore => world.logs.push(world.snapshot.clone()),
            Step::Read(reader) => world.read(reader),
            Step::Receive(back) => world.receive(back),
            Step::ReadDirectly => world.read_directly(),
        }
        let read = &world.logs[world.listener_era][..world.position.at() as usize];
        let missed: Vec<&u64> = read.iter().filter(|r| !world.received.contains(r)).collect();
        assert!(missed.is_empty(), "{missed:?} missed before {:?}", world.position);
        world
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(0x3e1a))]

    #[test]
    fn no_relayed_record_is_missed(sequential 20..120 => LogTest);
}
