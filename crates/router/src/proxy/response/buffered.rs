//! Forwards answers whose bodies are read whole first.

use std::io;

use bytes::BytesMut;
use marjoram_core::buffer_budget::CompleteBody;
use marjoram_core::peer_budget::Stage;

use super::{Close, Outcome, READ_AHEAD, head};
use crate::conn::Conn;
use crate::proxy::attempt::StartedAnswer;
use crate::proxy::failure::Failure;
use crate::proxy::fleet::Flight;
use crate::proxy::peer_limits::GivenUp;
use crate::proxy::refusal::Refusal;
use crate::proxy::request::{Answer, Exchange};
use crate::proxy::site::Site;

/// Forwards an error response of an upstream.
pub(super) async fn forward_error(
    site: &Site,
    caller: &mut Conn,
    opened: StartedAnswer,
    body: CompleteBody,
    close: &mut Close,
) -> Outcome {
    let status = opened.head.status;
    // Callers take these statuses as a promise that the request was not executed.
    if matches!(status, 408 | 421 | 429 | 503) && !opened.mark.not_run {
        opened.finish(site.now());
        return Outcome::Refused(Refusal::with_status(
            502,
            "upstream failed after it may have run",
        ));
    }
    let head = close.finish(head(&opened), site, caller).finish_head(body.size());
    opened.finish(site.now());
    write_answer(site, caller, head, body, status).await
}

/// Writes an answer: its head, and the body in blocks, which are freed one by one.
async fn write_answer(
    site: &Site,
    caller: &mut Conn,
    mut head: BytesMut,
    body: CompleteBody,
    status: u16,
) -> Outcome {
    if let Err(why) = caller.keep(caller.kept() + body.size()) {
        site.report_given_up(GivenUp::Answer, why);
        return Outcome::Refused(Refusal::with_status(502, "no memory for the answer"));
    }
    caller.enter(Stage::Sending);
    let written = async {
        let mut blocks = body.into_blocks().into_iter();
        let first = blocks.next().unwrap_or_default();
        head.extend_from_slice(&first);
        caller.write(&head).await?;
        for block in blocks {
            caller.write(&block).await?;
            let kept = caller.kept().saturating_sub(block.len());
            caller.keep(kept).map_err(io::Error::other)?;
        }
        Ok(())
    };
    let written = written.await;
    if let Some(why) = caller.given_up() {
        site.report_given_up(GivenUp::Answer, why);
    }
    Outcome::written(status, written)
}

/// Forwards an answer after its body has been received completely, so that the
/// caller never takes a truncated one for complete.
pub(super) async fn forward_buffered(
    site: &Site,
    caller: &mut Conn,
    exchange: &mut Exchange,
    mut opened: StartedAnswer,
    mut flight: Flight,
    close: &mut Close,
) -> Outcome {
    let begun = site.now();
    loop {
        let collected = tokio::select! {
            body = tokio::time::timeout_at(site.at(exchange.expires), opened.collect(&site.buffers)) => body,
            end = caller.wait_until_closed(READ_AHEAD) => return Outcome::left(&end),
        };
        match collected {
            Err(_) => return Outcome::Refused(exchange.deadline_refusal()),
            Ok(Ok(body)) => {
                let status = opened.head.status;
                let without_body = exchange.request().head.method == "HEAD";
                let head = close.finish(head(&opened), site, caller);
                let head = match without_body {
                    true => head.finish_without_body(),
                    false => head.finish_head(body.size()),
                };
                {
                    let mut health = opened.upstream.health.borrow_mut();
                    health.record_response(true);
                    health.record_latency(site.now().saturating_sub(begun) + exchange.last_wait());
                }
                exchange.record_completion(status);
                opened.finish(site.now());
                flight.end();
                drop(flight);
                return write_answer(site, caller, head, body, status).await;
            }
            Ok(Err(failure @ Failure::NoMemory(_))) => {
                site.counters.count("answer.no_memory");
                tracing::warn!(target: "attempt", id = exchange.id(),
                    upstream = %opened.upstream.life, %failure, "answer given up");
                return Outcome::Refused(Refusal::with_status(502, "no memory for the answer"));
            }
            Ok(Err(failure)) => {
                exchange.record_broken_answer(&opened, &failure);
                drop((opened, flight));
                let again = tokio::select! {
                    again = exchange.open(None) => again,
                    end = caller.wait_until_closed(READ_AHEAD) => return Outcome::left(&end),
                };
                match again {
                    Err(refusal) => return Outcome::Refused(refusal),
                    Ok(Answer::Failed(opened, body)) => {
                        return forward_error(site, caller, opened, body, close).await;
                    }
                    Ok(Answer::Open(next, next_flight)) => (opened, flight) = (next, next_flight),
                }
            }
        }
    }
}
