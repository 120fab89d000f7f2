//! Tables and JSON on standard output.

use std::io::{self, Write};

use {
    clap::ArgMatches,
    comfy_table::{ContentArrangement, Table, presets::NOTHING},
    serde_json::Value,
};

use crate::cli::{Failure, args};

/// A column: its title, and the JSON pointer of its content.
pub type Column = (&'static str, &'static str);

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    Table,
    /// JSON for programs.
    Json,
}

impl Output {
    /// Returns the form that the command line asks for.
    pub fn of(matches: &ArgMatches) -> Self {
        if args::text(matches, "output") == Some("json") { Self::Json } else { Self::Table }
    }

    /// Prints objects: as a table with these columns, or as a JSON list.
    pub fn list(self, columns: &[Column], objects: &[Value]) -> Result<(), Failure> {
        match self {
            Self::Table => print(&table(columns, objects)),
            Self::Json => print(&pretty(&Value::Array(objects.to_vec()))),
        }
    }

    /// Prints one object: as pairs of key and value, or as JSON.
    pub fn object(self, object: &Value) -> Result<(), Failure> {
        match self {
            Self::Table => print(&pairs(object)),
            Self::Json => print(&pretty(object)),
        }
    }

    /// Prints what a change came to.
    pub fn change(self, what: &str, answer: &Value) -> Result<(), Failure> {
        match self {
            Self::Table => print(&format!("{what}: {}", answer["text"].as_str().unwrap_or("done"))),
            Self::Json => {
                let mut answer = answer.clone();
                answer["object"] = what.into();
                print(&answer.to_string())
            }
        }
    }
}

/// Prints text and a line break. A reader that has gone is not an error worth a panic.
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
        table.add_row(columns.iter().map(|(_, at)| cell(object.pointer(at))));
    }
    plain(&mut table)
}

/// Returns the lines without a margin, and without wrapping, so that scripts can cut them.
fn plain(table: &mut Table) -> String {
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

fn pairs(object: &Value) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    add_pairs(&mut table, "", object);
    plain(&mut table)
}

fn add_pairs(table: &mut Table, path: &str, value: &Value) {
    let Value::Object(fields) = value else {
        table.add_row([path.to_owned(), cell(Some(value))]);
        return;
    };
    for (key, value) in fields {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        add_pairs(table, &path, value);
    }
}
