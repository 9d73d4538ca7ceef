//! Reads typed values from a TOML tree and collects every fault.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::Fault;
use crate::state::document::is_name;

/// A settings file as it is read.
pub(super) struct Reader<'a> {
    text: &'a str,
    root: Spanned<DeTable<'a>>,
    known: BTreeSet<String>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut reader = Self { text, root, known: BTreeSet::new(), faults: Vec::new() };
        for error in errors {
            let span = error.span().unwrap_or(0..0);
            reader.push("(syntax)", error.message().to_string(), span);
        }
        reader
    }

    /// All faults, unknown keys among them, in the order of the file.
    pub(super) fn finish(mut self) -> Vec<Fault> {
        let mut keys = Vec::new();
        list_keys("", self.root.get_ref(), &mut keys);
        for (key, span) in keys {
            if !self.known.contains(&key) {
                self.push(&key, "unknown key".into(), span);
            }
        }
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }

    pub(super) fn fault(&mut self, key: &str, message: &str) {
        let span = self.find(key).map_or(0..0, |value| value.span());
        self.push(key, message.into(), span);
    }

    pub(super) fn text(&mut self, key: &str) -> String {
        let text = self.text_or(key, "");
        if text.is_empty() {
            self.fault(key, "is missing or empty");
        }
        text
    }

    pub(super) fn text_or(&mut self, key: &str, default: &str) -> String {
        let text = self.typed(key, "a string", |value| value.as_str().map(str::to_string));
        text.unwrap_or_else(|| default.to_string())
    }

    pub(super) fn name(&mut self, key: &str) -> String {
        let name = self.text(key);
        if !name.is_empty() && !is_name(&name) {
            self.fault(key, "is not 1 to 64 of a-z, 0-9, - and _");
        }
        name
    }

    pub(super) fn flag(&mut self, key: &str, default: bool) -> bool {
        self.typed(key, "true or false", DeValue::as_bool).unwrap_or(default)
    }

    pub(super) fn number(&mut self, key: &str, default: u64, low: u64, high: u64) -> u64 {
        let whole = |value: &DeValue<'_>| {
            let digits = value.as_integer()?;
            i128::from_str_radix(digits.as_str(), digits.radix()).ok()
        };
        let Some(number) = self.typed(key, "a whole number", whole) else { return default };
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
            self.fault(key, &format!("`{text}` is not IP:port"));
        }
        parsed
    }

    /// Seconds, whole or not, as milliseconds.
    pub(super) fn seconds(&mut self, key: &str, default_ms: u64) -> u64 {
        let read = |value: &DeValue<'_>| {
            let text = match value {
                DeValue::Integer(whole) => whole.as_str(),
                DeValue::Float(part) => part.as_str(),
                _ => return None,
            };
            text.parse::<f64>().ok().filter(|seconds| (0.0..=86_400.0).contains(seconds))
        };
        let seconds = self.typed(key, "a number of seconds up to 86400", read);
        seconds.map_or(default_ms, |seconds| (seconds * 1_000.0) as u64)
    }

    /// A list of hosts, each an IP address with or without a port.
    pub(super) fn hosts(&mut self, key: &str) -> Vec<IpAddr> {
        let read = |value: &DeValue<'_>| {
            let mut hosts = Vec::new();
            for item in value.as_array()? {
                let text = item.get_ref().as_str()?;
                let with_port = text.parse::<SocketAddr>().map(|address| address.ip());
                hosts.push(with_port.or_else(|_| text.parse()).ok()?);
            }
            Some(hosts)
        };
        self.typed(key, "a list of IP addresses", read).unwrap_or_default()
    }

    pub(super) fn tables<T>(&mut self, key: &str, read: fn(&mut Self, &str) -> T) -> Vec<T> {
        let count = self.typed(key, "a list of tables", |value| value.as_array().map(|a| a.len()));
        let mut items = Vec::new();
        for at in 0..count.unwrap_or(0) {
            let path = format!("{key}.{at}");
            self.known.insert(path.clone());
            items.push(read(self, &path));
        }
        items
    }

    fn typed<T>(
        &mut self,
        key: &str,
        wanted: &str,
        read: impl Fn(&DeValue<'a>) -> Option<T>,
    ) -> Option<T> {
        for (at, _) in key.match_indices('.') {
            self.known.insert(key[..at].to_string());
        }
        self.known.insert(key.to_string());
        let value = self.find(key)?;
        let read = read(value.get_ref());
        if read.is_none() {
            self.fault(key, &format!("is not {wanted}"));
        }
        read
    }

    fn find(&self, key: &str) -> Option<&Spanned<DeValue<'a>>> {
        let mut steps = key.split('.');
        let mut value = self.root.get_ref().get(steps.next()?)?;
        for step in steps {
            value = match value.get_ref() {
                DeValue::Table(table) => table.get(step)?,
                DeValue::Array(array) => array.get(step.parse::<usize>().ok()?)?,
                _ => return None,
            };
        }
        Some(value)
    }

    fn push(&mut self, key: &str, message: String, span: Range<usize>) {
        let before = self.text.get(..span.start).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        self.faults.push(Fault { key: key.into(), line, message, span });
    }
}

fn list_keys(prefix: &str, table: &DeTable<'_>, keys: &mut Vec<(String, Range<usize>)>) {
    for (key, value) in table.iter() {
        let path = format!("{prefix}{}", key.get_ref());
        keys.push((path.clone(), key.span()));
        list_value_keys(&path, value.get_ref(), keys);
    }
}

fn list_value_keys(path: &str, value: &DeValue<'_>, keys: &mut Vec<(String, Range<usize>)>) {
    match value {
        DeValue::Table(table) => list_keys(&format!("{path}."), table, keys),
        DeValue::Array(array) => {
            for (at, item) in array.iter().enumerate() {
                list_value_keys(&format!("{path}.{at}"), item.get_ref(), keys);
            }
        }
        _ => {}
    }
}
