//! Parses the heads of servers' answers.

use super::{Framing, Head};
use crate::http::is_status;

/// Most header fields in an answer.
const FIELDS_MAX: usize = 64;

/// Why nothing was read.
#[derive(Debug)]
pub enum ReadError {
    /// Nothing arrived within the time limit.
    TimedOut,
    /// The connection failed or closed too early, or the answer is invalid.
    Broken(String),
}

/// The head at the start of `bytes` and its length in bytes; `None` if it is incomplete.
pub(super) fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, ReadError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Response::new(&mut fields);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(broken(&format!("the answer is not valid HTTP: {e}"))),
    };
    let status = parsed.code.unwrap_or(0);
    if !is_status(status) {
        return Err(broken(&format!(
            "the status {status:03} of the answer is not in 100 to 599"
        )));
    }
    let named = parsed.headers.iter().map(|f| {
        let value = String::from_utf8_lossy(f.value).trim().to_string();
        (f.name.to_ascii_lowercase(), value)
    });
    let head = Head {
        status,
        fields: named.collect(),
    };
    Ok(Some((head, size)))
}

/// How the body behind `head` is framed.
pub(super) fn framing(head: &Head) -> Result<Framing, ReadError> {
    if matches!(head.status, 204 | 304) {
        return Ok(Framing::Length(0));
    }
    match (
        head.field("transfer-encoding"),
        head.field("content-length"),
    ) {
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(_), _) => Err(broken("the answer has an invalid framing")),
        (None, Some(text)) => text
            .parse()
            .map(Framing::Length)
            .map_err(|_| broken("the content-length of the answer is not a number")),
        (None, None) => Ok(Framing::Close),
    }
}

/// The error of an answer that is invalid, as `text` says.
pub(super) fn broken(text: &str) -> ReadError {
    ReadError::Broken(text.into())
}
