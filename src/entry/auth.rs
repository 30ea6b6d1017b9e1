//! Authentication of callers by API key, and admission under the workspace's rate limit.

use crate::{
    error::{Fail, Kind, Res},
    http::Request,
    kernel::Host,
    limit::Permit,
    wire::Name,
};
use sha2::{Digest, Sha256};
use std::{fmt::Write, sync::Arc};

/// Longest key, in bytes.
const KEY_MAX: usize = 512;
/// Shortest key, in bytes, that is searched for in the rest of a request.
const LEAK_MIN: usize = 8;

/// An authenticated caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Workspace that the key belongs to.
    pub workspace: Name,
    /// SHA-256 of the key, in hexadecimal.
    pub hash: Name,
}

/// Authenticates `request` by its key.
///
/// # Errors
/// `Unauthorized` without a valid key, `BadRequest` if the key is also outside the authorization
/// header, `NotReady` if this host has not read the configuration or may miss withdrawals.
pub fn admit(host: &Host, request: &Request) -> Res<Caller> {
    let hash = key_hash(request)?;
    check_leak(request)?;
    if !host.is_connected() {
        return Err(Fail::new(
            Kind::NotReady,
            "the host has no current configuration to check the key; use another host",
        ));
    }
    caller(host, hash)
}

/// The caller whose key has the hash `hash`.
///
/// # Errors
/// `Unauthorized` if the key is unknown or withdrawn, `NotReady` if it may be new.
pub fn caller(host: &Host, hash: Name) -> Res<Caller> {
    if let Some(workspace) = workspace_of(host, &hash) {
        return Ok(Caller { workspace, hash });
    }
    let fail = Fail::new(Kind::Unauthorized, "the key is unknown or was withdrawn");
    // A key that this host knows is certainly withdrawn.
    Err(match host.config.view(|s| s.has_key(&hash)) {
        true => fail,
        false => host.absent(fail),
    })
}

/// Whether the key of `caller` is still valid. Checked repeatedly while an answer is generated.
pub fn is_valid(host: &Host, caller: &Caller) -> bool {
    workspace_of(host, &caller.hash).as_ref() == Some(&caller.workspace)
}

/// Takes one of the workspace's rate tokens for a request that is sent at once.
///
/// # Errors
/// `RateLimited` with the time after which to try again.
pub fn spend(host: &Arc<Host>, caller: &Caller) -> Res<()> {
    reserve(host, caller)?.confirm(host)
}

/// Takes one of the workspace's rate tokens for a request that may wait before it is sent. The
/// permit must be confirmed right before the request leaves for a backend server.
///
/// # Errors
/// `RateLimited` with the time after which to try again.
pub fn reserve(host: &Arc<Host>, caller: &Caller) -> Res<Permit> {
    host.limits.reserve(host, &caller.workspace)
}

/// SHA-256 of `key` in hexadecimal.
pub fn hash_key(key: &str) -> Name {
    hex(&Sha256::digest(key.as_bytes()))
}

/// Refuses a request that carries its key anywhere but in the authorization header, since a backend
/// server might receive it from there.
///
/// # Errors
/// `BadRequest` if the key is in the path, the query, the body or another header field.
pub fn check_leak(request: &Request) -> Res<()> {
    let values = request.head.fields.iter();
    let keys = values
        .filter(|(n, _)| n == "authorization")
        .filter_map(|(_, v)| v.split_whitespace().last())
        .filter(|k| k.len() >= LEAK_MIN);
    for key in keys {
        let text = key.as_bytes();
        let head = &request.head;
        let fields = head.fields.iter().filter(|(n, _)| n != "authorization");
        let found = contains(head.path.as_bytes(), text)
            || contains(head.query.as_bytes(), text)
            || contains(&request.body, text)
            || fields
                .into_iter()
                .any(|(_, v)| contains(v.as_bytes(), text));
        if found {
            let text = "send the key in the authorization header only";
            return Err(Fail::new(Kind::BadRequest, text));
        }
    }
    Ok(())
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    let first = part[0];
    let starts = bytes.iter().enumerate().filter(|(_, b)| **b == first);
    starts
        .into_iter()
        .any(|(i, _)| bytes[i..].starts_with(part))
}

/// `bytes` in hexadecimal.
pub(super) fn hex(bytes: &[u8]) -> Name {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}

fn workspace_of(host: &Host, hash: &str) -> Option<Name> {
    let found = host.config.view(|state| {
        let key = state.key(hash)?;
        Some((key.workspace.clone(), state.revision))
    });
    let (workspace, revision) = found?;
    (!host.withdrawals.is_withdrawn(hash, revision)).then_some(workspace)
}

/// SHA-256 of the key that `request` came with, in hexadecimal.
///
/// # Errors
/// `Unauthorized` without exactly one authorization header of the scheme "Bearer".
pub fn key_hash(request: &Request) -> Res<Name> {
    let mut given = request
        .head
        .fields
        .iter()
        .filter(|(n, _)| n == "authorization");
    let (first, second) = (given.next(), given.next());
    let (Some((_, value)), None) = (first, second) else {
        return Err(unauthorized());
    };
    let (scheme, key) = value.split_once(' ').ok_or_else(unauthorized)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() || key.len() > KEY_MAX {
        return Err(unauthorized());
    }
    Ok(hash_key(key))
}

fn unauthorized() -> Fail {
    Fail::new(
        Kind::Unauthorized,
        "send one header \"authorization: Bearer KEY\"",
    )
}
