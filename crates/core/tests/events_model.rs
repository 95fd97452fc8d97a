//! Splitting of streams into events, independent of the chunks in which the bytes arrive.

use marjoram_core::events::Splitter;
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
            while let Some(event) = splitter.next_event() {
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
    let event = splitter.next_event().unwrap();
    assert_eq!((event.id, event.bytes.len()), (id, text.len()));
}
