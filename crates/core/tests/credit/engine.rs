//! An engine that prefills one prompt after another and holds a limited number of requests.

use std::collections::VecDeque;

pub const SLOTS: usize = 16;
const QUEUE_PLACES: usize = 48;
const PREFILL_MS: u64 = 23;
/// Eight steps of 6 ms.
const STEPS_MS: u64 = 8 * 6;

#[derive(Debug, Clone, Copy)]
pub struct Prompt {
    pub host: usize,
    pub arrived: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Engine {
    waiting: VecDeque<Prompt>,
    /// Prompts in slots and when they are answered, in this order.
    running: VecDeque<(u64, Prompt)>,
    /// The prompt that is prefilled, and until when.
    prefill: Option<(u64, Prompt)>,
}

impl Engine {
    /// Accepts `prompt` unless all places are taken.
    pub fn accept(&mut self, prompt: Prompt) -> bool {
        let held = self.waiting.len() + self.running.len() + usize::from(self.prefill.is_some());
        let is_accepted = held < SLOTS + QUEUE_PLACES;
        if is_accepted {
            self.waiting.push_back(prompt);
        }
        is_accepted
    }

    /// Works until `now` and returns the prompts that have been answered. To be called every
    /// millisecond.
    pub fn advance(&mut self, now: u64) -> Vec<Prompt> {
        if let Some((until, prompt)) = self.prefill.take_if(|(until, _)| *until <= now) {
            self.running.push_back((until + STEPS_MS, prompt));
        }
        let ended = self.running.iter().take_while(|(until, _)| *until <= now).count();
        let answered = self.running.drain(..ended).map(|(_, prompt)| prompt).collect();
        if self.prefill.is_none() && self.running.len() < SLOTS {
            self.prefill = self.waiting.pop_front().map(|prompt| (now + PREFILL_MS, prompt));
        }
        answered
    }

    pub fn is_prefilling(&self) -> bool {
        self.prefill.is_some()
    }
}
