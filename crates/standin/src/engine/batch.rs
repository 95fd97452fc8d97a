//! Continuous batching: up to `slots` requests advance together, step by step.
//!
//! Each step prefills up to `chunk` prompt tokens, given to the requests still
//! in prefill in order of admission, and generates one token for each request
//! whose prefill is complete. A step takes `decode_ms` + `prefill_us` per
//! prefilled token + `batch_us` per generated token, so the more requests run,
//! the more slowly each advances. Waiting requests are admitted by priority
//! (interactive, normal, batch), then in order of arrival. A request whose
//! caller has disconnected leaves the batch at the end of the step.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures::channel::mpsc;
use marjoram_core::ids::{ModelVersion, RequestId, Tokens};
use marjoram_core::prefix::Prefix;
use marjoram_core::wire::{Chunk, EngineRequest, Usage};
use ntex::util::Bytes;
use tokio::sync::Notify;

use super::Engine;

/// Exit status of the process when a request crashes it.
const CRASH_EXIT_STATUS: i32 = 70;

/// Channel to the response stream of a request.
pub type Sender = mpsc::UnboundedSender<Result<Bytes, std::io::Error>>;

/// A request that is waiting or in the batch.
struct Entry {
    request: EngineRequest,
    prefix: Prefix,
    version: ModelVersion,
    /// Whether its first chunk is sent under another request's id.
    corrupted: bool,
    tx: Sender,
    /// Order of arrival.
    ticket: u64,
    /// Prompt tokens found cached at admission.
    cached: u64,
    /// Prompt tokens still to be prefilled.
    unprefilled: u64,
    /// Sequence number of the next chunk.
    seq: u32,
}

/// Queue of requests waiting for a slot in the batch.
#[derive(Default)]
pub struct Batch {
    waiting: Mutex<Vec<Entry>>,
    arrival: Notify,
    ticket: AtomicU32,
    /// Number of requests in the batch.
    pub running: AtomicU32,
}

impl Batch {
    /// Queues a request; its chunks go to `tx`.
    pub fn push(
        &self,
        request: EngineRequest,
        prefix: Prefix,
        version: ModelVersion,
        corrupted: bool,
        tx: Sender,
    ) {
        let ticket = u64::from(self.ticket.fetch_add(1, Ordering::Relaxed));
        let seq = request.resume_from;
        let entry = Entry {
            request,
            prefix,
            version,
            corrupted,
            tx,
            ticket,
            cached: 0,
            unprefilled: 0,
            seq,
        };
        self.waiting.lock().unwrap().push(entry);
        self.arrival.notify_one();
    }

    /// Number of requests waiting.
    pub fn waiting(&self) -> u32 {
        self.waiting.lock().unwrap().len() as u32
    }

    /// Number of requests waiting or in the batch.
    pub fn len(&self) -> usize {
        (self.waiting() + self.running.load(Ordering::Relaxed)) as usize
    }

    /// Takes the waiting request of the highest priority, oldest first, dropping
    /// requests whose caller has disconnected.
    fn pop(&self) -> Option<Entry> {
        let mut waiting = self.waiting.lock().unwrap();
        waiting.retain(|entry| !entry.tx.is_closed());
        let best = (0..waiting.len())
            .max_by_key(|&i| (waiting[i].request.priority, std::cmp::Reverse(waiting[i].ticket)))?;
        Some(waiting.swap_remove(best))
    }
}

/// Runs the batch loop; never returns.
pub async fn run(engine: &'static Engine) {
    let mut running: Vec<Entry> = Vec::new();
    loop {
        admit(engine, &mut running);
        if running.is_empty() {
            engine.batch.arrival.notified().await;
            continue;
        }
        let duration = step(engine, &mut running);
        match duration.is_zero() {
            true => tokio::task::yield_now().await,
            false => tokio::time::sleep(duration).await,
        }
        finish_step(engine, &mut running);
    }
}

fn admit(engine: &Engine, running: &mut Vec<Entry>) {
    while running.len() < engine.opts.slots {
        let Some(mut entry) = engine.batch.pop() else {
            break;
        };
        let crash_text = &engine.opts.crash_on;
        if !crash_text.is_empty() && entry.request.prompt.contains(crash_text) {
            tracing::error!(target: "engine", "engine: crashing while running request {}.", entry.request.id);
            std::process::exit(CRASH_EXIT_STATUS);
        }
        let tokens = entry.prefix.tokens.0;
        entry.cached = engine.cache.lock().unwrap().lookup(&entry.prefix.blocks).min(tokens);
        entry.unprefilled = tokens - entry.cached;
        running.push(entry);
    }
    engine.batch.running.store(running.len() as u32, Ordering::Relaxed);
}

/// Distributes the prefill budget of one step and returns the step's duration.
fn step(engine: &Engine, running: &mut [Entry]) -> Duration {
    let opts = &engine.opts;
    let generated = running.iter().filter(|entry| entry.unprefilled == 0).count() as u64;
    let mut budget = opts.chunk;
    for entry in running.iter_mut().filter(|entry| entry.unprefilled > 0) {
        let read = entry.unprefilled.min(budget);
        entry.unprefilled -= read;
        budget -= read;
    }
    let read = opts.chunk - budget;
    let micros = opts.decode_ms * 1000 + read * opts.prefill_us + generated * opts.batch_us;
    Duration::from_micros(micros)
}

/// Generates one token for every request whose prefill is complete.
fn finish_step(engine: &Engine, running: &mut Vec<Entry>) {
    running.retain_mut(|entry| match entry.unprefilled {
        0 => {
            if entry.seq == entry.request.resume_from {
                engine.cache.lock().unwrap().store(&entry.prefix.blocks);
            }
            send_token(entry)
        }
        _ => !entry.tx.is_closed(),
    });
}

/// Sends the request's next chunk; returns whether more chunks follow.
fn send_token(entry: &mut Entry) -> bool {
    let Entry { request, version, seq, .. } = &*entry;
    let last = seq + 1 >= request.max_tokens;
    let usage = Usage {
        prompt_tokens: entry.prefix.tokens,
        cached_tokens: Tokens(entry.cached),
        completion_tokens: Tokens(u64::from(request.max_tokens)),
    };
    let corrupted = entry.corrupted && *seq == request.resume_from;
    let chunk = Chunk {
        id: if corrupted { RequestId(request.id.0 ^ 1) } else { request.id },
        seq: *seq,
        text: format!("t{}.{seq}v{version} ", request.id),
        usage: last.then_some(usage),
    };
    let line = format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap_or_default());
    entry.seq += 1;
    entry.tx.unbounded_send(Ok(line.into())).is_ok() && !last
}
