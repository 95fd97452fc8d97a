//! The load generator: replays a seeded workload against routers and reports
//! the measurements.
//!
//! A number of callers make the calls in turn. Each asks a router for the entry
//! host to use (there is no load balancer), caches the answer for its TTL, and
//! asks again when its router is unreachable. Calls are sent on a fixed schedule.
//! Every response is read to its end and checked: chunks must have the request's
//! own id and be in sequence, and a refusal must state whether the call ran.
//! Alerts go to the service through the router with an idempotency key; repeated
//! calls are taken from the service's own counts.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures::StreamExt;
use marjoram_core::ids::{ModelVersion, WorkspaceId};
use marjoram_core::measure::{Measures, RecentBlocks};
use marjoram_core::prefix::Prefix;
use marjoram_core::wire::{Chunk, CompletionRequest, ErrorBody, IDEMPOTENCY_KEY, RouteAnswer};
use marjoram_core::workload::{Call, Site, Workload};
use ntex::http::client::Client;

use crate::error::Error;
use crate::options::LoadOptions;
use crate::service::Stats;

/// The measurements of one load run.
#[derive(Debug)]
pub struct Report {
    /// The workload.
    pub site: Site,
    /// Totals over all calls.
    pub measures: Measures,
    /// Number of alerts sent.
    pub alerts: u64,
    /// Wall time of the run.
    pub elapsed: Duration,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let m = &self.measures;
        writeln!(f, "workload          {}", self.site)?;
        writeln!(f, "answered          {}", m.answered)?;
        writeln!(f, "prefix hit rate   {:.1}%", m.hit_rate() * 100.0)?;
        writeln!(
            f,
            "ttft p50/p95/p99  {:.0}/{:.0}/{:.0} ms",
            m.ttft_ms(0.5),
            m.ttft_ms(0.95),
            m.ttft_ms(0.99)
        )?;
        writeln!(f, "wasted recompute  {:.1}% of prompt tokens", m.waste_rate() * 100.0)?;
        writeln!(f, "lost/repeated     {}/{}", m.lost, m.repeated)?;
        writeln!(f, "refused (not run) {} ({} of them ran)", m.refused, m.false_refusals)?;
        writeln!(f, "alerts sent       {}", self.alerts)?;
        writeln!(f, "elapsed           {:.1} s", self.elapsed.as_secs_f64())
    }
}

/// One caller, with the router assigned to it and the expiry of that assignment.
#[derive(Debug, Default)]
struct Caller {
    assigned: RefCell<Option<(String, Instant)>>,
}

impl Caller {
    /// Returns the router to use now; asks for one when none is assigned.
    async fn router(
        &self,
        client: &Client,
        routers: &[String],
        caller_index: usize,
    ) -> Option<String> {
        let assigned = self.assigned.borrow().clone();
        if let Some((router, _)) = assigned.filter(|(_, until)| Instant::now() < *until) {
            return Some(router);
        }
        let answer = match ask_route(client, routers, caller_index).await {
            Ok(answer) => answer,
            Err(error) => {
                tracing::warn!(target: "load", "load: {error}.");
                return None;
            }
        };
        let until = Instant::now() + Duration::from_millis(answer.ttl_ms);
        *self.assigned.borrow_mut() = Some((answer.addr.clone(), until));
        Some(answer.addr)
    }

    /// Drops the assigned router, which could not be reached.
    fn forget(&self) {
        *self.assigned.borrow_mut() = None;
    }
}

/// State of one load run, shared by its calls.
struct Run {
    /// Prefix of this run's idempotency keys, so runs never share keys.
    nonce: u64,
    measures: Measures,
    refused_keys: Vec<String>,
    recent_blocks: RecentBlocks,
    alerts: u64,
}

