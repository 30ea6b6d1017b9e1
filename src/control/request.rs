//! Parses operators' requests and submits the changes they ask for.

use crate::{
    config::{self, Change, Edit, Sort, State},
    error::{Fail, Kind, Res},
    fold::Pos,
    http::Exchange,
    kernel::Host,
    wire::Name,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::{sync::Arc, time::Duration};

/// Longest time that an operator waits for a change to be read back from the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Query parameters of a request for a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeParams {
    /// Id of the change, random if the operator gave none. A repeat with the same id has no effect.
    pub id: Name,
    /// Who asks for the change; `operator` if not given.
    pub author: Name,
    /// Why, or empty.
    pub reason: Name,
    /// Revision of the object that the change is made against, if given; any other is a conflict, a
    /// deleted object too in a `PUT`. Unused by `POST /control/changes`: its edits have their own.
    pub base: Option<Pos>,
}

/// Result of an accepted change, or of one without edits, which is not submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Id of the change.
    pub change: Name,
    /// Revision at which the change took force; without edits, the present revision.
    pub revision: Pos,
}

impl ChangeParams {
    /// Reads the query parameters `change`, `author`, `reason` and `base`.
    ///
    /// # Errors
    /// `BadRequest` if `base` is not a revision.
    pub fn parse(exchange: &Exchange) -> Res<Self> {
        let head = &exchange.request.head;
        let text = |name: &str| head.param(name).map(Name::from);
        let base = match head.param("base") {
            None => None,
            Some(base) => Some(base.parse().map_err(|_| {
                Fail::field("base", format!("\"{base}\" is not a revision (a number)"))
            })?),
        };
        Ok(Self {
            id: text("change").unwrap_or_else(new_id),
            author: text("author").unwrap_or_else(|| "operator".into()),
            reason: text("reason").unwrap_or_default(),
            base,
        })
    }

    /// Submits the change of `edits` to the log. If this host has read one with the same id and
    /// kept its outcome, returns that result; if there are no edits, the present revision.
    pub(super) fn submit(
        self,
        host: &Arc<Host>,
        edits: impl FnOnce(&State, &Self) -> Vec<Edit>,
    ) -> Res<Applied> {
        let (outcome, edits) = host.config.view(|state| {
            let outcome = state.outcome(&self.id).cloned();
            (outcome, edits(state, &self))
        });
        let mut change = Change::new(self.id.clone(), self.author, self.reason);
        change.edits = edits;
        let revision = match outcome {
            Some(mut outcome) => {
                // Pass the check in `result_of`: a repeat's edits, of a later state, may differ.
                outcome.digest = config::digest(&change);
                host.config
                    .view(|s| config::result_of(s, &change, &outcome))?
            }
            None if change.edits.is_empty() => host.config.view(|s| s.revision),
            None => config::apply(host, &change, READ_BACK_TIMEOUT)?,
        };
        Ok(Applied {
            change: self.id,
            revision,
        })
    }
}

fn new_id() -> Name {
    format!("{:016x}", rand::random::<u64>()).into()
}

/// The body as a JSON object; empty if there is no body.
pub(super) fn body(exchange: &Exchange) -> Res<Map<String, Value>> {
    let bytes = &exchange.request.body;
    if bytes.is_empty() {
        return Ok(Map::new());
    }
    match serde_json::from_slice(bytes) {
        Ok(Value::Object(map)) => Ok(map),
        Ok(_) => Err(Fail::new(
            Kind::BadRequest,
            "the body must be a JSON object",
        )),
        Err(e) => Err(Fail::new(
            Kind::BadRequest,
            format!("the body is not valid JSON: {e}"),
        )),
    }
}

/// The sort and the name in a path below `/control/`; the name may be empty.
pub(super) fn target(path: &str) -> Res<(Sort, &str)> {
    let rest = path.strip_prefix("/control/").unwrap_or(path);
    let (sort, name) = rest.split_once('/').unwrap_or((rest, ""));
    let found = Sort::parse(sort);
    let sort = found.ok_or_else(|| Fail::new(Kind::NotFound, format!("no path \"{path}\"")))?;
    // The names of routes begin with a slash.
    let name = match sort {
        Sort::Route => &rest[sort.plural().len()..],
        _ => name,
    };
    Ok((sort, name))
}
