//! Live settings that the product knows.
//!
//! Operators set them while the system runs; the log carries them to every VM. A name that is not in
//! [`ALL`] is refused, so that a misspelt name cannot seem to be in force. Values are TOML, as in
//! files. [`Live::read`] gives the values in force, with the defaults for what is not set.
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

/// The most characters of a value.
pub const MAX_VALUE_CHARS: usize = 1_024;

/// Levels of `log.level`.
const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];

/// Which values a setting takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// A number between two bounds, both included.
    Number(f64, f64),
    /// A whole number between two bounds, both included.
    Whole(i64, i64),
    /// One of some words.
    Word(&'static [&'static str]),
}

/// A setting that the product knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schema {
    /// Name.
    pub name: &'static str,
    /// Values that it takes.
    pub form: Form,
    /// Value in force if none is set, as TOML; empty if the settings file of the VM decides.
    pub default: &'static str,
    /// What it does.
    pub text: &'static str,
}

/// Every known setting, in the order of names.
pub const ALL: &[Schema] = &[
    Schema {
        name: "api.burst",
        form: Form::Whole(1, 100_000),
        default: "200",
        text: "requests to the resource API that one operator or team may send at once",
    },
    Schema {
        name: "api.rate_per_s",
        form: Form::Number(0.1, 100_000.0),
        default: "100.0",
        text: "requests per second to the resource API for each operator or team, and VM",
    },
    Schema {
        name: "log.level",
        form: Form::Word(LEVELS),
        default: "",
        text: "least severe level of the log lines that are written",
    },
    Schema {
        name: "placement.headroom_weight",
        form: Form::Number(0.0, 10.0),
        default: "",
        text: "weight of free processors on each worker in the choice of a worker",
    },
    Schema {
        name: "placement.packing_weight",
        form: Form::Number(0.0, 10.0),
        default: "",
        text: "weight of full workers in the choice of a worker",
    },
    Schema {
        name: "placement.spread_weight",
        form: Form::Number(0.0, 10.0),
        default: "",
        text: "weight of an even load of services in the choice of a worker",
    },
    Schema {
        name: "route.short_share",
        form: Form::Number(0.0, 0.9),
        default: "",
        text: "share of the slots of a service that is kept for short requests",
    },
];

/// Returns the schema of a name.
#[must_use]
pub fn find(name: &str) -> Option<&'static Schema> {
    ALL.iter().find(|schema| schema.name == name)
}

/// Checks a value against the schema of its name.
///
/// # Errors
///
/// Returns the reason for which the name or the value is refused.
pub fn check(name: &str, text: &str) -> Result<Value, String> {
    let schema = find(name).ok_or_else(|| format!("unknown setting `{name}`; {}", known()))?;
    if text.chars().count() > MAX_VALUE_CHARS {
        return Err(format!("the value is longer than {MAX_VALUE_CHARS} characters"));
    }
    let value = parse(text)?;
    schema.form.check(&value)?;
    Ok(value)
}

fn known() -> String {
    let names: Vec<&str> = ALL.iter().map(|schema| schema.name).collect();
    format!("known settings: {}", names.join(", "))
}

/// Reads one TOML value.
fn parse(text: &str) -> Result<Value, String> {
    let not_toml = |_| format!("`{text}` is not a TOML value");
    // A line break could end the value and begin another key.
    if text.contains(['\n', '\r']) {
        return Err("the value must be on one line".into());
    }
    let mut table: toml::Table = toml::from_str(&format!("value = {text}")).map_err(not_toml)?;
    table.remove("value").ok_or_else(|| format!("`{text}` is not a TOML value"))
}

impl Form {
    fn check(self, value: &Value) -> Result<(), String> {
        match self {
            Self::Number(low, high) => match number(value) {
                Some(number) if (low..=high).contains(&number) => Ok(()),
                _ => Err(format!("the value must be a number from {low} to {high}")),
            },
            Self::Whole(low, high) => match value.as_integer() {
                Some(whole) if (low..=high).contains(&whole) => Ok(()),
                _ => Err(format!("the value must be a whole number from {low} to {high}")),
            },
            Self::Word(words) => match value.as_str() {
                Some(word) if words.contains(&word) => Ok(()),
                _ => Err(format!("the value must be one of: \"{}\"", words.join("\", \""))),
            },
        }
    }
}

fn number(value: &Value) -> Option<f64> {
    // Whole numbers of settings are far below 2^53, so the conversion is exact.
    value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))
}

/// Live settings in force; nothing where the settings file of the VM decides.
#[derive(Clone, Debug, PartialEq)]
pub struct Live {
    /// `api.burst`.
    pub burst: f64,
    /// `api.rate_per_s`.
    pub rate: f64,
    /// `log.level`.
    pub level: Option<String>,
    /// `placement.headroom_weight`.
    pub headroom: Option<f64>,
    /// `placement.packing_weight`.
    pub packing: Option<f64>,
    /// `placement.spread_weight`.
    pub spread: Option<f64>,
    /// `route.short_share`.
    pub share: Option<f64>,
}

impl Live {
    /// Reads the values in force.
    ///
    /// A value that does not pass the check counts as not set. It can only come from a VM of another
    /// version, whose schema differs.
    #[must_use]
    pub fn read(state: &State) -> Self {
        let in_force = |name| find(name).and_then(|schema| value(state, schema));
        Self {
            burst: in_force("api.burst").as_ref().and_then(number).unwrap_or(1.0),
            rate: in_force("api.rate_per_s").as_ref().and_then(number).unwrap_or(1.0),
            level: level(state),
            headroom: in_force("placement.headroom_weight").as_ref().and_then(number),
            packing: in_force("placement.packing_weight").as_ref().and_then(number),
            spread: in_force("placement.spread_weight").as_ref().and_then(number),
            share: in_force("route.short_share").as_ref().and_then(number),
        }
    }
}

/// Brings the live settings into force: runs `apply` now and after each change, for as long as the
/// process runs.
///
/// `apply` is run under the lock of the state, so it must be short.
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

/// Returns the version of each known setting.
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

/// Returns the value that is set, or the default.
fn value(state: &State, schema: &Schema) -> Option<Value> {
    let text = state.settings.get(schema.name).and_then(|setting| setting.value.as_ref());
    let set = text.and_then(|text| check(schema.name, text).ok());
    set.or_else(|| parse(schema.default).ok())
}
