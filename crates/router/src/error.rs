//! Errors of the router. Each names the step and the peer.

use std::time::Duration;

use marjoram_core::peer_budget::{self, Exhausted};
use marjoram_core::wire::{ErrorBody, ErrorDetail};
use ntex::http::StatusCode;
use ntex::http::client::error::{ConnectError, SendRequestError};
use quick_error::quick_error;

/// Fraction of the time until engines take requests again by which refused callers
/// are told to retry later at most, so that they do not all return at once.
const RETRY_SPREAD: f64 = 0.5;

quick_error! {
    /// A failure while serving one request or running the node.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is invalid.
        Usage(message: String) {
            display("{message}; see --help")
        }
        /// A setting is missing or invalid.
        Setting(name: &'static str, message: String) {
            display("setting --{name}: {message}")
        }
        /// The settings file cannot be read or is invalid.
        Settings(path: String, why: String) {
            display("{path}: {why}")
        }
        /// A socket could not be bound.
        Bind(addr: String, source: std::io::Error) {
            display("bind {addr}: {source}")
            source(source)
        }
        /// The caller's request is malformed.
        Parse(peer: String, message: String) {
            display("parse request from {peer}: {message}")
        }
        /// The caller's prompt is over the size limit.
        TooLarge(peer: String, size: usize, limit: usize) {
            display("parse request from {peer}: prompt of {size} bytes is over the limit of {limit}")
        }
        /// The requests of all callers together use up the memory or the connections.
        Exhausted(peer: String, why: Exhausted) {
            display("read request from {peer}: {why}")
        }
        /// The body of a request has not arrived in time.
        Slow(peer: String, limit: Duration) {
            display("read request from {peer}: not complete in {limit:?}")
        }
        /// The workspace is not configured.
        UnknownWorkspace(peer: String, workspace: String) {
            display("route request from {peer}: workspace {workspace:?} is not configured")
        }
        /// No live engine can serve the request.
        NoEngine(workspace: String) {
            display("route request of {workspace}: no live engine")
        }
        /// All engines that could serve the request have asked this router to back off.
        BackedOff(workspace: String, left: Duration) {
            display("route request of {workspace}: the engines have asked to back off for {left:?} more")
        }
        /// No slot is free at the engines, which can bear few rejections.
        Full(workspace: String) {
            display("route request of {workspace}: no engine has a free slot")
        }
        /// The request is quarantined because engines crashed while running it.
        Quarantined(request: String, left: Duration) {
            display("route request {request}: engines crashed under it, so it is sent to none for {left:?}")
        }
        /// The first token is expected later than the caller's or the router's limit.
        Late(workspace: String, wait: Duration, limit: Duration) {
            display("route request of {workspace}: the first token is expected in {wait:?}, later than the {limit:?} it may take")
        }
        /// The caller's deadline passed before the first token.
        Deadline(peer: String) {
            display("stream at engine {peer}: the caller's deadline passed before the first token")
        }
        /// No plain service of that name is live.
        NoService(name: String) {
            display("route call to service {name}: none is live")
        }
        /// No configuration has been read yet.
        NotConfigured {
            display("route request: this router has read no configuration yet")
        }
        /// The log service failed.
        Log(step: &'static str, peer: String, message: String) {
            display("{step} at log service {peer}: {message}")
        }
        /// Another router failed to answer.
        Peer(step: &'static str, peer: String, message: String) {
            display("{step} router {peer}: {message}")
        }
        /// An engine did not accept an order.
        Order(peer: String, message: String) {
            display("order weights at engine {peer}: {message}")
        }
        /// A claim for an at-most-once call could not be made or read.
        Claim(step: &'static str, peer: String, message: String) {
            display("{step} at log service {peer}: {message}; the call was not sent")
        }
        /// Another attempt has claimed the key and its outcome is not known.
        Held(key: String) {
            display("call with idempotency key {key:?} is held by another attempt whose outcome is not known; it may have run")
        }
        /// The router is draining and accepts no new work.
        Draining {
            display("route request: this router is shutting down")
        }
        /// An engine refused the request, which has not run there.
        Refused(peer: String, message: String) {
            display("send to engine {peer}: refused: {message}")
        }
        /// A plain service could not be reached; the call was not sent.
        Connect(peer: String, message: String) {
            display("connect to service {peer}: {message}")
        }
        /// An engine or plain service failed after the request was sent;
        /// its outcome is unknown.
        Engine(step: &'static str, peer: String, message: String) {
            display("{step} at upstream {peer}: {message}")
        }
    }
}

