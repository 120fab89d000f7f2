//! Teams: quotas and tokens.

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
    reply::{Answer, Fault, Reply},
};

/// The most tokens of one team.
pub const MAX_TOKENS: usize = 16;

/// The most teams: seven times the 140 of the target.
pub const MAX_TEAMS: usize = 1_000;

/// A team as it is answered.
#[derive(Debug, Serialize)]
struct View {
    name: String,
    version: Version,
    quota: Resources,
    /// Digests, for operators only; a team gets an empty list.
    tokens: Vec<String>,
    home: Option<String>,
}

/// A team as it is declared.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Content {
    quota: Resources,
    #[serde(default)]
    tokens: Vec<String>,
}

fn view(state: &State, team: &Team, principal: &Principal) -> View {
    let home = team.home.vm.and_then(|vm| state.vms.get(vm)).map(|vm| vm.info.name.clone());
    let tokens = if principal.team().is_none() { team.spec.tokens.clone() } else { Vec::new() };
    View { name: team.name.clone(), version: team.version, quota: team.spec.quota, tokens, home }
}

/// Lists the teams that the principal may see, in the order of names.
pub(crate) async fn list(api: Arc<Api>, call: Call) -> Answer {
    let limit = call.limit()?;
    let after = call.text("after").unwrap_or_default();
    let (position, mut teams) = api.node.with(|shared| {
        let state = &shared.state;
        let range = state.team_names.range::<str, _>((Bound::Excluded(after), Bound::Unbounded));
        let own = range.filter(|(name, _)| call.principal.is_over(name)).take(limit + 1);
        let teams: Vec<View> =
            own.map(|(_, &key)| view(state, &state.teams[key], &call.principal)).collect();
        (state.offset, teams)
    });
    let is_more = teams.len() > limit;
    teams.truncate(limit);
    let next = teams.last().filter(|_| is_more).map(|team| team.name.clone());
    let reply = Reply::new(Code::Done).with("position", position).with("next", next);
    Ok(reply.with("teams", teams))
}

/// Answers with one team.
pub(crate) async fn get(api: Arc<Api>, call: Call) -> Answer {
    call.principal.require_team(&call.name)?;
    api.node.with(|shared| {
        let state = &shared.state;
        let team = state.team(&call.name).ok_or(Code::NotFound)?;
        Ok(Reply::new(Code::Done)
            .with("position", state.offset)
            .with("team", view(state, team, &call.principal))
            .tagged(team.version))
    })
}

/// Creates or changes a team.
pub(crate) async fn put(api: Arc<Api>, call: Call) -> Answer {
    check_name("a team's name", &call.name)?;
    let expect = call.expected()?;
    let Content { quota, tokens } = call.content()?;
    check_tokens(&api, &call.name, &tokens)?;
    check_count(&api, &call.name)?;
    let spec = Some(TeamSpec { quota, tokens });
    let change = TeamChange { name: call.name.clone(), expect, spec };
    changes::make(&api, &call, Record::Team(change)).await
}

/// Removes a team.
pub(crate) async fn delete(api: Arc<Api>, call: Call) -> Answer {
    let expect = call.expected()?;
    let change = TeamChange { name: call.name.clone(), expect, spec: None };
    changes::make(&api, &call, Record::Team(change)).await
}

/// A digest must identify one principal.
fn check_tokens(api: &Api, name: &str, tokens: &[String]) -> Result<(), Fault> {
    let refuse = |reason: &str| Err(Fault::new(Code::OutOfRange, reason));
    if tokens.len() > MAX_TOKENS {
        return refuse(&format!("a team has at most {MAX_TOKENS} tokens"));
    }
    if !tokens.iter().all(|token| is_digest(token)) {
        return refuse("a token is given as its SHA-256 in 64 lowercase hexadecimal digits");
    }
    let own: BTreeSet<&String> = tokens.iter().collect();
    if own.len() < tokens.len() {
        return refuse("a token is given twice");
    }
    let is_taken = api.node.with(|shared| {
        let others = shared.state.teams.values().filter(|team| team.name != name);
        others.flat_map(|team| &team.spec.tokens).any(|token| own.contains(token))
    });
    if is_taken || api.operators.iter().any(|operator| own.contains(&operator.digest)) {
        return refuse("a token belongs to somebody else");
    }
    Ok(())
}

fn check_count(api: &Api, name: &str) -> Result<(), Fault> {
    let is_full = api
        .node
        .with(|shared| shared.state.team(name).is_none() && shared.state.teams.len() >= MAX_TEAMS);
    if is_full {
        return Err(Fault::new(Code::OutOfRange, format!("there are {MAX_TEAMS} teams already")));
    }
    Ok(())
}
