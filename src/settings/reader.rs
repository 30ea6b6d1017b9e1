//! Parses typed values from an INI file and collects every problem.

use crate::wire::Name;
use ini::Ini;
use std::{
    collections::BTreeSet, fmt, net::SocketAddr, ops::RangeInclusive, str::FromStr, time::Duration,
};

/// Maximum length of a host or failure-domain name in bytes.
const NAME_MAX: usize = 64;
/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_LEN: usize = 64;

/// An invalid, missing or unknown entry of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Name of the settings file.
    pub file: String,
    /// Line, counted from one; zero if the key is missing.
    pub line: usize,
    /// Section; empty if the problem is in none.
    pub section: String,
    /// Key; empty if the file is not valid INI.
    pub key: String,
    /// Value as written.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "file={} line={} section={} key={} value={:?} allowed={:?}",
            self.file, self.line, self.section, self.key, self.value, self.allowed
        )
    }
}

/// Parser of the values of an INI file.
#[derive(Debug)]
pub struct Reader {
    file: String,
    text: String,
    ini: Ini,
    /// Every section and key that was read, to find the unknown ones.
    known: BTreeSet<(String, String)>,
    problems: Vec<Problem>,
}

impl Reader {
    /// A reader of `text`, the content of `file`.
    pub fn new(file: &str, text: &str) -> Self {
        let mut reader = Self {
            file: file.into(),
            text: text.into(),
            ini: Ini::new(),
            known: BTreeSet::new(),
            problems: Vec::new(),
        };
        match Ini::load_from_str(text) {
            Ok(ini) => reader.ini = ini,
            Err(e) => reader.problems.push(Problem {
                file: file.into(),
                line: (e.line + 1).min(text.lines().count().max(1)),
                section: String::new(),
                key: String::new(),
                value: String::new(),
                allowed: format!("INI: {}", e.msg),
            }),
        }
        reader
    }

    /// A whole number in `min..=max`; `default` if it is not given.
    pub fn number(&mut self, section: &str, key: &str, min: u64, max: u64, default: u64) -> u64 {
        let allowed = format!("a whole number from {min} to {max}");
        let parsed = self.in_range(section, key, &allowed, min..=max);
        parsed.unwrap_or(default)
    }

    /// A duration in whole milliseconds, in `min..=max`; `default` if it is not given.
    pub fn millis(
        &mut self,
        section: &str,
        key: &str,
        min: u64,
        max: u64,
        default: u64,
    ) -> Duration {
        Duration::from_millis(self.number(section, key, min, max, default))
    }

    /// A name of letters, digits, `-`, `_` and `.`; required.
    pub fn name(&mut self, section: &str, key: &str) -> Name {
        let allowed = format!("1 to {NAME_MAX} letters, digits, \"-\", \"_\" and \".\"; required");
        self.required(section, key, &allowed, |v| is_name(v).then(|| v.into()))
            .unwrap_or_default()
    }

    /// Names separated by commas or blanks, or a list in brackets of quoted names, `["a","b"]`. None if the key
    /// is not given, and if the value holds braces: a template was not filled in.
    pub fn names(&mut self, section: &str, key: &str) -> Vec<Name> {
        let allowed = "names of letters, digits, \"-\", \"_\" and \".\", separated by commas or blanks, or [\"NAME\",...]";
        self.parse(section, key, allowed, parse_names)
            .unwrap_or_default()
    }

    /// All keys of `section`, names, with their values, which are not empty. A repeated key is a problem.
    pub fn table(&mut self, section: &str, allowed: &str) -> Vec<(Name, Name)> {
        let keys = self.ini.section(Some(section));
        let keys = keys.into_iter().flat_map(|keys| keys.iter());
        let pairs: Vec<(String, String)> = keys
            .map(|(key, value)| (key.trim().into(), value.trim().into()))
            .collect();
        let mut table = Vec::new();
        for (key, value) in pairs {
            let is_new = self.known.insert((section.into(), key.clone()));
            if is_new && is_name(&key) && !value.is_empty() {
                table.push((key.into(), value.into()));
            } else if is_new {
                self.report(section, &key, &value, allowed);
            } else {
                self.report(section, &key, &value, &format!("{allowed}; once"));
            }
        }
        table
    }

    /// A decimal number in `min..=max`; `default` if it is not given.
    pub fn decimal(&mut self, section: &str, key: &str, min: f64, max: f64, default: f64) -> f64 {
        let allowed = format!("a number from {min} to {max}");
        let parsed = self.in_range(section, key, &allowed, min..=max);
        parsed.unwrap_or(default)
    }

    /// A duration in seconds, fractions allowed, in `min..=max`; `default` if it is not given.
    pub fn seconds(
        &mut self,
        section: &str,
        key: &str,
        min: f64,
        max: f64,
        default: f64,
    ) -> Duration {
        Duration::from_secs_f64(self.decimal(section, key, min, max, default))
    }

    /// An `http://` URL of an IP address and port without a path; required.
    pub fn url(&mut self, section: &str, key: &str) -> Name {
        let allowed = "http://IP:PORT; required";
        let parsed = self.required(section, key, allowed, |v| {
            let addr = v.strip_prefix("http://")?.trim_end_matches('/');
            SocketAddr::from_str(addr)
                .ok()
                .map(|a| format!("http://{a}").into())
        });
        parsed.unwrap_or_default()
    }

