//! Requests in progress are counted and traced however their tasks end.

use std::cell::RefCell;
use std::panic::{AssertUnwindSafe, catch_unwind};

use marjoram_core::in_progress::InProgress;

thread_local! {
    static LOST: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

fn requests() -> InProgress {
    InProgress::new(|id| LOST.with_borrow_mut(|lost| lost.push(id.to_string())))
}

fn lost() -> Vec<String> {
    LOST.take()
}

#[test]
fn a_request_whose_task_panics_is_not_counted_any_more_and_is_reported() {
    let requests = requests();
    let other = requests.begin();
    let task = AssertUnwindSafe(|| {
        let request = requests.begin();
        request.identify("p-1");
        panic!("a fault of the test");
    });
    assert!(catch_unwind(task).is_err());
    assert_eq!((requests.count(), lost()), (1, vec!["p-1".to_string()]));
    other.end();
    assert_eq!(requests.count(), 0);
}

#[test]
fn a_request_whose_outcome_was_reported_or_that_was_not_read_whole_is_not_lost() {
    let requests = requests();
    let answered = requests.begin();
    answered.identify("e-1");
    answered.end();
    drop(requests.begin());
    assert_eq!((requests.count(), lost()), (0, Vec::new()));
}

#[test]
fn requests_that_still_run_when_the_process_stops_are_named() {
    let requests = requests();
    let (one, _unread) = (requests.begin(), requests.begin());
    one.identify("s-1");
    assert_eq!((requests.count(), requests.ids()), (2, vec!["s-1".to_string()]));
    one.end();
}
