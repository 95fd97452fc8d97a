//! Continuous batching: up to `slots` requests advance together, step by step.
//!
//! Each step reads up to `chunk` prompt tokens, shared out to the requests
//! still reading theirs in the order they were admitted, and makes one token
//! for each request that has read its prompt. A step takes
//! `decode_ms` + `prefill_us` a prompt token read + `batch_us` a token made,
//! so the more requests run, the more slowly each advances. Waiting requests
//! are admitted interactive before normal before batch, then as they came. A
//! request whose caller has gone leaves the batch at the end of the step.

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

/// Status of a process that crashed under a request.
const CRASHED: i32 = 70;

/// Where a request's chunks go.
pub type Sender = mpsc::UnboundedSender<Result<Bytes, std::io::Error>>;

/// A request waiting or running.
struct Entry {
    request: EngineRequest,
    prefix: Prefix,
    version: ModelVersion,
    /// Its first chunk is to bear another request's id.
    crossed: bool,
    tx: Sender,
    ticket: u64,
    /// Prompt tokens found cached at admission.
    cached: u64,
    /// Prompt tokens still to be read.
    unread: u64,
    /// Next chunk to make.
    seq: u32,
}

/// Requests waiting for a place in the batch.
#[derive(Default)]
pub struct Batch {
    waiting: Mutex<Vec<Entry>>,
    arrived: Notify,
    ticket: AtomicU32,
    /// Requests in the batch.
    pub running: AtomicU32,
}

impl Batch {
    /// Queues a request; its chunks go to `tx`.
    pub fn push(
        &self,
        request: EngineRequest,
        prefix: Prefix,
        version: ModelVersion,
        crossed: bool,
        tx: Sender,
    ) {
        let ticket = u64::from(self.ticket.fetch_add(1, Ordering::Relaxed));
        let seq = request.resume_from;
        let entry =
            Entry { request, prefix, version, crossed, tx, ticket, cached: 0, unread: 0, seq };
        self.waiting.lock().unwrap().push(entry);
        self.arrived.notify_one();
    }

    /// Requests waiting.
    pub fn waiting(&self) -> u32 {
        self.waiting.lock().unwrap().len() as u32
    }

    /// Takes the most urgent waiting request whose caller is still there.
    fn pop(&self) -> Option<Entry> {
        let mut waiting = self.waiting.lock().unwrap();
        waiting.retain(|entry| !entry.tx.is_closed());
        let best = (0..waiting.len())
            .max_by_key(|&i| (waiting[i].request.priority, std::cmp::Reverse(waiting[i].ticket)))?;
        Some(waiting.swap_remove(best))
    }
}

/// Runs the batch for ever.
pub async fn run(engine: &'static Engine) {
    let mut running: Vec<Entry> = Vec::new();
    loop {
        admit(engine, &mut running);
        if running.is_empty() {
            engine.batch.arrived.notified().await;
            continue;
        }
        let took = step(engine, &mut running);
        match took.is_zero() {
            true => tokio::task::yield_now().await,
            false => tokio::time::sleep(took).await,
        }
        finish_step(engine, &mut running);
    }
}

fn admit(engine: &Engine, running: &mut Vec<Entry>) {
    while running.len() < engine.opts.slots {
        let Some(mut entry) = engine.batch.pop() else {
            break;
        };
        let fatal = &engine.opts.crash_on;
        if !fatal.is_empty() && entry.request.prompt.contains(fatal) {
            tracing::error!(target: "engine", "engine: crashing under request {}.", entry.request.id);
            std::process::exit(CRASHED);
        }
        let tokens = entry.prefix.tokens.0;
        entry.cached = engine.cache.lock().unwrap().lookup(&entry.prefix.blocks).min(tokens);
        entry.unread = tokens - entry.cached;
        running.push(entry);
    }
    engine.batch.running.store(running.len() as u32, Ordering::Relaxed);
}

/// Shares out one step's reading; how long the step takes.
fn step(engine: &Engine, running: &mut [Entry]) -> Duration {
    let opts = &engine.opts;
    let made = running.iter().filter(|entry| entry.unread == 0).count() as u64;
    let mut budget = opts.chunk;
    for entry in running.iter_mut().filter(|entry| entry.unread > 0) {
        let read = entry.unread.min(budget);
        entry.unread -= read;
        budget -= read;
    }
    let read = opts.chunk - budget;
    let micros = opts.decode_ms * 1000 + read * opts.prefill_us + made * opts.batch_us;
    Duration::from_micros(micros)
}

/// Makes one token for every request that has read its prompt.
fn finish_step(engine: &Engine, running: &mut Vec<Entry>) {
    running.retain_mut(|entry| match entry.unread {
        0 => {
            if entry.seq == entry.request.resume_from {
                engine.cache.lock().unwrap().store(&entry.prefix.blocks);
            }
            make_token(entry)
        }
        _ => !entry.tx.is_closed(),
    });
}

/// Sends the request's next chunk; whether it goes on.
fn make_token(entry: &mut Entry) -> bool {
    let Entry { request, version, seq, .. } = &*entry;
    let last = seq + 1 >= request.max_tokens;
    let usage = Usage {
        prompt_tokens: entry.prefix.tokens,
        cached_tokens: Tokens(entry.cached),
        completion_tokens: Tokens(u64::from(request.max_tokens)),
    };
    let crossed = entry.crossed && *seq == request.resume_from;
    let chunk = Chunk {
        id: if crossed { RequestId(request.id.0 ^ 1) } else { request.id },
        seq: *seq,
        text: format!("t{}.{seq}v{version} ", request.id),
        usage: last.then_some(usage),
    };
    let line = format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap_or_default());
    entry.seq += 1;
    entry.tx.unbounded_send(Ok(line.into())).is_ok() && !last
}