    /// An IP address with a port; required.
    pub fn addr(&mut self, section: &str, key: &str) -> SocketAddr {
        let parsed = self.required(section, key, "IP:PORT; required", |v| v.parse().ok());
        parsed.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// An IP address with a port that other hosts can connect to; required.
    pub fn reachable_addr(&mut self, section: &str, key: &str) -> SocketAddr {
        let allowed = "IP:PORT that other hosts can connect to; required";
        let parsed = self.required(section, key, allowed, |v| {
            v.parse()
                .ok()
                .filter(|a: &SocketAddr| !a.ip().is_unspecified())
        });
        parsed.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// An optional IP address with a port.
    pub fn optional_addr(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        self.parse(section, key, "IP:PORT", |v| v.parse().ok())
    }

    /// A SHA-256 digest in hexadecimal, in lower case; required if `is_required`.
    pub fn digest(&mut self, section: &str, key: &str, is_required: bool) -> Option<Name> {
        let allowed = format!(
            "{DIGEST_LEN} hexadecimal digits (SHA-256); required unless the operators' port is on a \
             loopback address"
        );
        let parse = |v: &str| is_digest(v).then(|| v.to_ascii_lowercase().into());
        if is_required {
            return self.required(section, key, &allowed, parse);
        }
        self.parse(section, key, &allowed, parse)
    }

    /// `value` if there was no problem.
    ///
    /// # Errors
    /// Every problem found, unknown sections and keys included.
    pub fn finish<T>(mut self, value: T) -> Result<T, Vec<Problem>> {
        self.find_unknown();
        if self.problems.is_empty() {
            return Ok(value);
        }
        self.problems
            .sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        Err(self.problems)
    }

    fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.value(section, key).is_none() {
            self.known.insert((section.into(), key.into()));
            self.report(section, key, "", allowed);
            return None;
        }
        self.parse(section, key, allowed, parse)
    }

    /// The value if it is given and in `range`.
    fn in_range<T: FromStr + PartialOrd>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        range: RangeInclusive<T>,
    ) -> Option<T> {
        self.parse(section, key, allowed, |v| {
            v.parse().ok().filter(|n| range.contains(n))
        })
    }

    fn parse<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.known.insert((section.into(), key.into()));
        let value = self.value(section, key)?.to_string();
        let parsed = parse(&value);
        if parsed.is_none() {
            self.report(section, key, &value, allowed);
        }
        parsed
    }

    fn value(&self, section: &str, key: &str) -> Option<&str> {
        Some(self.ini.section(Some(section))?.get(key)?.trim())
    }

    fn find_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (section, keys) in self.ini.iter() {
            let section = section.unwrap_or("");
            let known: Vec<&str> = self
                .known
                .iter()
                .filter(|(s, _)| s == section)
                .map(|(_, k)| k.as_str())
                .collect();
            for (key, value) in keys.iter().filter(|(k, _)| !known.contains(k)) {
                let allowed = if known.is_empty() {
                    let sections: BTreeSet<_> =
                        self.known.iter().map(|(s, _)| s.as_str()).collect();
                    format!("one of the sections {}", join(sections))
                } else {
                    format!("one of the keys {}", join(known.clone()))
                };
                unknown.push((
                    section.to_string(),
                    key.to_string(),
                    value.to_string(),
                    allowed,
                ));
            }
        }
        for (section, key, value, allowed) in unknown {
            self.report(&section, &key, &value, &allowed);
        }
    }

    fn report(&mut self, section: &str, key: &str, value: &str, allowed: &str) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line: line_of(&self.text, section, key),
            section: section.into(),
            key: key.into(),
            value: value.into(),
            allowed: allowed.into(),
        });
    }
}

fn join<'a>(words: impl IntoIterator<Item = &'a str>) -> String {
    words.into_iter().collect::<Vec<_>>().join(", ")
}

fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_LEN && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn parse_names(text: &str) -> Option<Vec<Name>> {
    if text.contains(['{', '}']) {
        return Some(Vec::new());
    }
    let list = text.strip_prefix('[').and_then(|t| t.strip_suffix(']'));
    let parts = list
        .unwrap_or(text)
        .split(|c: char| c == ',' || c.is_whitespace());
    let names = parts.filter(|p| !p.is_empty()).map(|part| {
        let quoted = ['"', '\'']
            .iter()
            .find_map(|q| part.strip_prefix(*q)?.strip_suffix(*q));
        let name = quoted.unwrap_or(part);
        is_name(name).then(|| name.into())
    });
    names.collect()
}

fn is_name(text: &str) -> bool {
    (1..=NAME_MAX).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// Line of `key` in `section`, counted from one; zero if it is not there. The INI library keeps no
/// line numbers.
fn line_of(text: &str, section: &str, key: &str) -> usize {
    let mut current = String::new();
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            current = name.trim().to_string();
        } else if current == section
            && line
                .split(['=', ':'])
                .next()
                .is_some_and(|k| k.trim() == key)
        {
            return i + 1;
        }
    }
    0
}
