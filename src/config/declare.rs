//! Reads declarations from an INI file and plans the edits that put them in force.
//!
//! Each section declares one object: `[SORT NAME]`, such as `[workspace desk]` or
//! `[exception desk/rate]`. A section may also set values that have a fleet-wide default. One
//! that differs from it becomes an exception object, which needs a `reason` and an `owner`.

use super::{
    Declaration, Edit, Fault, Item, ObjectId, Sort, State, edits_for, edits_to_withdraw,
    parse_declaration,
};
use crate::wire::Name;
use ini::Ini;
use serde_json::{Map, Value};

/// Reads all declarations of `text`.
///
/// # Errors
/// Every fault in the file.
pub fn read_file(text: &str) -> Result<Vec<Declaration>, Vec<Fault>> {
    let ini = Ini::load_from_str(text).map_err(|e| {
        let text = format!("line {}: {}", e.line + 1, e.msg);
        vec![fault("file", "INI", text)]
    })?;
    let (mut declarations, mut faults) = (Vec::new(), Vec::new());
    for (section, keys) in ini.iter() {
        let title = section.unwrap_or_default();
        let mut map = Map::new();
        for (key, value) in keys.iter() {
            let old = map.insert(key.into(), Value::String(value.into()));
            if old.is_some() {
                faults.push(fault(title, key, "is given twice; give it once".into()));
            }
        }
        match id_of(title) {
            Some(id) => match parse_declaration(&id, map) {
                Ok(declaration) => declarations.push(declaration),
                Err(more) => faults.extend(more),
            },
            None if title.is_empty() && map.is_empty() => {}
            None => {
                let text = "is not of the form [SORT NAME], such as [workspace desk]";
                faults.push(fault(title, "section", text.into()));
            }
        }
    }
    if faults.is_empty() {
        return Ok(declarations);
    }
    Err(faults)
}

fn id_of(title: &str) -> Option<ObjectId> {
    let (sort, name) = title.split_once(' ')?;
    Some(ObjectId::new(Sort::parse(sort)?, name.trim()))
}

fn fault(title: &str, field: &str, text: String) -> Fault {
    Fault {
        id: ObjectId::new(Sort::Default, title),
        field: field.into(),
        text: text.into(),
    }
}

/// Edits that lead from `state` to `wanted`. With `prune`, objects that are not declared are
/// withdrawn, except keys.
pub fn plan(state: &State, wanted: &[Declaration], prune: bool) -> Vec<Edit> {
    let mut scratch = state.clone();
    let mut edits = Vec::new();
    // Defaults come first, since a value equal to its new default needs no exception.
    let (defaults, others): (Vec<_>, Vec<_>) =
        wanted.iter().partition(|d| d.id.sort == Sort::Default);
    for declared in defaults {
        for edit in edits_for(&scratch, declared, None) {
            scratch.set_item(&edit.id, edit.item.clone());
            edits.push(edit);
        }
    }
    for declared in others {
        edits.extend(edits_for(&scratch, declared, None));
    }
    if prune {
        prune_edits(state, wanted, &mut edits);
    }
    edits
        .iter_mut()
        .for_each(|e| e.base = state.revision_of(&e.id));
    edits
}

fn prune_edits(state: &State, wanted: &[Declaration], edits: &mut Vec<Edit>) {
    let kept: Vec<ObjectId> = wanted.iter().flat_map(ids_of).collect();
    let undeclared = state
        .objects
        .iter()
        .filter(|o| o.id.sort != Sort::Key && !kept.contains(&o.id));
    for object in undeclared {
        for edit in edits_to_withdraw(state, &object.id, None) {
            if !edits.iter().any(|e| e.id == edit.id) {
                edits.push(edit);
            }
        }
    }
}

/// Ids of the declared object and of the exceptions for its values.
fn ids_of(declared: &Declaration) -> Vec<ObjectId> {
    let name = &declared.id.name;
    let exceptions = declared.values.iter();
    let exceptions = exceptions.map(|(s, _)| ObjectId::exception(name, *s));
    exceptions.chain([declared.id.clone()]).collect()
}

/// One line for an edit: what it adds (`+`), removes (`-`) or changes (`~`).
pub fn describe(state: &State, edit: &Edit) -> String {
    let old = state.object(&edit.id).map(|o| fields(&o.item));
    match (old, edit.item.as_ref().map(fields)) {
        (None, Some(new)) => format!("+ {} {}", edit.id, format_fields(&new)),
        (Some(old), None) => format!("- {} {}", edit.id, format_fields(&old)),
        (Some(old), Some(new)) => {
            let changed = new.iter().filter(|(k, v)| old.get(*k) != Some(v));
            let parts: Vec<String> = changed
                .map(|(k, v)| format!("{k}: {} -> {v}", old.get(k).unwrap_or(&Value::Null)))
                .collect();
            format!("~ {} {}", edit.id, parts.join(", "))
        }
        (None, None) => format!("- {} (does not exist)", edit.id),
    }
}

/// The fields of an item by name, as JSON, without its sort; values of settings are other items.
pub fn fields(item: &Item) -> Map<String, Value> {
    let value = serde_json::to_value(item).unwrap_or_default();
    let inner = value.as_object().and_then(|m| m.values().next());
    inner
        .and_then(Value::as_object)
        .cloned()
        .unwrap_or_default()
}

fn format_fields(fields: &Map<String, Value>) -> String {
    let parts: Vec<String> = fields.iter().map(|(k, v)| format!("{k}={v}")).collect();
    parts.join(" ")
}

impl Declaration {
    /// Sets the reason and owner of the exceptions if the declaration gives none.
    pub fn fill_in(&mut self, reason: &Name, owner: &Name) {
        if self.reason.is_empty() {
            self.reason = reason.clone();
        }
        if self.owner.is_empty() {
            self.owner = owner.clone();
        }
    }
}
