//! Compares a file of declarations with the configuration in force, and applies it.

use super::{
    CliError, Exit,
    args::{Apply, Check, Diff},
    client::{Hosts, with_query},
    objects::{new_change, submit},
    output::{print, print_applied},
};
use crate::{
    config::{self, Declaration, Edit, Object, ObjectId, State},
    control::{Applied, Listing},
    wire::Name,
};
use serde_json::json;
use std::fs;

pub fn diff(hosts: &Hosts, json: bool, args: &Diff) -> Result<Exit, CliError> {
    let (state, edits) = plan(hosts, &args.file, args.prune, "", "operator")?;
    let lines = lines(&state, &edits);
    print(json, &lines, |l| l.iter().for_each(|l| println!("{l}")));
    Ok(if edits.is_empty() {
        Exit::Done
    } else {
        Exit::Differs
    })
}

pub fn apply(hosts: &Hosts, json: bool, args: &Apply) -> Result<Exit, CliError> {
    let author = args.author.as_deref().unwrap_or("operator");
    let reason = args.reason.as_deref().unwrap_or_default();
    let (state, edits) = plan(hosts, &args.file, args.prune, reason, author)?;
    if !json {
        lines(&state, &edits).iter().for_each(|l| println!("{l}"));
    }
    let change = args.change.clone().unwrap_or_else(new_change);
    if edits.is_empty() {
        let applied = Applied {
            change: change.into(),
            revision: state.revision,
        };
        print_applied(json, &applied);
        return Ok(Exit::Done);
    }
    let params = [
        ("change", Some(change.as_str())),
        ("reason", args.reason.as_deref()),
        ("author", Some(author)),
    ];
    let path = with_query("/control/changes", &params);
    let body = serde_json::to_vec(&json!({ "edits": edits })).unwrap_or_default();
    submit(hosts, json, "POST", &path, &body, &change)
}

/// Reviews a file of declarations, on top of the configuration in force if hosts are given.
pub fn check(hosts: Option<&Hosts>, json: bool, args: &Check) -> Result<Exit, CliError> {
    let wanted = read(&args.file, "", "operator")?;
    let state = match hosts {
        Some(hosts) => Some(state_of(hosts.request("GET", "/control/state", &[])?)),
        None => None,
    };
    let found = config::review(state.as_ref(), &wanted);
    let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    print(json, &lines, |l| l.iter().for_each(|l| println!("{l}")));
    Ok(match found.is_empty() {
        true => Exit::Done,
        false => Exit::Failed,
    })
}

fn plan(
    hosts: &Hosts,
    file: &str,
    prune: bool,
    reason: &str,
    author: &str,
) -> Result<(State, Vec<Edit>), CliError> {
    let wanted = read(file, reason, author)?;
    let listing: Listing = hosts.request("GET", "/control/state", &[])?;
    let state = state_of(listing);
    let edits = config::plan(&state, &wanted, prune);
    Ok((state, edits))
}

fn read(file: &str, reason: &str, author: &str) -> Result<Vec<Declaration>, CliError> {
    let text = fs::read_to_string(file)
        .map_err(|e| CliError::new(Exit::Usage, format!("cannot read \"{file}\": {e}")))?;
    let mut wanted = config::read_file(&text).map_err(|faults| {
        let lines: Vec<String> = faults
            .iter()
            .map(|f| format!("{file}: {} field \"{}\": {}", f.id, f.field, f.text))
            .collect();
        CliError::new(Exit::Usage, lines.join("\n"))
    })?;
    let (reason, author): (Name, Name) = (reason.into(), author.into());
    wanted.iter_mut().for_each(|d| d.fill_in(&reason, &author));
    Ok(wanted)
}

/// A state with the objects of a listing, as far as `config::plan` and `config::review` read it.
fn state_of(listing: Listing) -> State {
    let mut objects: Vec<Object> = listing
        .objects
        .into_iter()
        .map(|o| Object {
            id: ObjectId::new(o.sort, o.name),
            revision: o.revision,
            change: o.change,
            author: o.author,
            item: o.declared,
        })
        .collect();
    objects.sort_by(|a, b| a.id.cmp(&b.id));
    State {
        revision: listing.revision,
        objects,
        ..State::default()
    }
}

fn lines(state: &State, edits: &[Edit]) -> Vec<String> {
    edits.iter().map(|e| config::describe(state, e)).collect()
}
