//! Log lines: one line of `key=value` pairs for each event.
//!
//! The level can change while the process runs. It comes from the settings file, unless the live
//! setting `log.level` is set ([`follow`]).

use std::{io, sync::Arc};

use {
    coriandertack_core::node::Node,
    coriandertack_operators::settings_schema,
    fern::Dispatch,
    jiff::Timestamp,
    log::{Level, LevelFilter, Metadata, Record},
};

/// Prefix of the targets of this system's packages.
const OWN: &str = "coriandertack";

/// Writes log lines to standard error from now on.
///
/// # Errors
///
/// Fails if the process has a logger already.
pub fn init(level: LevelFilter) -> anyhow::Result<()> {
    dispatch().chain(io::stderr()).apply()?;
    set_level(level);
    Ok(())
}

/// Returns the form and the filter of the log lines, without a place to write them to.
pub fn dispatch() -> Dispatch {
    // The level in force is that of `log::set_max_level`, so that it can change.
    Dispatch::new().level(LevelFilter::Trace).filter(is_wanted).format(|out, message, record| {
        out.finish(format_args!("{}", line(Timestamp::now(), &message.to_string(), record)));
    })
}

/// Libraries say too much below warnings.
fn is_wanted(metadata: &Metadata<'_>) -> bool {
    metadata.target().starts_with(OWN) || metadata.level() <= Level::Warn
}

/// Returns one line. A line break in a message would begin another event, so it is escaped.
#[must_use]
pub fn line(at: Timestamp, message: &str, record: &Record<'_>) -> String {
    let level = record.level().as_str().to_ascii_lowercase();
    let message = message.replace('\n', "\\n").replace('\r', "\\r");
    format!("time={at:.3} level={level} target={} {message}", record.target())
}

/// Changes the level.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

/// Follows the live setting `log.level` for as long as the process runs.
pub async fn follow(node: Arc<Node>, configured: LevelFilter) {
    let mut applied = node.applied_offset.subscribe();
    let mut current = configured;
    loop {
        applied.borrow_and_update();
        let live = node.with(|shared| settings_schema::level(&shared.state));
        let wanted = live.and_then(|level| level.parse().ok()).unwrap_or(configured);
        if wanted != current {
            set_level(wanted);
            log::info!("event=log_level_changed from={current} to={wanted}");
            current = wanted;
        }
        if applied.changed().await.is_err() {
            return;
        }
    }
}
