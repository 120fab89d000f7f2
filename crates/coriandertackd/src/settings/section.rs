//! Reading one table of a settings file and noting what is wrong with it.

use std::{
    cell::RefCell, collections::BTreeSet, net::SocketAddr, ops::RangeInclusive, time::Duration,
};

use toml::{Table, Value};

use crate::settings::Fault;

/// The most characters of a name.
const MAX_NAME: usize = 63;

/// Faults found so far.
#[derive(Debug)]
pub struct Faults {
    file: String,
    found: RefCell<Vec<Fault>>,
}

impl Faults {
    /// Returns no faults, of this file.
    pub fn new(file: &str) -> Self {
        Self { file: file.to_owned(), found: RefCell::default() }
    }

    /// Notes a fault.
    pub fn add(&self, key: &str, reason: &str) {
        let fault =
            Fault { file: self.file.clone(), key: key.to_owned(), reason: reason.to_owned() };
        self.found.borrow_mut().push(fault);
    }

    /// Returns what was found.
    pub fn into_found(self) -> Vec<Fault> {
        self.found.into_inner()
    }
}

/// A table, with the keys that were asked for. The others are unknown.
#[derive(Debug)]
pub struct Section<'a> {
    path: String,
    table: &'a Table,
    faults: &'a Faults,
    known: BTreeSet<&'static str>,
}

impl<'a> Section<'a> {
    /// Returns the outermost table.
    pub fn root(table: &'a Table, faults: &'a Faults) -> Self {
        Self { path: String::new(), table, faults, known: BTreeSet::new() }
    }

    fn path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Notes a fault of a key.
    pub fn fault(&self, key: &str, reason: &str) {
        self.faults.add(&self.path(key), reason);
    }

    fn value(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known.insert(key);
        self.table.get(key)
    }

    fn required(&mut self, key: &'static str) -> Option<&'a Value> {
        let value = self.value(key);
        if value.is_none() {
            self.fault(key, "is missing");
        }
        value
    }

    /// Returns a required text.
    pub fn text(&mut self, key: &'static str) -> Option<String> {
        let text = self.required(key)?.as_str();
        if text.is_none() {
            self.fault(key, "must be a text");
        }
        text.map(str::to_owned)
    }

    /// Returns a required name.
    pub fn name(&mut self, key: &'static str) -> Option<String> {
        let name = self.text(key)?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(is_allowed) {
            return Some(name);
        }
        let reason = format!("must be 1 to {MAX_NAME} letters of ASCII, digits, `-`, `_` or `.`");
        self.fault(key, &reason);
        None
    }

    /// Returns a name if there is one.
    pub fn optional_name(&mut self, key: &'static str) -> Option<String> {
        self.value(key)?;
        self.name(key)
    }

    /// Returns a required word out of a list.
    pub fn word(&mut self, key: &'static str, words: &[&str]) -> Option<String> {
        let word = self.text(key)?;
        if words.contains(&word.as_str()) {
            return Some(word);
        }
        self.fault(key, &format!("must be one of: {}", words.join(", ")));
        None
    }

    /// Returns a required address of the form `IP:PORT`.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let text = self.text(key)?;
        let Ok(address) = text.parse::<SocketAddr>() else {
            self.fault(key, "must be an address of the form IP:PORT");
            return None;
        };
        if address.port() == 0 {
            self.fault(key, "the port must not be 0");
            return None;
        }
        if address.ip().is_unspecified() || address.ip().is_multicast() {
            self.fault(key, "must be an address that others can reach");
            return None;
        }
        Some(address)
    }

    /// Returns a whole number, or the default if there is none.
    pub fn whole(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> Option<u32> {
        let Some(value) = self.value(key) else {
            return Some(default);
        };
        let whole = value.as_integer().and_then(|whole| u32::try_from(whole).ok());
        let whole = whole.filter(|whole| range.contains(whole));
        if whole.is_none() {
            let reason =
                format!("must be a whole number from {} to {}", range.start(), range.end());
            self.fault(key, &reason);
        }
        whole
    }

    /// Returns a number, or the default if there is none.
    pub fn number(
        &mut self,
        key: &'static str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> Option<f64> {
        let Some(value) = self.value(key) else {
            return Some(default);
        };
        let whole = value.as_integer().and_then(|whole| i32::try_from(whole).ok());
        let number = value.as_float().or_else(|| whole.map(f64::from));
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            self.fault(key, &format!("must be a number from {} to {}", range.start(), range.end()));
        }
        number
    }

    /// Returns a duration in the unit that the name of the key gives, or the default.
    pub fn duration(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
        unit: impl Fn(u64) -> Duration,
    ) -> Option<Duration> {
        self.whole(key, range, default).map(|count| unit(u64::from(count)))
    }

    /// Returns a required table.
    pub fn section(&mut self, key: &'static str) -> Option<Section<'a>> {
        self.required(key)?;
        self.optional_section(key)
    }

    /// Returns a table if there is one.
    pub fn optional_section(&mut self, key: &'static str) -> Option<Section<'a>> {
        let Some(table) = self.value(key)?.as_table() else {
            self.fault(key, "must be a table");
            return None;
        };
        Some(Section { path: self.path(key), table, faults: self.faults, known: BTreeSet::new() })
    }

    /// Returns the number of entries of a list.
    pub fn count(&self, key: &str) -> usize {
        self.table.get(key).and_then(Value::as_array).map_or(0, Vec::len)
    }

    /// Returns a list of tables, whose number must be in bounds.
    pub fn sections(&mut self, key: &'static str, least: usize, most: usize) -> Vec<Section<'a>> {
        let list = match self.value(key) {
            None => &[][..],
            Some(Value::Array(list)) => list.as_slice(),
            Some(_) => {
                self.fault(key, &format!("must be a list, written as [[{key}]]"));
                return Vec::new();
            }
        };
        if list.len() < least || list.len() > most {
            let count = list.len();
            self.fault(key, &format!("must have {least} to {most} entries, not {count}"));
        }
        let mut sections = Vec::new();
        for (index, value) in list.iter().enumerate() {
            let path = self.path(&format!("{key}[{index}]"));
            match value.as_table() {
                Some(table) => {
                    let known = BTreeSet::new();
                    sections.push(Section { path, table, faults: self.faults, known });
                }
                None => self.faults.add(&path, "must be a table"),
            }
        }
        sections
    }

    /// Notes every key that nobody asked for.
    pub fn finish(self) {
        for key in self.table.keys().filter(|key| !self.known.contains(key.as_str())) {
            self.fault(key, "unknown key");
        }
    }
}
