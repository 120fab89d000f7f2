//! Logging: one line of `key=value` pairs for each event.
//!
//! The level can change at run time. It is the one of the settings file unless the live setting
//! `log.level` overrides it ([`follow_level`]).

use std::{io, sync::Arc};

use {
    coriandertack_core::node::Node,
    coriandertack_operators::settings_schema,
    fern::Dispatch,
    jiff::Timestamp,
    log::{Level, LevelFilter, Metadata, Record},
};

/// Prefix of the log targets of all packages of this workspace.
const TARGET_PREFIX: &str = "coriandertack";

/// Installs a logger that writes to standard error.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn init(level: LevelFilter) -> anyhow::Result<()> {
    log_dispatch().chain(io::stderr()).apply()?;
    set_level(level);
    Ok(())
}

/// Returns the format and the filter of log lines. The caller chains an output to it.
pub fn log_dispatch() -> Dispatch {
    // The level is enforced by `log::set_max_level`, because a `Dispatch` cannot change its level once applied.
    Dispatch::new().level(LevelFilter::Trace).filter(is_wanted).format(|out, message, record| {
        out.finish(format_args!("{}", format_line(Timestamp::now(), &message.to_string(), record)));
    })
}

/// Drops lines of third-party crates below the level of warnings, which are too many to be useful.
fn is_wanted(metadata: &Metadata<'_>) -> bool {
    metadata.target().starts_with(TARGET_PREFIX) || metadata.level() <= Level::Warn
}

/// Formats one log line. Line breaks in the message are escaped, because a reader would take the rest for a new event.
#[must_use]
pub fn format_line(at: Timestamp, message: &str, record: &Record<'_>) -> String {
    let level = record.level().as_str().to_ascii_lowercase();
    let message = message.replace('\n', "\\n").replace('\r', "\\r");
    format!("time={at:.3} level={level} target={} {message}", record.target())
}

/// Sets the least severe level that is logged, in effect at once.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

/// Applies the live setting `log.level` whenever it changes. While it is unset or invalid, `configured` is in effect.
pub async fn follow_level(node: Arc<Node>, configured: LevelFilter) {
    let mut applied = node.applied_offset.subscribe();
    let mut current = configured;
    loop {
        applied.borrow_and_update();
        let live = node.with(|shared| settings_schema::level(&shared.state));
        let level = live.and_then(|text| text.parse().ok()).unwrap_or(configured);
        if level != current {
            set_level(level);
            log::info!("event=log_level_changed from={current} to={level}");
            current = level;
        }
        if applied.changed().await.is_err() {
            return;
        }
    }
}
