//! Reads typed values from a TOML document and collects all faults.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::Fault;
use crate::state::document::is_name;

/// Reads values by dotted key and records the keys read, so that unknown keys can be reported.
pub(super) struct Reader<'a> {
    text: &'a str,
    root: Spanned<DeTable<'a>>,
    known_keys: BTreeSet<String>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut reader = Self { text, root, known_keys: BTreeSet::new(), faults: Vec::new() };
        for error in errors {
            let span = error.span().unwrap_or(0..0);
            reader.push_fault("(syntax)", error.message().to_string(), span);
        }
        reader
    }

    /// Returns all faults, including unknown keys, in the order of the file.
    pub(super) fn finish(mut self) -> Vec<Fault> {
        let mut keys = Vec::new();
        collect_keys("", self.root.get_ref(), &mut keys);
        for (key, span) in keys {
            if !self.known_keys.contains(&key) {
                self.push_fault(&key, "unknown key".into(), span);
            }
        }
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }

    pub(super) fn fault(&mut self, key: &str, message: &str) {
        let span = self.find(key).map_or(0..0, |value| value.span());
        self.push_fault(key, message.into(), span);
    }

    pub(super) fn text(&mut self, key: &str) -> String {
        let text = self.text_or(key, "");
        if text.is_empty() {
            self.fault(key, "is missing or empty");
        }
        text
    }

    pub(super) fn text_or(&mut self, key: &str, default: &str) -> String {
        let text = self.read_value(key, "a string", |value| value.as_str().map(str::to_string));
        text.unwrap_or_else(|| default.to_string())
    }

    pub(super) fn name(&mut self, key: &str) -> String {
        let name = self.text(key);
        if !name.is_empty() && !is_name(&name) {
            self.fault(key, "must be 1 to 64 characters of a-z, 0-9, - and _");
        }
        name
    }

    pub(super) fn flag(&mut self, key: &str, default: bool) -> bool {
        self.read_value(key, "true or false", DeValue::as_bool).unwrap_or(default)
    }

    pub(super) fn number(&mut self, key: &str, default: u64, low: u64, high: u64) -> u64 {
        let parse = |value: &DeValue<'_>| {
            let digits = value.as_integer()?;
            i128::from_str_radix(digits.as_str(), digits.radix()).ok()
        };
        let Some(number) = self.read_value(key, "a whole number", parse) else { return default };
        match u64::try_from(number) {
            Ok(number) if (low..=high).contains(&number) => number,
            _ => {
                self.fault(key, &format!("{number} is not from {low} to {high}"));
                default
            }
        }
    }

    pub(super) fn choice(&mut self, key: &str, options: &[&'static str]) -> &'static str {
        let text = self.text_or(key, options[0]);
        for option in options {
            if *option == text {
                return option;
            }
        }
        self.fault(key, &format!("`{text}` is not one of {}", options.join(", ")));
        options[0]
    }

    pub(super) fn address(&mut self, key: &str) -> SocketAddr {
        if let Some(address) = self.address_or_none(key) {
            return address;
        }
        if self.find(key).is_none() {
            self.fault(key, "is missing");
        }
        SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))
    }

    pub(super) fn address_or_none(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.text_or(key, "");
        if text.is_empty() {
            return None;
        }
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.fault(key, &format!("`{text}` is not an address of the form IP:port"));
        }
        parsed
    }

    /// Reads a number of seconds, with or without a fraction, and returns milliseconds.
    pub(super) fn seconds(&mut self, key: &str, default_ms: u64) -> u64 {
        let parse = |value: &DeValue<'_>| {
            let text = match value {
                DeValue::Integer(integer) => integer.as_str(),
                DeValue::Float(float) => float.as_str(),
                _ => return None,
            };
            text.parse::<f64>().ok().filter(|seconds| (0.0..=86_400.0).contains(seconds))
        };
        let seconds = self.read_value(key, "a number of seconds up to 86400", parse);
        seconds.map_or(default_ms, |seconds| (seconds * 1_000.0) as u64)
    }

    /// Reads a list of hosts, each an IP address; a port is accepted and ignored.
    pub(super) fn hosts(&mut self, key: &str) -> Vec<IpAddr> {
        let parse = |value: &DeValue<'_>| {
            let mut hosts = Vec::new();
            for item in value.as_array()? {
                let text = item.get_ref().as_str()?;
                let socket_ip = text.parse::<SocketAddr>().map(|address| address.ip());
                hosts.push(socket_ip.or_else(|_| text.parse()).ok()?);
            }
            Some(hosts)
        };
        self.read_value(key, "a list of IP addresses", parse).unwrap_or_default()
    }

    pub(super) fn tables<T>(&mut self, key: &str, read_table: fn(&mut Self, &str) -> T) -> Vec<T> {
        let count = self
            .read_value(key, "a list of tables", |value| value.as_array().map(|array| array.len()));
        let mut items = Vec::new();
        for index in 0..count.unwrap_or(0) {
            let path = format!("{key}.{index}");
            self.known_keys.insert(path.clone());
            items.push(read_table(self, &path));
        }
        items
    }

    fn read_value<T>(
        &mut self,
        key: &str,
        expected: &str,
        parse: impl Fn(&DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        for (dot, _) in key.match_indices('.') {
            self.known_keys.insert(key[..dot].to_string());
        }
        self.known_keys.insert(key.to_string());
        let value = self.find(key)?;
        let parsed = parse(value.get_ref());
        if parsed.is_none() {
            self.fault(key, &format!("is not {expected}"));
        }
        parsed
    }

    fn find(&self, key: &str) -> Option<&Spanned<DeValue<'a>>> {
        let mut segments = key.split('.');
        let mut value = self.root.get_ref().get(segments.next()?)?;
        for segment in segments {
            value = match value.get_ref() {
                DeValue::Table(table) => table.get(segment)?,
                DeValue::Array(array) => array.get(segment.parse::<usize>().ok()?)?,
                _ => return None,
            };
        }
        Some(value)
    }

    fn push_fault(&mut self, key: &str, message: String, span: Range<usize>) {
        let text_before = self.text.get(..span.start).unwrap_or("");
        let line = text_before.matches('\n').count() + 1;
        self.faults.push(Fault { key: key.into(), line, message, span });
    }
}

fn collect_keys(prefix: &str, table: &DeTable<'_>, keys: &mut Vec<(String, Range<usize>)>) {
    for (key, value) in table.iter() {
        let path = format!("{prefix}{}", key.get_ref());
        keys.push((path.clone(), key.span()));
        collect_nested_keys(&path, value.get_ref(), keys);
    }
}

fn collect_nested_keys(path: &str, value: &DeValue<'_>, keys: &mut Vec<(String, Range<usize>)>) {
    match value {
        DeValue::Table(table) => collect_keys(&format!("{path}."), table, keys),
        DeValue::Array(array) => {
            for (index, item) in array.iter().enumerate() {
                collect_nested_keys(&format!("{path}.{index}"), item.get_ref(), keys);
            }
        }
        _ => {}
    }
}
