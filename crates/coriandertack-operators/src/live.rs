//! Live settings: reading and changing them.

use std::sync::Arc;

use {
    coriandertack_core::{
        code::Code,
        keys::Version,
        record::{Record, SettingChange},
        state::State,
    },
    serde::{Deserialize, Serialize},
};

use crate::{
    api::Api,
    call::Call,
    changes,
    reply::{Answer, Fault, Reply},
    settings_schema::{self, Schema},
};

/// A setting as it is answered.
#[derive(Debug, Serialize)]
struct View<'a> {
    name: &'static str,
    /// 0 if it has never been set.
    version: Version,
    /// Value that is set, as TOML.
    value: Option<&'a str>,
    /// Value in force if none is set; empty if the settings file of the VM decides.
    default: &'static str,
    text: &'static str,
}

/// A setting as it is declared.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Content {
    /// TOML text.
    value: String,
}

fn view<'a>(state: &'a State, schema: &Schema) -> View<'a> {
    let set = state.settings.get(schema.name);
    View {
        name: schema.name,
        version: set.map_or(Version(0), |setting| setting.version),
        value: set.and_then(|setting| setting.value.as_deref()),
        default: schema.default,
        text: schema.text,
    }
}

/// Lists every known setting.
pub(crate) async fn list(api: Arc<Api>, _: Call) -> Answer {
    api.node.with(|shared| {
        let settings: Vec<View<'_>> =
            settings_schema::ALL.iter().map(|schema| view(&shared.state, schema)).collect();
        let reply = Reply::new(Code::Done).with("position", shared.state.offset);
        Ok(reply.with("settings", settings))
    })
}

/// Answers with one setting.
pub(crate) async fn get(api: Arc<Api>, call: Call) -> Answer {
    let schema = settings_schema::find(&call.name).ok_or(Code::NotFound)?;
    api.node.with(|shared| {
        let view = view(&shared.state, schema);
        let reply = Reply::new(Code::Done).with("position", shared.state.offset);
        Ok(reply.tagged(view.version).with("setting", view))
    })
}

/// Sets a setting.
pub(crate) async fn put(api: Arc<Api>, call: Call) -> Answer {
    let expect = call.expected()?;
    let Content { value } = call.content()?;
    settings_schema::check(&call.name, &value)
        .map_err(|reason| Fault::new(Code::OutOfRange, reason))?;
    let change = SettingChange { name: call.name.clone(), expect, value: Some(value) };
    changes::make(&api, &call, Record::Setting(change)).await
}

/// Removes the value of a setting, so that the default is in force.
pub(crate) async fn delete(api: Arc<Api>, call: Call) -> Answer {
    let expect = call.expected()?;
    let is_set = api.node.with(|shared| {
        shared.state.settings.get(&call.name).is_some_and(|setting| setting.value.is_some())
    });
    if !is_set {
        return Err(Code::NotFound.into());
    }
    let change = SettingChange { name: call.name.clone(), expect, value: None };
    changes::make(&api, &call, Record::Setting(change)).await
}