/// Whether a request failed before any of it was sent. The HTTP client also reports a
/// connection that was closed without an answer as a connect error, but one without an
/// error of the operating system; in that case the peer may have run the request.
pub fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected(None)) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}

impl Error {
    /// The HTTP status of the response for this error.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Parse(..) => StatusCode::BAD_REQUEST,
            Self::TooLarge(..) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow(..) => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownWorkspace(..) => StatusCode::NOT_FOUND,
            Self::NoEngine(..)
            | Self::BackedOff(..)
            | Self::Full(..)
            | Self::Quarantined(..)
            | Self::Late(..)
            | Self::Exhausted(..)
            | Self::NoService(..)
            | Self::Draining
            | Self::NotConfigured
            | Self::Connect(..)
            | Self::Refused(..)
            | Self::Claim(..)
            | Self::Log(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Held(..) => StatusCode::CONFLICT,
            Self::Engine(..) => StatusCode::BAD_GATEWAY,
            Self::Deadline(..) => StatusCode::GATEWAY_TIMEOUT,
            Self::Usage(..)
            | Self::Setting(..)
            | Self::Bind(..)
            | Self::Settings(..)
            | Self::Peer(..)
            | Self::Order(..) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Time after which the caller may retry, if a retry may help: when the queue should
    /// be short enough again, when the quarantine ends, when engines take requests again,
    /// or else one second.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Late(_, wait, limit) => Some(wait.saturating_sub(*limit)),
            Self::Quarantined(_, left) => Some(*left),
            Self::Exhausted(..) => Some(peer_budget::retry_after(rand::random())),
            Self::BackedOff(_, left) => {
                Some(left.mul_f64(1.0 + RETRY_SPREAD * rand::random::<f64>()))
            }
            _ => match self.status() {
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT => {
                    Some(Duration::from_secs(1))
                }
                _ => None,
            },
        }
    }

    /// The JSON body of the response for this error.
    pub fn body(&self) -> ErrorBody {
        let (step, peer) = match self {
            Self::Usage(_) => ("settings", "command line".to_string()),
            Self::Setting(name, _) => ("settings", name.to_string()),
            Self::Bind(addr, _) => ("bind", addr.clone()),
            Self::Settings(path, _) => ("settings", path.clone()),
            Self::Parse(peer, _) | Self::TooLarge(peer, ..) => ("parse", peer.clone()),
            Self::Exhausted(peer, _) | Self::Slow(peer, _) => ("read", peer.clone()),
            Self::UnknownWorkspace(peer, _) => ("route", peer.clone()),
            Self::NoEngine(_)
            | Self::BackedOff(..)
            | Self::Full(..)
            | Self::Quarantined(..)
            | Self::Late(..)
            | Self::NoService(_)
            | Self::Draining
            | Self::NotConfigured => ("route", "router".to_string()),
            Self::Connect(peer, _) => ("connect", peer.clone()),
            Self::Refused(peer, _) => ("send", peer.clone()),
            Self::Engine(step, peer, _) => (*step, peer.clone()),
            Self::Deadline(peer) => ("deadline", peer.clone()),
            Self::Claim(step, peer, _) | Self::Log(step, peer, _) | Self::Peer(step, peer, _) => {
                (*step, peer.clone())
            }
            Self::Order(peer, _) => ("order", peer.clone()),
            Self::Held(key) => ("claim", key.clone()),
        };
        ErrorBody {
            error: ErrorDetail {
                step: step.into(),
                peer,
                message: self.to_string(),
                not_run: !matches!(self, Self::Engine(..) | Self::Held(..) | Self::Deadline(..)),
            },
        }
    }
}
