//! The limit on the bytes of answers that are buffered at the same time.

use marjoram_core::buffer_budget::{Buffer, BufferBudget};
use proptest::prelude::*;

const LIMIT: usize = 65 << 20;
const PIECE: [u8; 16 << 10] = [b'x'; 16 << 10];

#[test]
fn sixteen_bodies_without_an_end_leave_room_for_short_ones() {
    let budget = BufferBudget::new(LIMIT);
    let mut endless: Vec<Buffer> = (0..16).map(|_| budget.begin()).collect();
    let mut dropped = 0;
    for _ in 0..400 {
        for buffer in &mut endless {
            if buffer.append(&PIECE).is_err() {
                dropped += 1;
                *buffer = budget.begin();
            }
        }
        let mut short = budget.begin();
        short.append(&PIECE).unwrap();
        assert_eq!(short.finish().unwrap().size(), PIECE.len());
        assert!(budget.used() <= LIMIT);
    }
    assert!(dropped > 0);
    drop(endless);
    assert_eq!(budget.used(), 0);
}

#[test]
fn complete_bodies_are_kept_and_of_equally_long_ones_the_newest_is_dropped() {
    let budget = BufferBudget::new(30);
    let complete = {
        let mut buffer = budget.begin();
        buffer.append(&[1; 10]).unwrap();
        buffer.finish().unwrap()
    };
    let (mut one, mut two) = (budget.begin(), budget.begin());
    one.append(&[2; 10]).unwrap();
    two.append(&[3; 10]).unwrap();
    one.append(&[2; 1]).expect_err("it is the longest");
    two.append(&[3; 10]).unwrap();
    let mut three = budget.begin();
    three.append(&[4; 1]).unwrap();
    assert!(two.finish().is_err(), "it was dropped for a shorter one");
    assert_eq!(complete.blocks().collect::<Vec<_>>(), [[1; 10]]);
    assert_eq!(budget.used(), 11);
    let (mut four, mut five) = (budget.begin(), budget.begin());
    four.append(&[5; 9]).unwrap();
    five.append(&[6; 9]).unwrap();
    three.append(&[4; 2]).unwrap();
    assert!(five.finish().is_err());
    assert!(four.finish().is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]

    #[test]
    fn bodies_are_kept_whole_or_dropped_within_the_limit(
        pieces in proptest::collection::vec((0..6usize, 0..100_000usize, any::<bool>()), 1..60),
    ) {
        let budget = BufferBudget::new(300_000);
        let mut bodies: Vec<(Buffer, Vec<u8>)> = (0..6).map(|_| (budget.begin(), vec![])).collect();
        for (index, size, ends) in pieces {
            let (buffer, expected) = &mut bodies[index];
            let piece: Vec<u8> = (0..size).map(|n| (n + expected.len()) as u8).collect();
            let kept = buffer.append(&piece).is_ok();
            expected.extend(piece);
            prop_assert!(budget.used() <= 300_000);
            if ends || !kept {
                let ended = std::mem::replace(&mut bodies[index], (budget.begin(), vec![]));
                match ended.0.finish() {
                    Ok(body) => {
                        let bytes = body.blocks().collect::<Vec<_>>().concat();
                        prop_assert_eq!(body.size(), bytes.len());
                        prop_assert_eq!(bytes, ended.1);
                    }
                    Err(_) => prop_assert!(!kept),
                }
            }
        }
        drop(bodies);
        prop_assert_eq!(budget.used(), 0);
    }
}
