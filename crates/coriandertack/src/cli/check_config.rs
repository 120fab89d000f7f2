//! `check-config`: check of a configuration of the platform before it is published.
//!
//! Nothing that is printed contains a key of a team.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use {
    clap::ArgMatches,
    coriandertack_jobs::config_check::{self, Difference, Draft, Field, Finding, Severity},
    coriandertack_platform::{
        operator::{self, CONFIG_KEY, KeyMask},
        store::{Store, Topic},
    },
    serde_json::{Value, json},
    tokio::time::timeout,
};

use crate::cli::{
    Failure,
    output::{Output, print},
};

/// Exit code if there are warnings and no errors.
const WARNINGS: u8 = 1;

/// Exit code if there are errors.
const ERRORS: u8 = 2;

/// Exit code if the file or the version to compare with cannot be read.
const UNREADABLE: u8 = 3;

/// Time limit for reading the version in force, which has up to 8 MB. A store that does not respond at all is noticed within
/// a second.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Prints the findings on a configuration and its differences from another version.
pub fn check_config(matches: &ArgMatches) -> Result<(), Failure> {
    let path = matches.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let mut mask = KeyMask::default();
    let value = read_file(&path)?;
    mask.add(&value);
    let draft = operator::audit_config(&value);
    let former = former_version(matches, &mut mask)?;
    let findings = config_check::findings(&draft, former.as_ref());
    let comparable = former.filter(|_| draft.written.rejected.is_none());
    let differences =
        comparable.map(|old| (old.config.revision, config_check::differences(&old, &draft)));
    let file = path.display().to_string();
    let report = Report { file, revision: draft.config.revision, findings, differences };
    match Output::from_matches(matches) {
        Output::Table => print(&mask.apply(&report.text()))?,
        output @ Output::Json => output.object(&masked(report.json(), &mask))?,
    }
    match (report.count(Severity::Error), report.count(Severity::Warning)) {
        (0, 0) => Ok(()),
        (0, _) => Err(Failure::reported(WARNINGS)),
        _ => Err(Failure::reported(ERRORS)),
    }
}

/// Removes the keys from all texts of a value, before they are escaped.
fn masked(value: Value, mask: &KeyMask) -> Value {
    match value {
        Value::String(text) => Value::String(mask.apply(&text)),
        Value::Array(items) => items.into_iter().map(|item| masked(item, mask)).collect(),
        Value::Object(fields) => {
            fields.into_iter().map(|(name, field)| (name, masked(field, mask))).collect()
        }
        value => value,
    }
}

fn unreadable(message: String) -> Failure {
    Failure::new(UNREADABLE, message)
}

fn read_file(path: &PathBuf) -> Result<Vec<u8>, Failure> {
    let path_text = path.display();
    fs::read(path)
        .map_err(|error| unreadable(format!("cannot read {path_text}: {error}; check the path")))
}

/// Returns the version to compare with, if one is given.
fn former_version(matches: &ArgMatches, mask: &mut KeyMask) -> Result<Option<Draft>, Failure> {
    let (value, source) = if let Some(path) = matches.get_one::<PathBuf>("against") {
        (read_file(path)?, path.display().to_string())
    } else if let Some(&address) = matches.get_one::<SocketAddr>("in-force") {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        (runtime.block_on(version_in_force(address))?, format!("the store at {address}"))
    } else {
        return Ok(None);
    };
    mask.add(&value);
    let draft = operator::audit_config(&value);
    match &draft.written.rejected {
        Some(reason) => Err(unreadable(format!(
            "cannot compare with the version of {source}: {reason}; check that version first"
        ))),
        None => Ok(Some(draft)),
    }
}

