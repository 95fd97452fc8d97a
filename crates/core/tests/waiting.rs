//! Load and order of the queue of waiting requests.

#[path = "waiting/reference.rs"]
mod reference;
#[path = "waiting/replay.rs"]
mod replay;

use std::collections::BinaryHeap;
use std::time::Duration;

use marjoram_core::waiting::{Queue, Request, Urgency};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reference::{Priorities, Reference, Waiting};
use replay::{Kind, RATE, ms, replay};

/// Urgent requests at 0.4 times the capacity, from workspaces 0 to 7.
fn urgent() -> Kind {
    Kind {
        urgency: Urgency::new(Some(1), 0),
        workspaces: (0, 8),
        rate: 0.4 * RATE,
        target: ms(800),
        deadline: ms(8_000),
        span: (0.0, 30.0),
    }
}

/// Less urgent requests at 2.5 times the capacity, during 10 s.
fn burst(workspaces: (u64, u64)) -> Kind {
    Kind {
        urgency: Urgency::new(Some(1), 2),
        workspaces,
        rate: 2.5 * RATE,
        target: ms(2_000),
        deadline: ms(4_000),
        span: (5.0, 15.0),
    }
}

#[test]
fn urgent_requests_late_behind_burst_or_burst_starved() {
    let mut late = Vec::new();
    // The burst comes from other workspaces, or from those that send the urgent requests.
    for workspaces in [(8, 16), (0, 8)] {
        let kinds = [urgent(), burst(workspaces)];
        for seed in 0..8 {
            let ordered = replay(&kinds, false, seed);
            let by_arrival = replay(&kinds, true, seed);
            assert!(ordered[1].sent_share() >= 0.1, "seed {seed}: burst {:?}", ordered[1]);
            assert!(ordered[1].departure_share() >= 0.1, "seed {seed}: burst {:?}", ordered[1]);
            assert!(by_arrival[0].on_time_share() < 0.95, "seed {seed}: no overload");
            let shares = [&ordered, &by_arrival].map(|o| o[0].on_time_share());
            println!(
                "{workspaces:?} seed {seed}: {shares:.3?}, burst {:.3}",
                ordered[1].sent_share()
            );
            late.extend((shares[0] < 0.95).then_some((workspaces, seed, shares[0])));
        }
    }
    assert!(late.is_empty(), "urgent requests on time: {late:.3?}");
}

#[test]
fn workspaces_late_because_one_sends_seven_times_its_usual_load() {
    let usual = |workspaces: (u64, u64), factor: f64| Kind {
        workspaces,
        rate: factor * 0.1 * RATE,
        target: ms(600),
        deadline: ms(4_000),
        ..urgent()
    };
    for seed in 0..8 {
        let kinds = [usual((0, 7), 7.0), usual((7, 8), 7.0)];
        let [ordered, by_arrival] =
            [false, true].map(|by_arrival| replay(&kinds, by_arrival, seed));
        println!("ordered {ordered:?}\nby arrival {by_arrival:?}");
        assert!(ordered[0].on_time_share() >= 0.95, "seed {seed}: others {:?}", ordered[0]);
        assert!(by_arrival[0].on_time_share() < 0.95, "seed {seed}: no overload");
    }
}

#[test]
fn least_urgent_requests_starved_by_sustained_overload_of_urgent_ones() {
    // Of ten requests that leave while both kinds wait, one is of the least urgent kind. With one
    // workspace these leave in order of arrival, so the one at place n waits for at most 10 n
    // departures. With eight, its start tag is less than 500 n (the largest cost) above the virtual
    // time, so at most 2 n requests (of cost 300 or more) of each other workspace go before it.
    let turn = Duration::from_secs_f64(10.0 / RATE);
    let sources = [((8, 9), turn), ((8, 16), turn * (1 + 7 * 2))];
    // The least urgent kind asks for less than its reserved share, for all of it, or for three
    // times as much. With a deadline of 3 s the queue never fills up; with 4 s it does, and
    // evicts.
    for (deadline, rate, min_sent) in [
        (3_000, 0.06, 0.9),
        (3_000, 0.1, 0.1),
        (3_000, 0.3, 0.1),
        (4_000, 0.06, 0.1),
        (4_000, 0.1, 0.1),
        (4_000, 0.3, 0.1),
    ] {
        let overload = Kind { rate: 1.5 * RATE, deadline: ms(deadline), ..urgent() };
        for (workspaces, max_wait_per_place) in sources {
            let least = Kind { rate: rate * RATE, span: (5.0, 25.0), ..burst(workspaces) };
            for seed in 0..8 {
                let least = replay(&[overload, least], false, seed)[1];
                let case = format!("{deadline} {rate} {workspaces:?} seed {seed}: {least:?}");
                println!("{case}");
                assert!(least.departure_share() >= 0.08, "{case}");
                assert!(least.max_wait_per_place <= max_wait_per_place, "{case}");
                assert!(least.sent_share() >= min_sent, "{case}");
            }
        }
    }
}

