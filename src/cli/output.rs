//! Prints results as text or as JSON.

use crate::control::{Applied, ObjectView};
use serde::Serialize;
use serde_json::Value;

/// Prints `value` as one line of JSON, or as text by `text`.
pub fn print<T: Serialize>(json: bool, value: &T, text: impl FnOnce(&T)) {
    if json {
        println!("{}", serde_json::to_string(value).unwrap_or_default());
    } else {
        text(value);
    }
}

/// Prints the id and revision of a change.
pub fn print_applied(json: bool, applied: &Applied) {
    print(json, applied, |a| {
        println!("revision={} change={}", a.revision, a.change);
    });
}

/// Prints an object on one line; `*` marks a value that an exception gives.
pub fn print_object(object: &ObjectView) {
    let mut line = format!("{} {}", object.sort.as_str(), object.name);
    for (key, value) in crate::config::fields(&object.declared) {
        line += &format!(" {key}={}", plain(&value));
    }
    for value in &object.values {
        let mark = if value.exception { "*" } else { "" };
        line += &format!(" {}={}{mark}", value.setting.as_str(), value.value);
    }
    println!(
        "{line} revision={} author={}",
        object.revision, object.author
    );
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) if !text.is_empty() && !text.contains(' ') => text.clone(),
        Value::Array(all) => all.iter().map(plain).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
