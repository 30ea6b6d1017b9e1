//! Requests, and the parsing and checking of their heads.

use crate::error::{Fail, Kind};

/// Most header fields of a request.
const MAX_FIELDS: usize = 64;

/// A request with its body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// Request line and header fields.
    pub head: Head,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
}

/// A request line with its header fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// HTTP method, as sent.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark, empty if there is none.
    pub query: String,
    /// Header fields; names in lower case, in the order received.
    pub fields: Vec<(String, String)>,
    /// Whether the caller speaks HTTP/1.1, which has chunks.
    pub chunks: bool,
    /// Whether the connection may carry another request.
    pub persistent: bool,
    /// How the body is framed.
    pub framing: Framing,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    #[default]
    None,
    /// This number of bytes.
    Length(u64),
    /// Chunks, up to the one of size zero.
    Chunked,
}

/// Why bytes cannot be parsed as the head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadError {
    /// More bytes are needed.
    Partial,
    /// They are invalid, with this error, whatever bytes follow.
    Bad(Fail),
}

impl Head {
    /// First value of the header field `name` (lower case).
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// First value of the query parameter `name`, percent-decoded.
    pub fn param(&self, name: &str) -> Option<String> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| percent_decode(v))
    }
}

impl Request {
    /// First value of the header field `name` (lower case).
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.field(name)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut i = 0;
    while i < bytes.len() {
        let hex = bytes
            .get(i + 1..i + 3)
            .and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[i], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                i += 1;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Parses the head of a request; returns it and its length in bytes.
///
/// # Errors
/// The head is incomplete or invalid.
pub fn parse_head(bytes: &[u8]) -> Result<(Head, usize), HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Err(HeadError::Partial),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(bad(
                Kind::HeadTooLarge,
                format!("more than {MAX_FIELDS} header fields"),
            ));
        }
        Err(e) => return Err(bad(Kind::BadRequest, format!("not an HTTP request: {e}"))),
    };
    let target = parsed.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut head = Head {
        method: parsed.method.unwrap_or("").into(),
        path: path.into(),
        query: query.into(),
        fields: Vec::with_capacity(parsed.headers.len()),
        chunks: parsed.version == Some(1),
        persistent: parsed.version == Some(1),
        framing: Framing::None,
    };
    for field in parsed.headers.iter() {
        let name = field.name.to_ascii_lowercase();
        let Ok(value) = std::str::from_utf8(field.value) else {
            return Err(bad(
                Kind::BadRequest,
                format!("header \"{name}\" is not UTF-8"),
            ));
        };
        head.fields.push((name, value.trim().to_string()));
    }
    check_host(&head)?;
    head.framing = framing(&head)?;
    if let Some(value) = head.field("connection") {
        let value = value.to_ascii_lowercase();
        if value.contains("close") {
            head.persistent = false;
        } else if value.contains("keep-alive") {
            head.persistent = true;
        }
    }
    Ok((head, size))
}

/// Checks `Host`: HTTP/1.1 requires exactly one `Host` (RFC 9112, section 3.2).
fn check_host(head: &Head) -> Result<(), HeadError> {
    let count = head.fields.iter().filter(|(n, _)| n == "host").count();
    if count > 1 || (count == 0 && head.chunks) {
        let text = format!("header \"host\" is given {count} times; give it once");
        return Err(bad(Kind::BadRequest, text));
    }
    Ok(())
}

/// How the body is framed. Two framings, or one given twice, are an error: parties that interpret them
/// differently would see different requests (RFC 9112, section 6.3).
fn framing(head: &Head) -> Result<Framing, HeadError> {
    let values = |name: &str| -> Vec<&str> {
        let named = head.fields.iter().filter(|(n, _)| n == name);
        named.map(|(_, v)| v.as_str()).collect()
    };
    let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(Framing::None),
        ([], [c]) if head.chunks && c.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        ([], [c]) => Err(bad(
            Kind::BadRequest,
            format!("header \"transfer-encoding\": \"{c}\" is not supported; use chunked"),
        )),
        ([v], []) => length(v).ok_or_else(|| {
            let text = format!("header \"content-length\": \"{v}\" is not a number");
            bad(Kind::BadRequest, text)
        }),
        _ => Err(bad(
            Kind::BadRequest,
            "the length of the body is given twice".into(),
        )),
    }
}

/// Whether an answer may have `status`: RFC 9110, section 15, defines no others than 100 to 599.
pub(crate) fn is_status(status: u16) -> bool {
    (100..600).contains(&status)
}

fn length(value: &str) -> Option<Framing> {
    let digits = value.bytes().all(|b| b.is_ascii_digit());
    match value.parse().ok().filter(|_| digits)? {
        0 => Some(Framing::None),
        size => Some(Framing::Length(size)),
    }
}

fn bad(kind: Kind, text: String) -> HeadError {
    HeadError::Bad(Fail::new(kind, text))
}