/// Runs the workload and returns the measurements.
pub async fn run(opts: LoadOptions) -> Result<Report, Error> {
    let client = Client::build().timeout(ntex::time::Seconds(60)).finish();
    ask_route(&client, &opts.routers, 0).await?;
    let callers: Rc<Vec<Caller>> = Rc::new((0..opts.callers).map(|_| Caller::default()).collect());
    let routers = Rc::new(opts.routers.clone());
    let deadline_ms = opts.deadline_ms;
    let run = Rc::new(RefCell::new(Run {
        nonce: rand::random(),
        refused_keys: Vec::new(),
        measures: Measures::new(),
        recent_blocks: RecentBlocks::new(Duration::from_millis(opts.horizon_ms)),
        alerts: 0,
    }));
    let before = service_stats(&client, opts.service.as_deref()).await;
    let start = Instant::now();
    let interval = Duration::from_secs_f64(1.0 / opts.rate as f64);
    let mut tasks = Vec::new();
    for (index, call) in Workload::new(opts.site, opts.seed, opts.calls).enumerate() {
        let due = start + interval * index as u32;
        let now = Instant::now();
        if due > now {
            ntex::time::sleep(due - now).await;
        }
        let (client, run) = (client.clone(), run.clone());
        let (callers, routers) = (callers.clone(), routers.clone());
        tasks.push(ntex::rt::spawn(async move {
            let caller_index = index % callers.len();
            match callers[caller_index].router(&client, &routers, caller_index).await {
                Some(router) if !send(&client, &router, call, deadline_ms, &run).await => {
                    callers[caller_index].forget()
                }
                Some(_) => {}
                None => run.borrow_mut().measures.lost += 1,
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let after = service_stats(&client, opts.service.as_deref()).await;
    let mut run = Rc::try_unwrap(run).ok().expect("all calls done").into_inner();
    if let (Some(before), Some(after)) = (before, after) {
        run.measures.repeated += after.repeated - before.repeated;
    }
    if let Some(service) = opts.service.as_deref() {
        run.measures.false_refusals = false_refusals(&client, service, &run.refused_keys).await;
    }
    Ok(Report {
        site: opts.site,
        measures: run.measures,
        alerts: run.alerts,
        elapsed: start.elapsed(),
    })
}

/// Asks routers in turn, as caller `caller_index`, which router to use.
async fn ask_route(
    client: &Client,
    routers: &[String],
    caller_index: usize,
) -> Result<RouteAnswer, Error> {
    let mut last_error = String::from("no router configured");
    for router in routers {
        let url = format!("http://{router}/v1/route?caller=caller-{caller_index}");
        match client.get(&url).send().await {
            Ok(mut response) if response.status().is_success() => {
                let body = response
                    .body()
                    .await
                    .map_err(|e| Error::Peer("route", router.clone(), e.to_string()))?;
                return serde_json::from_slice(&body)
                    .map_err(|e| Error::Peer("route", router.clone(), e.to_string()));
            }
            Ok(response) => last_error = format!("{router}: status {}", response.status()),
            Err(error) => last_error = format!("{router}: {error}"),
        }
    }
    Err(Error::Peer("route", routers.join(","), last_error))
}

async fn service_stats(client: &Client, service: Option<&str>) -> Option<Stats> {
    let mut response = client.get(format!("http://{}/v1/stats", service?)).send().await.ok()?;
    let body = response.body().await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Sends one call; returns false when the router could not be reached.
async fn send(
    client: &Client,
    router: &str,
    call: Call,
    deadline_ms: Option<u64>,
    run: &RefCell<Run>,
) -> bool {
    match call {
        Call::Completion { workspace, prompt, max_tokens, priority } => {
            let request = CompletionRequest {
                workspace: workspace.into(),
                prompt,
                max_tokens,
                stream: true,
                priority,
                deadline_ms,
            };
            complete(client, router, request, run).await
        }
        Call::Alert { key } => {
            let key = {
                let mut run = run.borrow_mut();
                run.alerts += 1;
                format!("{}-{key}", run.nonce)
            };
            alert(client, router, &key, run).await
        }
    }
}

async fn complete(
    client: &Client,
    router: &str,
    request: CompletionRequest,
    run: &RefCell<Run>,
) -> bool {
    let workspace: WorkspaceId = request.workspace.parse().expect("workload workspaces are valid");
    let prefix = Prefix::new(&request.prompt, &workspace, ModelVersion(1));
    let sent = Instant::now();
    let response = client.post(format!("http://{router}/v1/completions")).send_json(&request).await;
    let mut response = match response {
        Ok(response) => response,
        Err(error) => {
            tracing::warn!(target: "load", "load: send to {router} failed: {error}.");
            run.borrow_mut().measures.lost += 1;
            return false;
        }
    };
    if !response.status().is_success() {
        let body = response.body().await.unwrap_or_default();
        count_refusal(run, &body);
        return true;
    }
    let mut events = response.eventsource();
    let mut ttft = None;
    let mut next_seq = 0u32;
    let mut id = None;
    while let Some(Ok(event)) = events.next().await {
        match (event.event.as_str(), event.data.as_str()) {
            ("error", data) => {
                tracing::info!(target: "load", "load: response ended with an error event: {data}.");
                break;
            }
            (_, "[DONE]") => break,
            (_, data) => {
                let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
                    break;
                };
                ttft.get_or_insert_with(|| sent.elapsed());
                let request_id = *id.get_or_insert(chunk.id);
                if chunk.id != request_id || chunk.seq != next_seq {
                    run.borrow_mut().measures.repeated += 1;
                    return true;
                }
                next_seq += 1;
                if let Some(usage) = chunk.usage {
                    let mut run = run.borrow_mut();
                    let wasted = run.recent_blocks.finished(
                        &prefix.blocks,
                        usage.cached_tokens.0,
                        Instant::now(),
                    );
                    let m = &mut run.measures;
                    m.answered += 1;
                    m.prompt += usage.prompt_tokens.0;
                    m.cached += usage.cached_tokens.0;
                    m.wasted += wasted;
                    let _ = m.ttft.record(ttft.unwrap_or_default().as_micros().max(1) as u64);
                    return true;
                }
            }
        }
    }
    run.borrow_mut().measures.lost += 1;
    true
}

async fn alert(client: &Client, router: &str, key: &str, run: &RefCell<Run>) -> bool {
    let url = format!("http://{router}/v1/services/alerts");
    let response =
        client.post(url).header(IDEMPOTENCY_KEY, key).send_body("press-line alert").await;
    match response {
        Ok(response) if response.status().is_success() => {}
        Ok(mut response) => {
            let body = response.body().await.unwrap_or_default();
            if count_refusal(run, &body) {
                run.borrow_mut().refused_keys.push(key.to_string());
            }
        }
        Err(error) => {
            tracing::warn!(target: "load", "load: call to {router} failed: {error}.");
            run.borrow_mut().measures.lost += 1;
            return false;
        }
    }
    true
}

/// Counts a refused call; returns true when the response says that it did not run.
fn count_refusal(run: &RefCell<Run>, body: &[u8]) -> bool {
    let mut run = run.borrow_mut();
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(error) if error.error.not_run => {
            run.measures.refused += 1;
            true
        }
        _ => {
            let text = String::from_utf8_lossy(body);
            tracing::info!(target: "load", "load: a call failed: {text}.");
            run.measures.lost += 1;
            false
        }
    }
}

/// Counts the refusals reported as "not run" for calls that the service did run.
async fn false_refusals(client: &Client, service: &str, keys: &[String]) -> u64 {
    let mut count = 0;
    for key in keys {
        let Ok(mut response) = client.get(format!("http://{service}/v1/runs/{key}")).send().await
        else {
            continue;
        };
        let body = response.body().await.unwrap_or_default();
        if String::from_utf8_lossy(&body).trim() != "0" {
            count += 1;
        }
    }
    count
}
