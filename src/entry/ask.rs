//! Parses and validates the body of a chat completion request.

use crate::{
    config::State,
    error::{Fail, Kind, Res},
    wire::Name,
};
use serde_json::{Map, Value};
use std::time::Duration;

/// Token limit of a request that names none.
const TOKENS_DEFAULT: u32 = 256;
/// Most messages in one request.
const MESSAGES_MAX: usize = 4096;
/// Longest deadline that a caller may ask for.
const DEADLINE_MAX_MS: u64 = 3_600_000;
/// Fields that are validated and used.
const USED: [&str; 8] = [
    "adapter",
    "deadline_ms",
    "max_completion_tokens",
    "max_tokens",
    "messages",
    "model",
    "repeatable",
    "stream",
];
/// Fields of the common chat completion interface that are accepted and have no effect.
const IGNORED: [&str; 9] = [
    "frequency_penalty",
    "metadata",
    "n",
    "presence_penalty",
    "seed",
    "stream_options",
    "temperature",
    "top_p",
    "user",
];

/// A validated chat completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatRequest {
    /// Name of a declared model.
    pub model: Name,
    /// Adapter of the model, if one was asked for.
    pub adapter: Option<Name>,
    /// Messages joined into one prompt, a line `ROLE: CONTENT` for each.
    pub prompt: Name,
    /// Most tokens to generate, within the model's own limit.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the generation may run more than once.
    pub repeatable: bool,
    /// Longest time that the caller waits, if it gave one.
    pub limit: Option<Duration>,
}

impl ChatRequest {
    /// Parses the JSON text `body` and validates it against the configuration.
    ///
    /// # Errors
    /// `BadRequest` that names the field at fault, or `UnknownModel`.
    pub fn parse(body: &[u8], state: &State) -> Res<Self> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|e| Fail::new(Kind::BadRequest, format!("the body is not valid JSON: {e}")))?;
        let Value::Object(fields) = value else {
            return Err(Fail::new(
                Kind::BadRequest,
                "the body must be a JSON object",
            ));
        };
        Self::from_fields(&fields, state)
    }

    /// Validates the fields of a request, such as the body of a batch item.
    ///
    /// # Errors
    /// As for [`parse`](Self::parse).
    pub fn from_fields(fields: &Map<String, Value>, state: &State) -> Res<Self> {
        if let Some(name) = fields.keys().find(|k| !is_known(k)) {
            return Err(Fail::field(name, "is not known"));
        }
        if fields.get("n").is_some_and(|n| *n != 1) {
            return Err(Fail::field("n", "must be 1"));
        }
        let name = string(fields, "model")?.ok_or_else(|| {
            Fail::field("model", "is missing; name a model listed by GET /v1/models")
        })?;
        let adapter = string(fields, "adapter")?;
        let prompt = prompt(fields.get("messages"))?;
        let stream = boolean(fields, "stream", false)?;
        let repeatable = boolean(fields, "repeatable", true)?;
        let limit = number(fields, "deadline_ms", DEADLINE_MAX_MS)?.map(Duration::from_millis);
        let model = state.model(name).ok_or_else(|| unknown_model(name))?;
        if let Some(adapter) = adapter
            && !model.adapters.iter().any(|a| **a == *adapter)
        {
            let text = format!("model \"{name}\" has no adapter \"{adapter}\"");
            return Err(Fail::field("adapter", text));
        }
        Ok(Self {
            model: model.name.clone(),
            adapter: adapter.map(Name::from),
            prompt,
            tokens: tokens(fields, model.tokens)?,
            stream,
            repeatable,
            limit,
        })
    }
}

fn is_known(field: &str) -> bool {
    USED.contains(&field) || IGNORED.contains(&field)
}

fn unknown_model(name: &str) -> Fail {
    let mut fail = Fail::new(
        Kind::UnknownModel,
        format!("field \"model\": no model \"{name}\"; see GET /v1/models"),
    );
    fail.field = Some("model".into());
    fail
}

fn tokens(fields: &Map<String, Value>, most: u32) -> Res<u32> {
    let most = most.max(1);
    let new = number(fields, "max_completion_tokens", most.into())?;
    let old = number(fields, "max_tokens", most.into())?;
    let tokens = new.or(old).map_or(TOKENS_DEFAULT, |n| n as u32);
    Ok(tokens.min(most))
}

fn string<'a>(fields: &'a Map<String, Value>, name: &str) -> Res<Option<&'a str>> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(s)) if !s.is_empty() => Ok(Some(s)),
        Some(_) => Err(Fail::field(name, "must be a string that is not empty")),
    }
}

fn boolean(fields: &Map<String, Value>, name: &str, default: bool) -> Res<bool> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(default),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(Fail::field(name, "must be true or false")),
    }
}

fn number(fields: &Map<String, Value>, name: &str, most: u64) -> Res<Option<u64>> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(n) if (1..=most).contains(&n) => Ok(Some(n)),
            _ => Err(Fail::field(
                name,
                format!("must be a whole number from 1 to {most}"),
            )),
        },
    }
}

fn prompt(messages: Option<&Value>) -> Res<Name> {
    let list = match messages {
        Some(Value::Array(list)) if !list.is_empty() => list,
        None => return Err(Fail::field("messages", "is missing")),
        _ => return Err(Fail::field("messages", "must be a list that is not empty")),
    };
    if list.len() > MESSAGES_MAX {
        let text = format!("has more than {MESSAGES_MAX} entries");
        return Err(Fail::field("messages", text));
    }
    let mut prompt = String::new();
    for (i, message) in list.iter().enumerate() {
        let role = role(i, message)?;
        let content = content(i, message)?;
        prompt += &format!("{role}: {content}\n");
    }
    Ok(prompt.into())
}

fn role(i: usize, message: &Value) -> Res<&str> {
    let role = message.get("role").and_then(Value::as_str);
    match role {
        Some(role @ ("system" | "developer" | "user" | "assistant" | "tool")) => Ok(role),
        _ => Err(Fail::field(
            &format!("messages[{i}].role"),
            "must be one of system, developer, user, assistant, tool",
        )),
    }
}

/// Text of a message: a string, or a list of parts of type `text`.
fn content(i: usize, message: &Value) -> Res<String> {
    let field = format!("messages[{i}].content");
    match message.get("content") {
        Some(Value::String(s)) => Ok(s.clone()),
        Some(Value::Array(parts)) => {
            let texts = parts.iter().map(|part| {
                let is_text = part.get("type").and_then(Value::as_str) == Some("text");
                let text = part.get("text").and_then(Value::as_str);
                text.filter(|_| is_text)
                    .ok_or_else(|| Fail::field(&field, "may only have parts of type text"))
            });
            texts.collect()
        }
        _ => Err(Fail::field(&field, "must be a string or a list of parts")),
    }
}
