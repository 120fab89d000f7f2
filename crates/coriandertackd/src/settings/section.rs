//! Typed access to the tables of a settings file, which collects faults instead of stopping at the first one.

use std::{
    cell::RefCell, collections::BTreeSet, net::SocketAddr, ops::RangeInclusive, time::Duration,
};

use toml::{Table, Value};

use crate::settings::Fault;

/// Most characters of a name.
const MAX_NAME_LEN: usize = 63;

/// Faults found so far in one file.
#[derive(Debug)]
pub struct Faults {
    file: String,
    faults: RefCell<Vec<Fault>>,
}

impl Faults {
    /// Returns an empty collection for the given file.
    pub fn new(file: &str) -> Self {
        Self { file: file.to_owned(), faults: RefCell::default() }
    }

    /// Adds a fault. `key` is the path from the root of the file.
    pub fn add(&self, key: &str, reason: &str) {
        let fault =
            Fault { file: self.file.clone(), key: key.to_owned(), reason: reason.to_owned() };
        self.faults.borrow_mut().push(fault);
    }

    /// Returns the faults in the order in which they were found.
    pub fn into_vec(self) -> Vec<Fault> {
        self.faults.into_inner()
    }
}

/// A table of a settings file, with the set of keys read so far. Keys never read are reported as unknown.
#[derive(Debug)]
pub struct Section<'a> {
    path: String,
    table: &'a Table,
    faults: &'a Faults,
    read_keys: BTreeSet<&'static str>,
}

impl<'a> Section<'a> {
    /// Returns the root table of the file.
    pub fn root(table: &'a Table, faults: &'a Faults) -> Self {
        Self { path: String::new(), table, faults, read_keys: BTreeSet::new() }
    }

    fn path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Adds a fault for a key of this table.
    pub fn fault(&self, key: &str, reason: &str) {
        self.faults.add(&self.path(key), reason);
    }

    fn value(&mut self, key: &'static str) -> Option<&'a Value> {
        self.read_keys.insert(key);
        self.table.get(key)
    }

    fn required(&mut self, key: &'static str) -> Option<&'a Value> {
        let value = self.value(key);
        if value.is_none() {
            self.fault(key, "required key is missing");
        }
        value
    }

    /// Returns a required string.
    pub fn string(&mut self, key: &'static str) -> Option<String> {
        let text = self.required(key)?.as_str();
        if text.is_none() {
            self.fault(key, "must be a string");
        }
        text.map(str::to_owned)
    }

    /// Returns a required name of ASCII letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, key: &'static str) -> Option<String> {
        let name = self.string(key)?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if !name.is_empty() && name.len() <= MAX_NAME_LEN && name.bytes().all(is_allowed) {
            return Some(name);
        }
        let reason = format!(
            "must be 1 to {MAX_NAME_LEN} ASCII letters, digits, `-`, `_` or `.`, but is `{name}`"
        );
        self.fault(key, &reason);
        None
    }

    /// Returns a name if the key is present.
    pub fn optional_name(&mut self, key: &'static str) -> Option<String> {
        self.value(key)?;
        self.name(key)
    }

    /// Returns a required string that must be one of `words`.
    pub fn one_of(&mut self, key: &'static str, words: &[&str]) -> Option<String> {
        let word = self.string(key)?;
        if words.contains(&word.as_str()) {
            return Some(word);
        }
        self.fault(key, &format!("must be one of: {}, but is `{word}`", words.join(", ")));
        None
    }

    /// Returns a required address of the form `IP:PORT`.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let text = self.string(key)?;
        let Ok(address) = text.parse::<SocketAddr>() else {
            self.fault(key, &format!("must be an address of the form IP:PORT, but is `{text}`"));
            return None;
        };
        if address.port() == 0 {
            self.fault(key, &format!("must have a port from 1 to 65535, but is `{text}`"));
            return None;
        }
        if address.ip().is_unspecified() || address.ip().is_multicast() {
            self.fault(
                key,
                &format!("must be the unicast address of an interface, but is `{text}`"),
            );
            return None;
        }
        Some(address)
    }

    /// Returns an integer within `range`, or the default if the key is absent.
    pub fn integer(
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
            let reason = format!(
                "must be an integer from {} to {}, but is {value}",
                range.start(),
                range.end()
            );
            self.fault(key, &reason);
        }
        whole
    }

    /// Returns a number within `range`, or the default if the key is absent.
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
            self.fault(
                key,
                &format!(
                    "must be a number from {} to {}, but is {value}",
                    range.start(),
                    range.end()
                ),
            );
        }
        number
    }

    /// Returns a duration, or the default if the key is absent. `unit` converts the value of the key.
    pub fn duration(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
        unit: impl Fn(u64) -> Duration,
    ) -> Option<Duration> {
        self.integer(key, range, default).map(|count| unit(u64::from(count)))
    }

    /// Returns a required table.
    pub fn section(&mut self, key: &'static str) -> Option<Section<'a>> {
        self.required(key)?;
        self.optional_section(key)
    }

    /// Returns a table if the key is present.
    pub fn optional_section(&mut self, key: &'static str) -> Option<Section<'a>> {
        let Some(table) = self.value(key)?.as_table() else {
            self.fault(key, "must be a table");
            return None;
        };
        Some(Section {
            path: self.path(key),
            table,
            faults: self.faults,
            read_keys: BTreeSet::new(),
        })
    }

    /// Returns the length of a list, or 0 if the key is absent or not a list.
    pub fn count(&self, key: &str) -> usize {
        self.table.get(key).and_then(Value::as_array).map_or(0, Vec::len)
    }

    /// Returns a list of `min` to `max` tables. An absent key is an empty list.
    pub fn sections(&mut self, key: &'static str, min: usize, max: usize) -> Vec<Section<'a>> {
        let list = match self.value(key) {
            None => &[][..],
            Some(Value::Array(list)) => list.as_slice(),
            Some(_) => {
                self.fault(key, &format!("must be an array of tables, written as [[{key}]]"));
                return Vec::new();
            }
        };
        if list.len() < min || list.len() > max {
            let count = list.len();
            self.fault(
                key,
                &format!("must have {min} to {max} [[{key}]] sections, but has {count}"),
            );
        }
        let mut sections = Vec::new();
        for (index, value) in list.iter().enumerate() {
            let path = self.path(&format!("{key}[{index}]"));
            match value.as_table() {
                Some(table) => {
                    let read_keys = BTreeSet::new();
                    sections.push(Section { path, table, faults: self.faults, read_keys });
                }
                None => self.faults.add(&path, "must be a table"),
            }
        }
        sections
    }

    /// Adds a fault for every key of the table that was not read.
    pub fn finish(self) {
        for key in self.table.keys().filter(|key| !self.read_keys.contains(key.as_str())) {
            self.fault(key, "unknown key; correct its spelling or remove it");
        }
    }
}
