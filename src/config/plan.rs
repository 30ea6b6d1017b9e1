//! Plans the edits that put declarations in force.

use super::{Declaration, Edit, Item, ObjectId, Setting, Sort, State};
use crate::fold::Pos;

/// Edits that put `declared` in force: the object itself and the exceptions for its values, without
/// those in force already. `base` is the object's revision expected by the caller; at a mismatch
/// even an unchanged object gets an edit, so that the conflict is reported.
pub fn edits_for(state: &State, declared: &Declaration, base: Option<Pos>) -> Vec<Edit> {
    let mut edits = Vec::new();
    let id = &declared.id;
    let base = base.unwrap_or_else(|| state.revision_of(id));
    let is_same = state.object(id).is_some_and(|o| o.item == declared.item);
    if !is_same || base != state.revision_of(id) {
        edits.push(Edit {
            id: id.clone(),
            base,
            item: Some(declared.item.clone()),
        });
    }
    let values = declared.values.iter();
    edits.extend(values.filter_map(|(s, v)| value_edit(state, declared, *s, *v)));
    edits
}

/// The edit that sets an exception to `value`, or deletes it for the default; none if unchanged.
fn value_edit(state: &State, declared: &Declaration, setting: Setting, value: u32) -> Option<Edit> {
    let id = ObjectId::exception(&declared.id.name, setting);
    if state.object(&declared.id).is_some() && state.value_of(&declared.id.name, setting) == value {
        return None;
    }
    let base = state.revision_of(&id);
    let item = (value != state.default_of(setting)).then(|| Item::Exception {
        value,
        reason: declared.reason.clone(),
        owner: declared.owner.clone(),
        end: None,
    });
    // The value is the default, and there is no exception to delete.
    if item.is_none() && base == 0 {
        return None;
    }
    Some(Edit { id, base, item })
}

/// Edits that delete `id` and its exceptions, or mark a key as withdrawn; `base`: see [`edits_for`].
pub fn edits_to_withdraw(state: &State, id: &ObjectId, base: Option<Pos>) -> Vec<Edit> {
    let item = match (id.sort, state.object(id).map(|o| &o.item)) {
        (
            Sort::Key,
            Some(Item::Key {
                workspace, label, ..
            }),
        ) => Some(Item::Key {
            workspace: workspace.clone(),
            label: label.clone(),
            withdrawn: true,
        }),
        _ => None,
    };
    let mut edits = vec![Edit {
        id: id.clone(),
        base: base.unwrap_or_else(|| state.revision_of(id)),
        item,
    }];
    for setting in Setting::ALL.into_iter().filter(|s| s.target() == id.sort) {
        let exception = ObjectId::exception(&id.name, setting);
        let base = state.revision_of(&exception);
        if base > 0 {
            edits.push(Edit {
                id: exception,
                base,
                item: None,
            });
        }
    }
    edits
}