/// Reads the configuration in force from the store.
async fn version_in_force(address: SocketAddr) -> Result<Vec<u8>, Failure> {
    let mut store = Store::new(address);
    let failure = |reason: &str| {
        unreadable(format!(
            "cannot read the version in force from the store at {address}: {reason}; check the address and try again"
        ))
    };
    let newest = match timeout(READ_TIMEOUT, store.newest(Topic::Operator)).await {
        Ok(Ok(newest)) => newest,
        Ok(Err(error)) => return Err(failure(&error.to_string())),
        Err(_) => return Err(failure(&format!("no response within {} s", READ_TIMEOUT.as_secs()))),
    };
    if newest.unreadable.iter().any(|key| key == CONFIG_KEY) {
        return Err(failure("its record is damaged"));
    }
    let record = newest.records.into_iter().find(|record| record.key == CONFIG_KEY);
    record
        .map(|record| record.value.to_vec())
        .ok_or_else(|| failure("the store has no configuration"))
}

/// Result of a check.
struct Report {
    file: String,
    /// Revision of the checked configuration.
    revision: u64,
    findings: Vec<Finding>,
    /// Revision of the version compared with, and the differences from it.
    differences: Option<(u64, Vec<Difference>)>,
}

impl Report {
    fn count(&self, severity: Severity) -> usize {
        self.findings.iter().filter(|finding| finding.problem.severity() == severity).count()
    }

    fn text(&self) -> String {
        let mut lines: Vec<String> = self.findings.iter().map(finding_line).collect();
        if let Some((former, differences)) = &self.differences {
            lines.extend(differences.iter().map(difference_line));
            let count = differences.len();
            let revision = self.revision;
            lines.push(format!("revision {revision} has {count} difference(s) from {former}"));
        }
        let (errors, warnings) = (self.count(Severity::Error), self.count(Severity::Warning));
        let file = &self.file;
        lines.push(if errors + warnings == 0 {
            format!("{file}: nothing found")
        } else {
            format!(
                "{file}: {errors} error(s), {warnings} warning(s); docs/RESULT-CODES.md describes the codes"
            )
        });
        lines.join("\n")
    }

    fn json(&self) -> Value {
        let findings: Vec<Value> = self.findings.iter().map(finding_json).collect();
        let mut report = json!({
            "file": self.file,
            "errors": self.count(Severity::Error),
            "warnings": self.count(Severity::Warning),
            "findings": findings,
        });
        if let Some((former, differences)) = &self.differences {
            let differences: Vec<Value> = differences.iter().map(difference_json).collect();
            report["against_revision"] = json!(former);
            report["differences"] = json!(differences);
        }
        report
    }
}

/// Returns a field's name in parentheses, or nothing.
fn in_parentheses(field: Option<Field>) -> String {
    field.map_or_else(String::new, |field| format!(" ({})", operator::field_name(field)))
}

fn finding_line(finding: &Finding) -> String {
    let Finding { entry, problem } = finding;
    let (severity, code, field) =
        (problem.severity(), problem.code(), in_parentheses(problem.field()));
    format!("{severity} {code} {entry}{field}: {problem}; {}", problem.action())
}

fn difference_line(difference: &Difference) -> String {
    let (entry, field) = (difference.entry(), in_parentheses(difference.field()));
    format!("difference {entry}{field}: {}", difference.change())
}

fn finding_json(finding: &Finding) -> Value {
    let problem = &finding.problem;
    json!({
        "code": problem.code(),
        "severity": problem.severity().to_string(),
        "entry": finding.entry.to_string(),
        "field": problem.field().map(operator::field_name),
        "text": problem.to_string(),
        "action": problem.action(),
    })
}

fn difference_json(difference: &Difference) -> Value {
    let mut value = json!({
        "entry": difference.entry().to_string(),
        "field": difference.field().map(operator::field_name),
        "text": difference.change().to_string(),
    });
    match difference.change() {
        config_check::Change::Value { old, new } => {
            value["old"] = json!(old);
            value["new"] = json!(new);
        }
        config_check::Change::Keys { added, removed } => {
            value["added"] = json!(added);
            value["removed"] = json!(removed);
        }
        config_check::Change::Added | config_check::Change::Removed => {}
    }
    value
}
