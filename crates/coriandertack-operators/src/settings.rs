//! Reading and changing live settings.

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
    reply::{ApiError, ApiResult, Reply},
    settings_schema::{self, Schema},
};

/// A setting as returned by the API.
#[derive(Debug, Serialize)]
struct SettingView<'a> {
    name: &'static str,
    /// 0 if the setting has never been set.
    version: Version,
    /// Configured value as TOML; `None` if the default applies.
    value: Option<&'a str>,
    /// Value used if none is set; empty if each VM uses its settings file.
    default: &'static str,
    /// What the setting controls.
    text: &'static str,
}

/// Request body that sets a setting.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingBody {
    /// New value as TOML.
    value: String,
}

fn setting_view<'a>(state: &'a State, schema: &Schema) -> SettingView<'a> {
    let set = state.settings.get(schema.name);
    SettingView {
        name: schema.name,
        version: set.map_or(Version(0), |setting| setting.version),
        value: set.and_then(|setting| setting.value.as_deref()),
        default: schema.default,
        text: schema.description,
    }
}

/// Lists every known setting.
pub(crate) async fn list(api: Arc<Api>, _: Call) -> ApiResult {
    api.node.with(|shared| {
        let settings: Vec<SettingView<'_>> =
            settings_schema::ALL.iter().map(|schema| setting_view(&shared.state, schema)).collect();
        let reply = Reply::new(Code::Done).with("position", shared.state.offset);
        Ok(reply.with("settings", settings))
    })
}

/// Returns one setting.
pub(crate) async fn get(api: Arc<Api>, call: Call) -> ApiResult {
    let schema = settings_schema::find(&call.name).ok_or(Code::NotFound)?;
    api.node.with(|shared| {
        let view = setting_view(&shared.state, schema);
        let reply = Reply::new(Code::Done).with("position", shared.state.offset);
        Ok(reply.with_etag(view.version).with("setting", view))
    })
}

/// Sets the value of a setting.
pub(crate) async fn put(api: Arc<Api>, call: Call) -> ApiResult {
    let expect = call.expected_version()?;
    let SettingBody { value } = call.json_body()?;
    settings_schema::check(&call.name, &value)
        .map_err(|reason| ApiError::new(Code::OutOfRange, reason))?;
    let change = SettingChange { name: call.name.clone(), expect, value: Some(value) };
    changes::apply_or_preview(&api, &call, Record::Setting(change)).await
}

/// Removes the value of a setting, so that the default applies again.
pub(crate) async fn delete(api: Arc<Api>, call: Call) -> ApiResult {
    let expect = call.expected_version()?;
    let is_set = api.node.with(|shared| {
        shared.state.settings.get(&call.name).is_some_and(|setting| setting.value.is_some())
    });
    if !is_set {
        return Err(Code::NotFound.into());
    }
    let change = SettingChange { name: call.name.clone(), expect, value: None };
    changes::apply_or_preview(&api, &call, Record::Setting(change)).await
}
