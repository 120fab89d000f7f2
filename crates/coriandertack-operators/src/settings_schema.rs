//! Schema of the live settings.
//!
//! Operators change live settings at run time, and the log replicates them to every VM. Names that are not
//! in [`ALL`] are refused, so that a misspelt name does not appear to take effect. Values are TOML, as in
//! settings files. [`Live::read`] returns the effective values, with defaults for settings that are not set.
//!
//! ```
//! use coriandertack_operators::settings_schema;
//!
//! assert!(settings_schema::check("placement.packing_weight", "0.7").is_ok());
//! assert!(settings_schema::check("placement.packing_weight", "70.0").is_err());
//! assert!(settings_schema::check("placement.weight", "0.7").is_err());
//! ```

use std::sync::Arc;

use {
    coriandertack_core::{
        keys::Version,
        node::{Node, SharedState},
        state::State,
    },
    toml::Value,
};

/// Maximum length of a value in characters.
pub const MAX_VALUE_CHARS: usize = 1_024;

/// Valid values of `log.level`, from least to most verbose.
const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

/// Type and valid range of a setting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueType {
    /// A number in an inclusive range.
    Number(f64, f64),
    /// An integer in an inclusive range.
    Integer(i64, i64),
    /// One of a fixed set of strings.
    Choice(&'static [&'static str]),
}

/// Schema of a live setting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schema {
    /// Name of the setting, as in the API.
    pub name: &'static str,
    /// Type and valid range of its values.
    pub value_type: ValueType,
    /// Default value as TOML; empty if each VM uses its settings file.
    pub default: &'static str,
    /// What the setting controls, as shown by the API.
    pub description: &'static str,
}

/// Every setting, in the order of names.
pub const ALL: &[Schema] = &[
    Schema {
        name: "api.burst",
        value_type: ValueType::Integer(1, 100_000),
        default: "200",
        description: "maximum burst of resource API requests from one operator or team on each VM",
    },
    Schema {
        name: "api.rate_per_s",
        value_type: ValueType::Number(0.1, 100_000.0),
        default: "100.0",
        description: "sustained resource API requests per second from one operator or team on each VM",
    },
    Schema {
        name: "log.level",
        value_type: ValueType::Choice(LEVELS),
        default: "",
        description: "least severe level of the log lines that are written",
    },
    Schema {
        name: "placement.headroom_weight",
        value_type: ValueType::Number(0.0, 10.0),
        default: "",
        description: "weight of free processors on each worker when choosing a worker",
    },
    Schema {
        name: "placement.packing_weight",
        value_type: ValueType::Number(0.0, 10.0),
        default: "",
        description: "weight of full workers when choosing a worker",
    },
    Schema {
        name: "placement.spread_weight",
        value_type: ValueType::Number(0.0, 10.0),
        default: "",
        description: "weight of an even load of services when choosing a worker",
    },
    Schema {
        name: "route.short_share",
        value_type: ValueType::Number(0.0, 0.9),
        default: "",
        description: "share of a service's slots that is reserved for short requests",
    },
];

/// Returns the schema of the setting `name`.
#[must_use]
pub fn find(name: &str) -> Option<&'static Schema> {
    ALL.iter().find(|schema| schema.name == name)
}

/// Parses a value and validates it against the schema of the setting `name`.
///
/// # Errors
///
/// Returns the reason if the name is unknown or the value is invalid.
pub fn check(name: &str, text: &str) -> Result<Value, String> {
    let schema =
        find(name).ok_or_else(|| format!("unknown setting `{name}`; {}", known_names()))?;
    if text.chars().count() > MAX_VALUE_CHARS {
        return Err(format!("the value exceeds the limit of {MAX_VALUE_CHARS} characters"));
    }
    let value = parse(text)?;
    schema.value_type.check(&value)?;
    Ok(value)
}

fn known_names() -> String {
    let names: Vec<&str> = ALL.iter().map(|schema| schema.name).collect();
    format!("known settings: {}", names.join(", "))
}