fn request(priorities: Priorities, workspace: u64, arrived: Duration) -> Request {
    Request {
        urgency: Urgency::new(priorities.0, priorities.1),
        workspace,
        cost: 400,
        arrived,
        expires: arrived + ms(4_000),
        service: ms(100),
    }
}

#[test]
fn expired_requests_kept_until_their_deadline() {
    let mut queue = Queue::new(10);
    let late = queue.push(request((Some(1), 0), 1, ms(0)), ms(0)).ticket;
    queue.push(request((Some(1), 0), 1, ms(500)), ms(500));
    assert_eq!(queue.expired(ms(3_900)), []);
    assert_eq!(queue.expired(ms(3_901)), [late]);
}

#[test]
fn request_evicted_that_is_not_last_in_order() {
    let mut queue = Queue::new(3);
    let older = queue.push(request((Some(1), 2), 1, ms(0)), ms(0)).ticket;
    let newer = queue.push(request((Some(1), 2), 1, ms(300)), ms(300)).ticket;
    let urgent = queue.push(request((Some(1), 0), 2, ms(400)), ms(400)).ticket;
    let pushed = queue.push(request((Some(1), 1), 2, ms(410)), ms(410));
    assert_eq!(pushed.evicted, Some(newer));
    let pushed = queue.push(request((Some(2), 0), 2, ms(420)), ms(420));
    assert_eq!(pushed.evicted, Some(pushed.ticket));
    assert!(queue.get(older).is_some() && queue.get(urgent).is_some());
}

#[test]
fn only_request_of_a_level_evicted_while_another_level_has_several() {
    let mut queue = Queue::new(2);
    let least = queue.push(request((Some(1), 2), 1, ms(0)), ms(0)).ticket;
    queue.push(request((Some(1), 0), 1, ms(1)), ms(1));
    let pushed = queue.push(request((Some(1), 0), 1, ms(2)), ms(2));
    assert_eq!(pushed.evicted, Some(pushed.ticket));
    assert!(queue.get(least).is_some());
}

#[test]
fn refused_callers_of_a_less_urgent_level_wait_for_all_urgent_ones() {
    let mut queue = Queue::new(256);
    for n in 0..200 {
        queue.push(request((Some(1), 0), 1, ms(n)), ms(n));
    }
    queue.push(request((Some(1), 2), 1, ms(200)), ms(200));
    // 50 departures a second.
    for n in 1..=50 {
        queue.push(request((Some(1), 0), 1, ms(200 + 20 * n)), ms(200 + 20 * n));
        let urgent = queue.get(queue.first().unwrap()).unwrap().urgency == Urgency::new(Some(1), 0);
        queue.sent(queue.first().unwrap(), ms(200 + 20 * n));
        if !urgent {
            queue.push(request((Some(1), 2), 1, ms(200 + 20 * n)), ms(200 + 20 * n));
        }
    }
    let retry = |route| queue.retry_after(Urgency::new(Some(1), route), ms(30_000), ms(1_200));
    // 205 urgent requests and a less urgent one wait after 50 departures in 1.2 s. A second less
    // urgent one would leave on the second reserved turn, after 19 others at most.
    assert_eq!(retry(0), ms(1_200).mul_f64(205.0 / 50.0));
    assert_eq!(retry(2), ms(1_200).mul_f64(19.0 / 50.0));
}

#[test]
fn longest_backlog_keeps_its_place_when_the_queue_is_full() {
    let mut queue = Queue::new(3);
    let flood: Vec<_> = (0..3).map(|n| queue.push(request((None, 0), 1, ms(n)), ms(n))).collect();
    let pushed = queue.push(request((None, 0), 2, ms(3)), ms(3));
    assert_eq!(pushed.evicted, Some(flood[2].ticket));
}

