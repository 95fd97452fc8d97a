//! Splitting of streams into events, independent of the chunks in which the bytes arrive.

use marjoram_core::events::{MAX_EVENT_SIZE, Splitter};
use proptest::prelude::*;
use test_case::test_case;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn events_do_not_depend_on_the_chunks_in_which_bytes_arrive(
        texts in proptest::collection::vec("[a-z ]{0,12}", 1..12),
        chunk_sizes in proptest::collection::vec(1..9usize, 1..40),
    ) {
        let event = |(n, text): (usize, &String)| format!("id: {}\ndata: {text}\n\n", n + 1);
        let whole: Vec<String> = texts.iter().enumerate().map(event).collect();
        let stream = whole.concat();
        let (mut splitter, mut events, mut offset) = (Splitter::new(), Vec::new(), 0);
        for chunk_size in chunk_sizes.iter().cycle() {
            let end = (offset + chunk_size).min(stream.len());
            splitter.push(&stream.as_bytes()[offset..end]);
            while let Some(event) = splitter.next_event().unwrap() {
                events.push((event.id, String::from_utf8(event.bytes.to_vec()).unwrap()));
            }
            offset = end;
            if offset == stream.len() {
                break;
            }
        }
        let expected: Vec<(Option<u64>, String)> =
            whole.into_iter().enumerate().map(|(n, text)| (Some(n as u64 + 1), text)).collect();
        prop_assert_eq!(events, expected);
        prop_assert!(splitter.is_empty());
    }
}

#[test_case("id: 3\r\ndata: a\r\n\r\n", Some(3); "lines that end with a carriage return")]
#[test_case("weights: 2\nid:4\ndata: a\n\n", Some(4); "a line before the id")]
#[test_case(": a comment\n\n", None; "no id")]
fn the_id_of_an_event_is_found(text: &str, id: Option<u64>) {
    let mut splitter = Splitter::new();
    splitter.push(text.as_bytes());
    let event = splitter.next_event().unwrap().unwrap();
    assert_eq!((event.id, event.bytes.len()), (id, text.len()));
}

#[test_case(0, true; "as long as allowed")]
#[test_case(1, false; "longer")]
fn events_beyond_the_limit_are_errors_in_whatever_pieces_they_arrive(over: usize, allowed: bool) {
    let event = "x".repeat(MAX_EVENT_SIZE - 2 + over) + "\n\n";
    for piece_size in [1_000, 16 << 10, event.len()] {
        let (mut splitter, mut result) = (Splitter::new(), Ok(None));
        for piece in event.as_bytes().chunks(piece_size) {
            splitter.push(piece);
            result = result.and_then(|_| splitter.next_event());
        }
        assert_eq!(result.map(|event| event.is_some()).ok(), allowed.then_some(true));
    }
}

#[test]
fn an_event_without_an_end_is_reported_before_it_fills_the_memory() {
    let mut splitter = Splitter::new();
    let pieces = (1..1_000usize).find(|_| {
        splitter.push(&[b'x'; 16 << 10]);
        splitter.next_event().is_err()
    });
    assert_eq!(pieces, Some(MAX_EVENT_SIZE / (16 << 10) + 1));
}
