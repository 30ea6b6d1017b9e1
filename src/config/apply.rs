//! Submits a change to the log and reports its outcome.

use super::{Change, Conflict, Edit, Fault, Outcome, Record, State, Verdict, digest, fields};
use crate::{
    error::{Fail, Kind, Res},
    fold::Pos,
    kernel::Host,
    timeline::Happening,
};
use std::{sync::Arc, time::Duration};

/// Appends `change` and waits at most `limit` until it has been read back and evaluated. Returns the
/// revision at which it is in force. A change that was evaluated before is not applied again.
///
/// # Errors
/// `BadRequest` with every fault, `Conflict` if another change won, `LogDown` if nothing was stored,
/// `Unsettled` if the outcome is not known yet: retry with the same change.
pub fn apply(host: &Arc<Host>, change: &Change, limit: Duration) -> Res<Pos> {
    let record = Record::Change(change.clone());
    let outcome = host
        .config
        .settle(&record, limit, |s| s.outcome(&change.id).cloned())?;
    let result = host.config.view(|state| result_of(state, change, &outcome));
    let what = match &result {
        Ok(_) => Happening::ConfigAccepted,
        Err(_) => Happening::ConfigRejected,
    };
    let note = result.as_ref().err().map(|f| f.to_string());
    host.timeline.note(
        what,
        &change.id,
        Some(outcome.at),
        note.as_deref().unwrap_or_default(),
    );
    result
}

/// The result of `change` for the operator who requested it.
pub fn result_of(state: &State, change: &Change, outcome: &Outcome) -> Res<Pos> {
    if outcome.digest != digest(change) {
        let text = format!(
            "another change was made with the id \"{}\"; use a new id",
            change.id
        );
        return Err(Fail::new(Kind::Conflict, text));
    }
    match &outcome.verdict {
        Verdict::Accepted => Ok(outcome.at),
        Verdict::Lost(conflicts) => Err(conflict_error(state, change, conflicts)),
        Verdict::Refused(faults) => Err(error_of(faults)),
    }
}

fn conflict_error(state: &State, change: &Change, lost: &[Conflict]) -> Fail {
    let lines: Vec<String> = lost.iter().map(|c| describe(state, change, c)).collect();
    let text = format!(
        "nothing was changed; look at the state and ask again: {}",
        lines.join("; ")
    );
    Fail::new(Kind::Conflict, text)
}

fn describe(state: &State, change: &Change, conflict: &Conflict) -> String {
    let Conflict {
        id, base, revision, ..
    } = conflict;
    if *revision == 0 {
        return format!("{id} does not exist, the change was made against revision {base}");
    }
    let edit = change.edits.iter().find(|e| e.id == *id);
    format!(
        "{id} is at revision {revision} by change \"{}\" of {}, the change was made against {base}; differs in: {}",
        conflict.winner,
        conflict.author,
        edit.map(|e| differences(state, e)).unwrap_or_default()
    )
}

/// Fields in which the declaration of `edit` and the one in force differ, with both values.
fn differences(state: &State, edit: &Edit) -> String {
    let now = state.object(&edit.id).map(|o| &o.item);
    let (Some(now), Some(wanted)) = (now, &edit.item) else {
        return "whether it exists".into();
    };
    let (now, wanted) = (fields(now), fields(wanted));
    let lines: Vec<String> = wanted
        .iter()
        .filter(|(k, v)| now.get(*k) != Some(v))
        .map(|(k, v)| {
            let current = now.get(k).map(ToString::to_string).unwrap_or_default();
            format!("{k} (in force {current}, wanted {v})")
        })
        .collect();
    if lines.is_empty() {
        return "nothing".into();
    }
    lines.join(", ")
}

/// A `BadRequest` error whose message lists all `faults`.
pub fn error_of(faults: &[Fault]) -> Fail {
    let lines: Vec<String> = faults
        .iter()
        .map(|f| format!("{} field \"{}\": {}", f.id, f.field, f.text))
        .collect();
    let mut fail = Fail::new(Kind::BadRequest, lines.join("; "));
    fail.field = faults.first().map(|f| f.field.clone());
    fail
}