/// Parses one TOML value.
fn parse(text: &str) -> Result<Value, String> {
    let not_toml = |_| format!("`{text}` is not a valid TOML value; put strings in quotes");
    // After a line break the text could define another key.
    if text.contains(['\n', '\r']) {
        return Err("the value contains a line break; write it on one line".into());
    }
    let mut table: toml::Table = toml::from_str(&format!("value = {text}")).map_err(not_toml)?;
    table.remove("value").ok_or_else(|| format!("`{text}` is not a valid TOML value"))
}

impl ValueType {
    fn check(self, value: &Value) -> Result<(), String> {
        match self {
            Self::Number(low, high) => match number(value) {
                Some(number) if (low..=high).contains(&number) => Ok(()),
                _ => Err(format!("the value is {value}; it must be a number from {low} to {high}")),
            },
            Self::Integer(low, high) => match value.as_integer() {
                Some(whole) if (low..=high).contains(&whole) => Ok(()),
                _ => Err(format!(
                    "the value is {value}; it must be a whole number from {low} to {high}"
                )),
            },
            Self::Choice(words) => match value.as_str() {
                Some(word) if words.contains(&word) => Ok(()),
                _ => Err(format!(
                    "the value is {value}; it must be one of: \"{}\"",
                    words.join("\", \"")
                )),
            },
        }
    }
}

fn number(value: &Value) -> Option<f64> {
    // The integers of settings are far below 2^53, so the conversion is exact.
    value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))
}

/// Effective live settings; `None` where the settings file of the VM applies.
#[derive(Clone, Debug, PartialEq)]
pub struct Live {
    /// Value of `api.burst`.
    pub burst: f64,
    /// Value of `api.rate_per_s`.
    pub rate: f64,
    /// Value of `log.level`.
    pub level: Option<String>,
    /// Value of `placement.headroom_weight`.
    pub headroom: Option<f64>,
    /// Value of `placement.packing_weight`.
    pub packing: Option<f64>,
    /// Value of `placement.spread_weight`.
    pub spread: Option<f64>,
    /// Value of `route.short_share`.
    pub share: Option<f64>,
}

impl Live {
    /// Reads the effective values.
    ///
    /// An invalid value is treated as not set. It can only come from a VM of another version with a
    /// different schema.
    #[must_use]
    pub fn read(state: &State) -> Self {
        let effective = |name| find(name).and_then(|schema| effective_value(state, schema));
        Self {
            burst: effective("api.burst").as_ref().and_then(number).unwrap_or(1.0),
            rate: effective("api.rate_per_s").as_ref().and_then(number).unwrap_or(1.0),
            level: level(state),
            headroom: effective("placement.headroom_weight").as_ref().and_then(number),
            packing: effective("placement.packing_weight").as_ref().and_then(number),
            spread: effective("placement.spread_weight").as_ref().and_then(number),
            share: effective("route.short_share").as_ref().and_then(number),
        }
    }
}

/// Calls `apply` with the live settings now and after each change, until the process ends.
///
/// `apply` runs while the state is locked, so it must be short.
pub async fn follow(node: Arc<Node>, mut apply: impl FnMut(&mut SharedState, &Live)) {
    let mut applied = node.applied_offset.subscribe();
    let mut seen: Option<Vec<Version>> = None;
    loop {
        applied.borrow_and_update();
        node.with(|shared| {
            let versions = Some(versions(&shared.state));
            if seen != versions {
                seen = versions;
                let live = Live::read(&shared.state);
                apply(shared, &live);
            }
        });
        if applied.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the version of each setting in [`ALL`].
fn versions(state: &State) -> Vec<Version> {
    let version = |schema: &Schema| {
        state.settings.get(schema.name).map_or(Version(0), |setting| setting.version)
    };
    ALL.iter().map(version).collect()
}

/// Returns the value of `log.level`, if it is set.
#[must_use]
pub fn level(state: &State) -> Option<String> {
    let text = state.settings.get("log.level")?.value.as_ref()?;
    check("log.level", text).ok()?.as_str().map(str::to_owned)
}

/// Returns the configured value if it is valid, else the default, if there is one.
fn effective_value(state: &State, schema: &Schema) -> Option<Value> {
    let text = state.settings.get(schema.name).and_then(|setting| setting.value.as_ref());
    let set = text.and_then(|text| check(schema.name, text).ok());
    set.or_else(|| parse(schema.default).ok())
}
