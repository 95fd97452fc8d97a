//! `POST /v1/services/{name}`: a call to a plain service.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use marjoram_core::wire::IDEMPOTENCY_KEY;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, types};
use rand::seq::SliceRandom;

use super::serving::{Count, Serving};
use super::{Shared, read_body, reply_error};
use crate::at_most_once;
use crate::error::Error;
use crate::node::Node;
use crate::request_limits::HeldRequest;

/// Forwards a call to a plain service.
///
/// With an idempotency key the call runs at most once (see `at_most_once`). Without
/// one it is sent once and never retried: the answer to a refused connection is "not
/// run", and to any later failure "outcome unknown".
pub async fn call_service(
    node: Shared,
    name: types::Path<String>,
    request: HttpRequest,
    payload: types::Payload,
) -> HttpResponse {
    let node: Arc<Node> = node.get_ref().clone();
    let mut serving = Serving::new(node.clone(), request.peer_addr());
    let reply = match node.draining.load(Ordering::Acquire) {
        true => at_most_once::Reply::Refused(Error::Draining),
        false => match read_body(&node, payload, &serving).await {
            Ok((body, held)) => {
                serving.set_received();
                call(&node, name.into_inner(), &request, body, held).await
            }
            Err(error) => at_most_once::Reply::Refused(error),
        },
    };
    serving.set_answered();
    let answered = match reply {
        at_most_once::Reply::Answer(answer, replayed) => {
            let body = serving.answer_body(answer.body.into());
            body.map(|body| respond(answer.status, answer.kind.as_deref(), replayed, body))
        }
        at_most_once::Reply::Refused(error) => Err(error),
    };
    answered.unwrap_or_else(|error| {
        tracing::info!(target: "serve", "serve: service call {} from {} failed: {error}.", serving.id, serving.peer);
        reply_error(&error)
    })
}

/// The response with a service's answer, of the content type `kind`.
fn respond(status: u16, kind: Option<&str>, replayed: bool, body: Body) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    HttpResponse::build(status)
        .content_type(kind.unwrap_or("application/octet-stream"))
        .header("idempotent-replayed", if replayed { "true" } else { "false" })
        .body(body)
}

async fn call(
    node: &Arc<Node>,
    path: String,
    request: &HttpRequest,
    body: Bytes,
    held: HeldRequest,
) -> at_most_once::Reply {
    let mut services = node.pool.load().services.clone();
    services.shuffle(&mut rand::rng());
    let call = at_most_once::Call { services, path, body, _held: held };
    let key = request.headers().get(IDEMPOTENCY_KEY).and_then(|v| v.to_str().ok());
    let Some(key) = key.map(str::to_owned) else {
        return at_most_once::call_plain(node, call).await;
    };
    // A task of its own records the outcome also if the caller leaves.
    let (node, count) = (node.clone(), Count::new(node.clone()));
    let task = ntex::rt::spawn(async move {
        let _count = count;
        at_most_once::call(&node, &key, call).await
    });
    task.await.unwrap_or_else(|error| {
        let why = format!("the call ended without an outcome: {error:?}");
        at_most_once::Reply::Refused(Error::Engine("call", "service".into(), why))
    })
}
