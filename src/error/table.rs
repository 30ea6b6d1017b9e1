//! The table that maps each error kind to its response.

use super::Kind;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a backend server ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It certainly did not.
    No,
    /// It did, at least in part.
    Yes,
    /// It may have.
    Unknown,
}

/// The response to one kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// HTTP status code.
    pub status: u16,
    /// Stable, machine-readable error code.
    pub code: &'static str,
    /// Whether a backend server ran the request.
    pub ran: Ran,
    /// Time after which to try again, if that may help.
    pub after: Option<Duration>,
}

const SOON: Option<Duration> = Some(Duration::from_secs(1));
const LATER: Option<Duration> = Some(Duration::from_secs(5));

const fn row(status: u16, code: &'static str, ran: Ran, after: Option<Duration>) -> Row {
    Row {
        status,
        code,
        ran,
        after,
    }
}

impl Kind {
    /// All kinds, in declaration order.
    pub const ALL: [Kind; 32] = [
        Kind::BadRequest,
        Kind::RequestCut,
        Kind::Unauthorized,
        Kind::Forbidden,
        Kind::NotFound,
        Kind::UnknownModel,
        Kind::BadMethod,
        Kind::Conflict,
        Kind::TooLarge,
        Kind::HeadTooLarge,
        Kind::BadType,
        Kind::RateLimited,
        Kind::Overloaded,
        Kind::NotReady,
        Kind::Stopping,
        Kind::LogDown,
        Kind::Unsettled,
        Kind::ExpiredWaiting,
        Kind::ExpiredRunning,
        Kind::Unreachable,
        Kind::ServerLost,
        Kind::ServerRefused,
        Kind::ServerFull,
        Kind::ServerFailed,
        Kind::BrokenAnswer,
        Kind::KeyWithdrawn,
        Kind::Preempted,
        Kind::Quarantined,
        Kind::VersionGone,
        Kind::Cancelled,
        Kind::OutcomeUnknown,
        Kind::Internal,
    ];

    /// The response to this kind.
    pub const fn row(self) -> Row {
        match self {
            Kind::BadRequest => row(400, "bad_request", Ran::No, None),
            Kind::RequestCut => row(408, "request_cut", Ran::No, SOON),
            Kind::Unauthorized => row(401, "unauthorized", Ran::No, None),
            Kind::Forbidden => row(403, "forbidden", Ran::No, None),
            Kind::NotFound => row(404, "not_found", Ran::No, None),
            Kind::UnknownModel => row(404, "unknown_model", Ran::No, None),
            Kind::BadMethod => row(405, "bad_method", Ran::No, None),
            Kind::Conflict => row(409, "conflict", Ran::No, None),
            Kind::TooLarge => row(413, "too_large", Ran::No, None),
            Kind::HeadTooLarge => row(431, "head_too_large", Ran::No, None),
            Kind::BadType => row(415, "bad_type", Ran::No, None),
            Kind::RateLimited => row(429, "rate_limited", Ran::No, SOON),
            Kind::Overloaded => row(503, "overloaded", Ran::No, SOON),
            Kind::NotReady => row(503, "not_ready", Ran::No, SOON),
            Kind::Stopping => row(503, "stopping", Ran::No, SOON),
            Kind::LogDown => row(503, "log_down", Ran::No, LATER),
            Kind::Unsettled => row(503, "unsettled", Ran::Unknown, SOON),
            Kind::ExpiredWaiting => row(504, "expired_waiting", Ran::No, SOON),
            Kind::ExpiredRunning => row(504, "expired_running", Ran::Unknown, SOON),
            Kind::Unreachable => row(503, "unreachable", Ran::No, SOON),
            Kind::ServerLost => row(502, "server_lost", Ran::Unknown, SOON),
            Kind::ServerRefused => row(502, "server_refused", Ran::Unknown, None),
            Kind::ServerFull => row(503, "server_full", Ran::No, SOON),
            Kind::ServerFailed => row(502, "server_failed", Ran::Yes, SOON),
            Kind::BrokenAnswer => row(502, "broken_answer", Ran::Yes, SOON),
            Kind::KeyWithdrawn => row(401, "key_withdrawn", Ran::Yes, None),
            Kind::Preempted => row(503, "preempted", Ran::Yes, SOON),
            Kind::Quarantined => row(422, "quarantined", Ran::No, None),
            Kind::VersionGone => row(422, "version_gone", Ran::No, None),
            Kind::Cancelled => row(409, "cancelled", Ran::Unknown, None),
            Kind::OutcomeUnknown => row(502, "outcome_unknown", Ran::Unknown, None),
            Kind::Internal => row(500, "internal", Ran::Unknown, None),
        }
    }
}
