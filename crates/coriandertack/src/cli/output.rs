//! Output of tables and JSON to standard output.

use std::io::{self, Write};

use {
    clap::ArgMatches,
    comfy_table::{ContentArrangement, Table, presets::NOTHING},
    serde_json::Value,
};

use crate::cli::{Failure, args};

/// Title of a table column and the JSON pointer of its value.
pub type Column = (&'static str, &'static str);

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Aligned text tables.
    Table,
    /// JSON for scripts.
    Json,
}

impl Output {
    /// Returns the format given by `--output`.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        if args::string_value(matches, "output") == Some("json") { Self::Json } else { Self::Table }
    }

    /// Prints objects as a table with the given columns, or as a JSON array.
    pub fn list(self, columns: &[Column], objects: &[Value]) -> Result<(), Failure> {
        match self {
            Self::Table => print(&table(columns, objects)),
            Self::Json => print(&pretty(&Value::Array(objects.to_vec()))),
        }
    }

    /// Prints one object as a table of key paths and values, or as JSON.
    pub fn object(self, object: &Value) -> Result<(), Failure> {
        match self {
            Self::Table => print(&key_value_table(object)),
            Self::Json => print(&pretty(object)),
        }
    }

    /// Prints the result of a change.
    pub fn change_result(self, name: &str, answer: &Value) -> Result<(), Failure> {
        match self {
            Self::Table => print(&format!("{name}: {}", answer["text"].as_str().unwrap_or("done"))),
            Self::Json => {
                let mut answer = answer.clone();
                answer["object"] = name.into();
                print(&answer.to_string())
            }
        }
    }
}

/// Prints text and a line break.
///
/// Unlike `println!`, it returns an error instead of a panic when the reader has closed the pipe.
pub fn print(text: &str) -> Result<(), Failure> {
    writeln!(io::stdout(), "{}", text.trim_end())?;
    Ok(())
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn table(columns: &[Column], objects: &[Value]) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(columns.iter().map(|(title, _)| *title));
    for object in objects {
        table.add_row(columns.iter().map(|(_, pointer)| cell(object.pointer(pointer))));
    }
    render(&mut table)
}

/// Formats a table without a margin and without wrapping, so that scripts can split its lines into columns.
fn render(table: &mut Table) -> String {
    table.set_content_arrangement(ContentArrangement::Disabled);
    table.column_iter_mut().for_each(|column| {
        column.set_padding((0, 2));
    });
    table.trim_fmt()
}

fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".into(),
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
    }
}

fn key_value_table(object: &Value) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    add_key_values(&mut table, "", object);
    render(&mut table)
}

fn add_key_values(table: &mut Table, path: &str, value: &Value) {
    let Value::Object(fields) = value else {
        table.add_row([path.to_owned(), cell(Some(value))]);
        return;
    };
    for (key, value) in fields {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        add_key_values(table, &path, value);
    }
}
