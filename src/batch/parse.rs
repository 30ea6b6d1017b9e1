//! Parses the items of a job from JSON lines.

use crate::{
    error::{Fail, Kind, Res},
    job::{ITEMS_MAX, ItemSpec},
    wire::Name,
};
use serde::Deserialize;
use std::sync::Arc;

/// Longest id of an item in bytes.
const ID_MAX: usize = 128;
/// Token limit of an item that names none.
const TOKENS: u32 = 256;
/// Highest token limit of an item.
const TOKENS_MAX: u32 = 1 << 16;
/// Longest prompt in bytes; such an item still fits a log record.
const PROMPT_MAX: usize = 128 * 1024;

#[derive(Debug, Deserialize)]
struct Line {
    custom_id: Name,
    body: Body,
    #[serde(default = "yes")]
    repeatable: bool,
}

#[derive(Debug, Deserialize)]
struct Body {
    model: Name,
    #[serde(default)]
    adapter: Option<Name>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<Name>,
    #[serde(default)]
    max_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: Name,
    content: Name,
}

fn yes() -> bool {
    true
}

/// The items in `body`, one per line; blank lines are skipped.
///
/// # Errors
/// `BadRequest` with the field at fault and its line; `TooLarge` for too many items.
pub fn parse_items(body: &[u8]) -> Res<Vec<Arc<ItemSpec>>> {
    let text = std::str::from_utf8(body)
        .map_err(|_| Fail::field("body", "is not UTF-8; send one JSON object a line"))?;
    let mut specs = Vec::new();
    for (i, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        if specs.len() == ITEMS_MAX {
            let text = format!("more than {ITEMS_MAX} items; send several jobs");
            return Err(Fail::new(Kind::TooLarge, text));
        }
        specs.push(Arc::new(parse_line(i + 1, line)?));
    }
    if specs.is_empty() {
        let text = "has no items; send one JSON object a line";
        return Err(Fail::field("body", text));
    }
    check_unique(&specs)?;
    Ok(specs)
}

fn parse_line(number: usize, text: &str) -> Res<ItemSpec> {
    let at = |field: &str, text: String| Fail::field(field, format!("line {number}: {text}"));
    let line: Line = serde_json::from_str(text).map_err(|e| at("body", e.to_string()))?;
    if line.custom_id.is_empty() || line.custom_id.len() > ID_MAX {
        let text = format!("must have 1 to {ID_MAX} bytes");
        return Err(at("custom_id", text));
    }
    if line.body.model.is_empty() {
        return Err(at("model", "is empty; name a model".into()));
    }
    let tokens = line.body.max_tokens.unwrap_or(TOKENS);
    if !(1..=TOKENS_MAX).contains(&tokens) {
        let text = format!("{tokens} is not in 1..={TOKENS_MAX}");
        return Err(at("max_tokens", text));
    }
    let prompt = match line.body.prompt {
        Some(prompt) if line.body.messages.is_empty() => prompt,
        None if !line.body.messages.is_empty() => join(&line.body.messages),
        _ => return Err(at("messages", "give either messages or a prompt".into())),
    };
    if prompt.len() > PROMPT_MAX {
        let text = format!("the prompt has more than {PROMPT_MAX} bytes");
        return Err(at("messages", text));
    }
    Ok(ItemSpec {
        id: line.custom_id,
        model: line.body.model,
        adapter: line.body.adapter,
        prompt,
        tokens,
        repeatable: line.repeatable,
        request: None,
    })
}

/// The prompt of a chat: one `role: content` line per message.
fn join(messages: &[Message]) -> Name {
    let line = |m: &Message| format!("{}: {}\n", m.role, m.content);
    messages.iter().map(line).collect::<String>().into()
}

fn check_unique(specs: &[Arc<ItemSpec>]) -> Res<()> {
    let mut ids: Vec<&Name> = specs.iter().map(|a| &a.id).collect();
    ids.sort();
    match ids.windows(2).find(|w| w[0] == w[1]) {
        Some(w) => Err(Fail::field(
            "custom_id",
            format!("\"{}\" is given twice", w[0]),
        )),
        None => Ok(()),
    }
}
