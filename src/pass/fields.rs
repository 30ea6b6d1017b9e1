//! What of a caller's request reaches a server, and what it must not contain.

use super::{Request, is_connection_field};
use crate::error::{Fail, Res};

impl Request {
    /// Checks that the request can be written as a single HTTP request.
    ///
    /// # Errors
    /// `BadRequest` that names the part with a character that would end it early.
    pub fn check(&self) -> Res<()> {
        let is_text = |text: &str| text.bytes().all(is_value_byte);
        let is_word = |text: &str| is_text(text) && !text.bytes().any(|b| b.is_ascii_whitespace());
        if !is_text(&self.id) {
            return Err(bad("id", &self.id));
        }
        if self.method.is_empty() || !self.method.bytes().all(is_token_byte) {
            return Err(bad("method", &self.method));
        }
        if !self.target.starts_with('/') || !is_word(&self.target) {
            return Err(bad("path", &self.target));
        }
        if !is_word(&self.host) {
            return Err(bad("host", &self.host));
        }
        for (name, value) in &self.fields {
            if name.is_empty() || !name.bytes().all(is_token_byte) {
                return Err(bad("headers", name));
            }
            if !is_text(value) {
                return Err(bad(name, value));
            }
        }
        Ok(())
    }

    /// The header fields that reach a server: all but the connection's, those that `Connection` names, and
    /// `reserved` ones (lower case). Names are compared in any case.
    pub fn passed_fields<'a>(
        &'a self,
        reserved: &'a [&'a str],
    ) -> impl Iterator<Item = (&'a str, &'a str)> {
        let connection = self.fields.iter();
        let connection = connection.filter(|(n, _)| n.eq_ignore_ascii_case("connection"));
        let named: Vec<&str> = connection
            .flat_map(|(_, v)| v.split(','))
            .map(str::trim)
            .collect();
        let is_passed = move |name: &str| {
            let lower = name.to_ascii_lowercase();
            !reserved.contains(&&*lower)
                && !is_connection_field(&lower)
                && !named.iter().any(|n| n.eq_ignore_ascii_case(name))
        };
        let fields = self.fields.iter().map(|(n, v)| (&**n, &**v));
        fields.filter(move |(name, _)| is_passed(name))
    }

    /// Drops the header fields that do not reach a server; see [`passed_fields`](Self::passed_fields).
    pub fn keep_passed(&mut self, reserved: &[&str]) {
        let passed = self.passed_fields(reserved);
        self.fields = passed.map(|(n, v)| (n.into(), v.into())).collect();
    }
}

fn bad(part: &str, value: &str) -> Fail {
    let text = format!(
        "{value:?} cannot be passed on; leave out line breaks and other control characters"
    );
    Fail::field(&part.escape_debug().to_string(), text)
}

/// Whether a field value may contain the byte (RFC 9110, section 5.5).
fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Whether a field name or a method may contain the byte (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