/// Sends a herd of 500 callers at once to a queue of 64 from which 100 requests leave a second.
/// Returns the number of repeats and the most callers that return within 40 ms.
fn herd(constant: Option<Duration>, seed: u64) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let urgency = Urgency::new(Some(1), 0);
    let deadline = ms(8_000);
    let mut queue = Queue::new(64);
    // Return times, the earliest first.
    let mut callers: BinaryHeap<_> = vec![std::cmp::Reverse(0u64); 500].into();
    let mut returns = Vec::new();
    for now in 0..8_000u64 {
        while callers.peek().is_some_and(|at| at.0 <= now) {
            callers.pop();
            returns.extend((now > 0).then_some(now));
            let left = deadline - ms(now);
            let request = Request { expires: deadline, ..request((Some(1), 0), 1, ms(now)) };
            if queue.push(request, ms(now)).evicted.is_some() {
                let wait = constant.unwrap_or_else(|| queue.retry_after(urgency, left, ms(now)));
                let wait = wait.mul_f64(1.0 + rng.random_range(0.0..0.5));
                callers.push(std::cmp::Reverse(now + wait.as_millis() as u64));
            }
        }
        if let Some(ticket) = queue.first().filter(|_| now.is_multiple_of(10)) {
            queue.sent(ticket, ms(now));
        }
    }
    let crowd = |from: &u64| returns.iter().filter(|at| (*from..from + 40).contains(*at)).count();
    (returns.len(), returns.iter().map(crowd).max().unwrap_or(0))
}

#[test]
fn refused_callers_return_in_one_crowd_or_too_often() {
    for seed in 0..8 {
        let (repeats, crowd) = herd(None, seed);
        let (constant_repeats, constant_crowd) = herd(Some(ms(300)), seed);
        println!("repeats {repeats} crowd {crowd}; at 300 ms {constant_repeats} {constant_crowd}");
        assert!(
            repeats * 4 < constant_repeats * 3,
            "{repeats} repeats, {constant_repeats} at 300 ms"
        );
        assert!(crowd < 500 / 2, "{crowd} of 500 return within 40 ms");
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push { priorities: Priorities, workspace: u64, cost: u64, age: u64 },
    Remove(prop::sample::Index),
    Send(prop::sample::Index),
    SendFirst,
    NoteSent { priorities: Priorities, workspace: u64, cost: u64 },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let priorities = || (prop::option::of(0u8..3), 0u8..5);
    let push = (priorities(), 0u64..4, 1u64..500, 0u64..150).prop_map(
        |(priorities, workspace, cost, age)| Step::Push { priorities, workspace, cost, age },
    );
    let note = (priorities(), 0u64..4, 1u64..500)
        .prop_map(|(priorities, workspace, cost)| Step::NoteSent { priorities, workspace, cost });
    prop_oneof![
        6 => push,
        1 => any::<prop::sample::Index>().prop_map(Step::Remove),
        1 => any::<prop::sample::Index>().prop_map(Step::Send),
        4 => Just(Step::SendFirst),
        1 => note,
        3 => (0u64..200).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn first_or_evicted_differs_from_a_naive_sort(steps in prop::collection::vec(step(), 1..160)) {
        let (mut queue, mut model) = (Queue::new(24), Reference::default());
        let mut now = ms(1_000);
        for (number, step) in steps.into_iter().enumerate() {
            let chosen = |index: prop::sample::Index| {
                (!model.waiting.is_empty()).then(|| index.get(&model.waiting).ticket)
            };
            match step {
                Step::Push { priorities, workspace, cost, age } => {
                    let request = request(priorities, workspace, now - ms(age));
                    let request = Request { cost, ..request };
                    let expected = model.must_join(priorities);
                    prop_assert_eq!(queue.must_join(request.urgency), expected);
                    let pushed = queue.push(request, now);
                    model.waiting.push(Waiting { ticket: pushed.ticket, priorities, request, number });
                    let last = model.last().filter(|_| model.waiting.len() > 24);
                    prop_assert_eq!(pushed.evicted, last);
                    last.into_iter().for_each(|last| model.remove(last));
                }
                Step::Remove(index) => if let Some(ticket) = chosen(index) {
                    prop_assert!(queue.remove(ticket).is_some());
                    model.remove(ticket);
                }
                Step::Send(index) => if let Some(ticket) = chosen(index) {
                    prop_assert!(queue.sent(ticket, now).is_some());
                    model.sent(ticket);
                }
                Step::SendFirst => if let Some(ticket) = queue.first() {
                    queue.sent(ticket, now);
                    model.sent(ticket);
                }
                Step::NoteSent { priorities, workspace, cost } => {
                    queue.note_sent(Urgency::new(priorities.0, priorities.1), workspace, cost);
                    model.note_sent(priorities, workspace, cost);
                }
                Step::Wait(span) => now += ms(span),
            }
            prop_assert_eq!(queue.first(), model.first());
            prop_assert_eq!(queue.len(), model.waiting.len());
            let (mut expired, mut expected) = (queue.expired(now), model.expired(now));
            expired.sort();
            expected.sort();
            prop_assert_eq!(expired, expected);
        }
    }
}
