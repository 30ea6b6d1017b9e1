//! Calls with an idempotency key, which are sent at most once over all hosts.

use super::forward::Forward;
use crate::{
    clock::Clock,
    error::{Fail, Kind, Res},
    http::Reply,
    kernel::Host,
    once::{Call, Record, Saved},
    wire::Name,
};
use std::{sync::Arc, time::Duration};

/// Longest idempotency key, in bytes.
const KEY_MAX: usize = 255;
/// Largest answer body that is stored for repeats, in bytes.
const BODY_MAX: usize = 64 * 1024;
/// Time limit of each of the two log writes, before and after the call.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two polls for the outcome of another attempt.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The id of a call: its key, unique within the workspace.
pub(super) fn id(workspace: &str, key: &str) -> Res<Name> {
    if key.is_empty() || key.len() > KEY_MAX {
        let text = format!("give 1 to {KEY_MAX} bytes");
        return Err(Fail::field("idempotency-key", text));
    }
    Ok(format!("{workspace}/{key}").into())
}

/// Runs a call unless an attempt was made before; a repeat gets the recorded answer.
pub(super) fn run(
    host: &Arc<Host>,
    id: &Name,
    call: &Forward,
    confirm: impl FnOnce() -> Res<()>,
) -> Res<Reply> {
    let attempt = rand::random();
    let digest = call.digest();
    let intent = Record::Intent {
        id: id.clone(),
        host: host.me.name.clone(),
        attempt,
        digest: digest.clone(),
    };
    let claimed = host
        .calls
        .settle(&intent, LOG_TIMEOUT, |calls| calls.call(id).cloned());
    let held = match claimed {
        Ok(held) => held,
        Err(fail) => {
            drop_attempt(host, id, attempt);
            return Err(not_sent(&fail));
        }
    };
    if held.attempt != attempt {
        return answer_repeat(host, &held, &digest, call);
    }
    let result = confirm().and_then(|()| call.send());
    record(host, id, attempt, &result);
    result
}

/// The error of a call whose intent may or may not be in the log; nothing was sent either way.
fn not_sent(fail: &Fail) -> Fail {
    let text = format!(
        "nothing was sent, because the log cannot be written: {}",
        fail.text
    );
    Fail::new(Kind::LogDown, text)
}

fn drop_attempt(host: &Host, id: &Name, attempt: u64) {
    host.calls.submit(&Record::Dropped {
        id: id.clone(),
        attempt,
    });
}

fn record(host: &Host, id: &Name, attempt: u64, result: &Res<Reply>) {
    let reply = match result {
        Ok(reply) => reply,
        Err(fail) if fail.kind.row().ran == crate::error::Ran::No => {
            return drop_attempt(host, id, attempt);
        }
        // The call may have run: without an outcome in the log it is never sent again.
        Err(_) => return,
    };
    let kind = reply.fields.iter().find(|(n, _)| n == "content-type");
    let outcome = Record::Outcome {
        id: id.clone(),
        attempt,
        saved: Saved {
            status: reply.status,
            kind: kind.map_or("", |(_, v)| v).into(),
            body: (reply.body.len() <= BODY_MAX).then(|| reply.body.clone()),
        },
    };
    // The caller gets its answer even if this write fails; a repeat then gets `OutcomeUnknown`.
    let _ = host.calls.settle(&outcome, LOG_TIMEOUT, |calls| {
        calls.call(id).and_then(|c| c.saved.clone())
    });
}

fn answer_repeat(host: &Arc<Host>, held: &Call, digest: &Name, call: &Forward) -> Res<Reply> {
    if held.digest != *digest {
        let text = "the idempotency key was used for another request; use a new key";
        return Err(Fail::new(Kind::Conflict, text));
    }
    loop {
        let found = host.calls.view(|calls| calls.call(&held.id).cloned());
        let Some(found) = found.filter(|c| c.attempt == held.attempt) else {
            let text = "the earlier attempt sent nothing; send the call again";
            return Err(Fail::new(Kind::Unreachable, text));
        };
        if let Some(saved) = found.saved {
            return saved_reply(saved);
        }
        let lost = host.members.is_gone(&held.host, host.now());
        if lost || host.now() >= call.deadline() {
            return Err(unknown());
        }
        host.clock.sleep(POLL_INTERVAL);
    }
}

fn saved_reply(saved: Saved) -> Res<Reply> {
    let Some(body) = saved.body else {
        let text = "the call ran, but its answer was too large to be stored for repeats";
        return Err(Fail::new(Kind::OutcomeUnknown, text));
    };
    Ok(Reply {
        status: saved.status,
        fields: vec![("content-type".into(), saved.kind.to_string())],
        body,
    })
}

fn unknown() -> Fail {
    let text = "an earlier attempt may have run with unknown outcome; it is not sent again";
    Fail::new(Kind::OutcomeUnknown, text)
}
