//! Reading and changing teams, their quotas and their tokens.

use std::{collections::BTreeSet, ops::Bound, sync::Arc};

use {
    coriandertack_core::{
        code::Code,
        keys::Version,
        record::{Record, TeamChange, TeamSpec},
        resources::Resources,
        state::{State, Team},
    },
    serde::{Deserialize, Serialize},
};

use crate::{
    access::{Principal, is_digest},
    api::Api,
    call::{Call, check_name},
    changes,
    reply::{ApiError, ApiResult, Reply},
};

/// Maximum number of tokens of a team.
pub const MAX_TOKENS: usize = 16;

/// Maximum number of teams, seven times the target of 140.
pub const MAX_TEAMS: usize = 1_000;

/// A team as returned by the API.
#[derive(Debug, Serialize)]
struct TeamView {
    name: String,
    version: Version,
    quota: Resources,
    /// Token digests, shown to operators only; empty for a team.
    tokens: Vec<String>,
    home: Option<String>,
}

/// Request body that creates or changes a team.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamBody {
    quota: Resources,
    #[serde(default)]
    tokens: Vec<String>,
}

fn team_view(state: &State, team: &Team, principal: &Principal) -> TeamView {
    let home = team.home.vm.and_then(|vm| state.vms.get(vm)).map(|vm| vm.info.name.clone());
    let tokens = if principal.team().is_none() { team.spec.tokens.clone() } else { Vec::new() };
    TeamView {
        name: team.name.clone(),
        version: team.version,
        quota: team.spec.quota,
        tokens,
        home,
    }
}

/// Lists the teams that the principal may access, in the order of names.
pub(crate) async fn list(api: Arc<Api>, call: Call) -> ApiResult {
    let limit = call.limit()?;
    let after = call.param("after").unwrap_or_default();
    let (position, mut teams) = api.node.with(|shared| {
        let state = &shared.state;
        let range = state.team_names.range::<str, _>((Bound::Excluded(after), Bound::Unbounded));
        let own = range.filter(|(name, _)| call.principal.can_access(name)).take(limit + 1);
        let teams: Vec<TeamView> =
            own.map(|(_, &key)| team_view(state, &state.teams[key], &call.principal)).collect();
        (state.offset, teams)
    });
    let has_more = teams.len() > limit;
    teams.truncate(limit);
    let next = teams.last().filter(|_| has_more).map(|team| team.name.clone());
    let reply = Reply::new(Code::Done).with("position", position).with("next", next);
    Ok(reply.with("teams", teams))
}

/// Returns one team.
pub(crate) async fn get(api: Arc<Api>, call: Call) -> ApiResult {
    call.principal.require_team(&call.name)?;
    api.node.with(|shared| {
        let state = &shared.state;
        let team = state.team(&call.name).ok_or(Code::NotFound)?;
        Ok(Reply::new(Code::Done)
            .with("position", state.offset)
            .with("team", team_view(state, team, &call.principal))
            .with_etag(team.version))
    })
}

/// Creates or changes a team.
pub(crate) async fn put(api: Arc<Api>, call: Call) -> ApiResult {
    check_name("team name", &call.name)?;
    let expect = call.expected_version()?;
    let TeamBody { quota, tokens } = call.json_body()?;
    check_tokens(&api, &call.name, &tokens)?;
    check_team_limit(&api, &call.name)?;
    let spec = Some(TeamSpec { quota, tokens });
    let change = TeamChange { name: call.name.clone(), expect, spec };
    changes::apply_or_preview(&api, &call, Record::Team(change)).await
}

/// Removes a team.
pub(crate) async fn delete(api: Arc<Api>, call: Call) -> ApiResult {
    let expect = call.expected_version()?;
    let change = TeamChange { name: call.name.clone(), expect, spec: None };
    changes::apply_or_preview(&api, &call, Record::Team(change)).await
}

/// Validates token digests. Each digest must identify exactly one principal.
fn check_tokens(api: &Api, name: &str, tokens: &[String]) -> Result<(), ApiError> {
    let refuse = |reason: &str| Err(ApiError::new(Code::OutOfRange, reason));
    if tokens.len() > MAX_TOKENS {
        return refuse(&format!(
            "{} tokens are listed; a team has at most {MAX_TOKENS}",
            tokens.len()
        ));
    }
    if !tokens.iter().all(|token| is_digest(token)) {
        return refuse(
            "each token must be given as its SHA-256 digest in 64 lowercase hexadecimal digits",
        );
    }
    let own: BTreeSet<&String> = tokens.iter().collect();
    if own.len() < tokens.len() {
        return refuse("a token digest is listed twice; list each digest once");
    }
    let is_in_use = api.node.with(|shared| {
        let others = shared.state.teams.values().filter(|team| team.name != name);
        others.flat_map(|team| &team.spec.tokens).any(|token| own.contains(token))
    });
    if is_in_use || api.operators.iter().any(|operator| own.contains(&operator.digest)) {
        return refuse(
            "a token digest already belongs to another team or an operator; use a new token",
        );
    }
    Ok(())
}

fn check_team_limit(api: &Api, name: &str) -> Result<(), ApiError> {
    let is_full = api
        .node
        .with(|shared| shared.state.team(name).is_none() && shared.state.teams.len() >= MAX_TEAMS);
    if is_full {
        return Err(ApiError::new(
            Code::OutOfRange,
            format!("cannot create team `{name}`: the limit of {MAX_TEAMS} teams is reached"),
        ));
    }
    Ok(())
}
