//! Promise: a host that is told of a log never counts as having read what it
//! has missed, though the store returns from copies and gives offsets out again.
//!
//! Stateful fuzzing of one listener before readers whose relays come late,
//! twice, in any order or not at all. The oracle keeps the log of each era: all
//! records before the listener's position are among those it has seen.

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
    /// So many records are written.
    Append(usize),
    /// A copy of the store is made.
    Copy,
    /// The store returns from it.
    Restore,
    /// Reader `r` reads, and tells of it.
    Read(usize),
    /// The listener hears one of the relays, the newest first.
    Hear(usize),
    /// It reads for itself.
    Own,
}

struct World {
    /// The log of each era: a record is a number of its own.
    logs: Vec<Vec<u64>>,
    copy: Vec<u64>,
    written: u64,
    /// Era and offset up to which each reader has read.
    readers: [(usize, usize); READERS],
    relays: Vec<(Span, Vec<u64>)>,
    position: Position,
    era: usize,
    seen: HashSet<u64>,
}

impl World {
    fn era(&self) -> usize {
        self.logs.len() - 1
    }

    fn read(&mut self, reader: usize) {
        let (era, end) = (self.era(), self.logs[self.era()].len());
        let (last, at) = self.readers[reader];
        // A list tells of no records.
        let from = if last == era { at } else { end };
        self.readers[reader] = (era, end);
        let span = Span { era: Era(era as u64), from: from as u64, next: end as u64 };
        self.relays.push((span, self.logs[era][from..].to_vec()));
    }

    fn hear(&mut self, back: usize) {
        let Some(index) = self.relays.len().checked_sub(1 + back) else { return };
        let (span, records) = self.relays[index].clone();
        match self.position.advance(span, Duration::ZERO) {
            Advance::Old => {}
            Advance::Gap => self.own(),
            Advance::New { after } => {
                let new = (span.from..).zip(records).filter(|(offset, _)| *offset >= after);
                self.seen.extend(new.map(|(_, record)| record));
            }
        }
    }

    fn own(&mut self) {
        let era = self.era();
        let from = if self.era == era { self.position.at() as usize } else { 0 };
        self.seen.extend(&self.logs[era][from..]);
        self.era = era;
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
            1 => Just(Step::Copy),
            1 => Just(Step::Restore),
            5 => (0..READERS).prop_map(Step::Read),
            6 => (0..6usize).prop_map(Step::Hear),
            1 => Just(Step::Own),
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
            copy: Vec::new(),
            written: 0,
            readers: [(0, 0); READERS],
            relays: Vec::new(),
            position: Position::new(Era(0), 0, Duration::ZERO),
            era: 0,
            seen: HashSet::new(),
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
            Step::Copy => world.copy = world.logs[world.era()].clone(),
            Step::Restore => world.logs.push(world.copy.clone()),
            Step::Read(reader) => world.read(reader),
            Step::Hear(back) => world.hear(back),
            Step::Own => world.own(),
        }
        let read = &world.logs[world.era][..world.position.at() as usize];
        let missed: Vec<&u64> = read.iter().filter(|r| !world.seen.contains(r)).collect();
        assert!(missed.is_empty(), "{missed:?} missed before {:?}", world.position);
        world
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(0x3e1a))]

    #[test]
    fn nothing_told_is_missed(sequential 20..120 => LogTest);
}
