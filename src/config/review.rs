//! Reviews a configuration before it is sent: faults, entries without effect and limits that contradict each other.

use super::{
    Change, Declaration, PassRoute, Record, Route, Server, Sort, State, Verdict, describe, plan,
};
use crate::{fold::Fold, wire::Name};
use std::fmt;

/// Id of the change that a review evaluates.
const CHANGE: &str = "review";

/// What a review found, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// The configuration would be refused.
    Invalid(String),
    /// An entry that can never have an effect.
    Unused(String),
    /// Limits of which one keeps the other from having its effect.
    Limits(String),
    /// A difference from the configuration in force.
    Differs(String),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(text) => write!(f, "invalid: {text}"),
            Self::Unused(text) => write!(f, "unused: {text}"),
            Self::Limits(text) => write!(f, "limits: {text}"),
            Self::Differs(text) => write!(f, "differs: {text}"),
        }
    }
}

/// Reviews the declarations `wanted` on top of the objects of the configuration `in_force`; without one, by
/// themselves.
/// Entries of a configuration that would be refused are not reviewed further.
pub fn review(in_force: Option<&State>, wanted: &[Declaration]) -> Vec<Finding> {
    let empty = State::default();
    let before = in_force.unwrap_or(&empty);
    let edits = plan(before, wanted, false);
    let differs = |e| Finding::Differs(describe(before, e));
    let mut found: Vec<Finding> = match in_force {
        Some(_) => edits.iter().map(differs).collect(),
        None => Vec::new(),
    };
    let mut after = before.clone();
    // A listing of the configuration in force has only objects.
    before.objects.iter().for_each(|o| after.refresh(&o.id));
    if !edits.is_empty() {
        let mut change = Change::new(CHANGE, "operator", "");
        change.edits = edits;
        after.apply(before.revision + 1, &Record::Change(change));
    }
    match after.outcome(CHANGE).map(|o| &o.verdict) {
        Some(Verdict::Refused(faults)) => found.extend(
            faults
                .iter()
                .map(|f| Finding::Invalid(format!("{} field \"{}\": {}", f.id, f.field, f.text))),
        ),
        _ => found.extend(review_state(&after)),
    }
    found
}

/// Reviews a valid configuration, declared here or by an outside system.
pub fn review_state(state: &State) -> Vec<Finding> {
    let mut found = Vec::new();
    for route in &state.routes {
        if let Some(by) = covering(&state.routes, route) {
            let text = format!(
                "route {}: {} leads all its paths to the same addresses",
                route.path, by.path
            );
            found.push(Finding::Unused(text));
        }
    }
    for model in state.objects(Sort::Model) {
        if !is_served(&state.servers, &model.id.name) {
            let text = format!("{}: no server is to have it loaded", model.id);
            found.push(Finding::Unused(text));
        }
    }
    for pass in &state.passes {
        review_pass(&mut found, state, pass);
    }
    for workspace in state
        .workspaces
        .iter()
        .filter(|w| w.rate > 0 && w.burst == 0)
    {
        let text = format!(
            "workspace {}: burst 0 admits nothing of rate {}",
            workspace.name, workspace.rate
        );
        found.push(Finding::Limits(text));
    }
    found
}

fn review_pass(found: &mut Vec<Finding>, state: &State, pass: &PassRoute) {
    let name = format!("route {}{}", pass.host, pass.prefix);
    let shorter = state.passes.iter().filter(|r| {
        r.host == pass.host
            && r.prefix.len() < pass.prefix.len()
            && pass.prefix.starts_with(&*r.prefix)
    });
    if let Some(by) = shorter.max_by_key(|r| r.prefix.len())
        && (PassRoute {
            prefix: pass.prefix.clone(),
            ..(**by).clone()
        }) == *pass
    {
        let text = format!(
            "{name}: {} leads all its paths to the same target",
            by.prefix
        );
        found.push(Finding::Unused(text));
    }
    for target in &pass.targets {
        if target.weight == 0 {
            let text = format!("{name}: service {} has weight 0", target.service);
            found.push(Finding::Unused(text));
        } else if !is_served(&state.servers, &target.service) {
            let text = format!("{name}: no server has service {}", target.service);
            found.push(Finding::Unused(text));
        }
    }
    if pass.timeout < pass.aim {
        let (timeout, aim) = (pass.timeout.as_millis(), pass.aim.as_millis());
        let text = format!("{name}: the timeout, {timeout} ms, is below the objective, {aim} ms");
        found.push(Finding::Limits(text));
    }
}

fn is_served(servers: &[Server], model: &Name) -> bool {
    servers.iter().any(|s| s.models.contains(model))
}

/// The longest route that leads the paths of `route` if `route` is left out, if it leads them to the same addresses.
fn covering<'a>(routes: &'a [Route], route: &Route) -> Option<&'a Route> {
    let covers = |r: &&Route| {
        let rest = route.path.strip_prefix(&*r.path);
        rest.is_some_and(|rest| rest.starts_with('/'))
    };
    let by = routes.iter().filter(covers).max_by_key(|r| r.path.len())?;
    let has = |r: &Route, s: &Route| s.addrs.iter().all(|a| r.addrs.contains(a));
    let is_same = has(by, route)
        && has(route, by)
        && (by.open, by.repeatable) == (route.open, route.repeatable);
    is_same.then_some(by)
}
