//! Tests that the API documents match the code.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use {
    coriandertack_core::code::Code,
    coriandertack_operators::{
        routes::ENDPOINTS,
        settings_schema::{ALL, ValueType},
    },
    serde_json::Value,
};

fn document(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns a line for each route with the properties that the OpenAPI description must have.
fn described_routes(document: &Value) -> BTreeSet<String> {
    let mut lines = BTreeSet::new();
    for (path, operations) in document["paths"].as_object().unwrap() {
        for (method, operation) in operations.as_object().unwrap() {
            let parameters = operation["parameters"].as_array().unwrap();
            let names = |place: &str| {
                let named = parameters.iter().filter(|parameter| parameter["in"] == place);
                let names: Vec<&str> =
                    named.map(|parameter| parameter["name"].as_str().unwrap()).collect();
                names.join(",")
            };
            assert!(path.contains('{') != names("path").is_empty(), "{path}");
            lines.insert(format!(
                "{} {path} {} operator_only={} query={}",
                method.to_uppercase(),
                operation["operationId"].as_str().unwrap(),
                operation["x-operator-only"],
                names("query"),
            ));
        }
    }
    lines
}

/// Guards against a route, parameter or access rule that differs from the OpenAPI description.
#[test]
fn openapi_description_matches_routes() {
    let document: Value = serde_json::from_str(&document("openapi.json")).unwrap();
    let routes: BTreeSet<String> = ENDPOINTS
        .iter()
        .map(|endpoint| {
            format!(
                "{} {} {} operator_only={} query={}",
                endpoint.method,
                endpoint.path,
                endpoint.operation,
                endpoint.operator_only,
                endpoint.query.join(","),
            )
        })
        .collect();
    assert_eq!(routes.len(), ENDPOINTS.len());
    assert_eq!(described_routes(&document), routes);
}

/// Guards against a reference to a missing schema in the OpenAPI description.
#[test]
fn openapi_references_resolve() {
    let text = document("openapi.json");
    let document: Value = serde_json::from_str(&text).unwrap();
    let mut count = 0;
    for part in text.split("\"$ref\": \"#").skip(1) {
        let pointer = part.split('"').next().unwrap();
        assert!(document.pointer(pointer).is_some(), "{pointer}");
        count += 1;
    }
    assert!(count > 20);
}

/// Guards against result codes that the page lacks or describes differently.
#[test]
fn result_code_page_matches_codes() {
    let page = document("RESULT-CODES.md");
    let rows = page.lines().filter(|line| {
        line.strip_prefix("| ").is_some_and(|row| row.starts_with(|c: char| c.is_ascii_digit()))
    });
    let listed: Vec<[String; 4]> = rows
        .map(|row| {
            let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 6, "{row}");
            assert!(cells.iter().all(|cell| !cell.is_empty()), "{row}");
            [cells[0].into(), cells[1].into(), cells[2].into(), cells[3].into()]
        })
        .collect();
    let expected: Vec<[String; 4]> = Code::ALL
        .iter()
        .map(|code| {
            let not_run = if code.guarantees_not_run() { "yes" } else { "no" };
            [
                code.number().to_string(),
                code.http_status().to_string(),
                code.text().into(),
                not_run.into(),
            ]
        })
        .collect();
    assert_eq!(listed, expected);
}

/// Guards against a live setting that the page lacks, or whose range or default it gives wrongly.
#[test]
fn operations_page_matches_live_settings() {
    let page = document("OPERATIONS.md");
    let section = page.split("## Live settings").nth(1).unwrap().split("\n## ").next().unwrap();
    let listed: Vec<&str> = section.lines().filter(|line| line.starts_with("| `")).collect();
    assert_eq!(listed.len(), ALL.len());
    for (row, schema) in listed.into_iter().zip(ALL) {
        let values = match schema.value_type {
            ValueType::Number(low, high) => format!("{low} to {high}"),
            ValueType::Integer(low, high) => format!("{low} to {high}"),
            ValueType::Choice(words) => {
                format!("`\"{}\"` to `\"{}\"`", words[0], words[words.len() - 1])
            }
        };
        let default = if schema.default.is_empty() { "settings file" } else { schema.default };
        let start = format!("| `{}` | {values} | {default} |", schema.name);
        assert!(row.starts_with(&start), "{row}\ndoes not start with\n{start}");
    }
}

/// Returns the event names of the warnings and errors logged in a source file.
fn alarm_events(source: &str) -> Vec<String> {
    let calls = source.split("log::").skip(1);
    let severe = calls.filter(|call| call.starts_with("warn!(") || call.starts_with("error!("));
    let events = severe.filter_map(|call| call.split_once("\"event=").map(|(_, event)| event));
    let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
    events.map(|event| event.chars().take_while(|&c| is_name(c)).collect()).collect()
}

/// Directories whose code does not log on an entry VM: the stand-ins, the command line with its benchmarks,
/// and tests.
const EXCLUDED_DIRS: [&str; 4] = ["coriandertack-standins", "coriandertack", "tests", "benches"];

/// Adds the source files of the entry VM below a directory to `found`.
fn collect_sources(path: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(path).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        if path.is_dir() && !EXCLUDED_DIRS.contains(&name) {
            collect_sources(&path, found);
        } else if name.ends_with(".rs") {
            found.push(path);
        }
    }
}

/// Guards against a warning or error event without an entry in the operations page.
#[test]
fn operations_page_lists_every_alarm() {
    let page = document("OPERATIONS.md");
    let table = page.split("## Alarms").nth(1).unwrap();
    let mut files = Vec::new();
    collect_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join(".."), &mut files);
    let mut count = 0;
    for file in files {
        for event in alarm_events(&fs::read_to_string(&file).unwrap()) {
            assert!(table.contains(&format!("`{event}`")), "{event} of {}", file.display());
            count += 1;
        }
    }
    assert!(count >= 2);
}
