//! The behaviour of a task, parsed from its command text.
//!
//! ```
//! use coriandertack_standins::worker::Behaviour;
//!
//! let behaviour = Behaviour::parse("run_ms=200 use_millicores=300 use_mib=512 fail=0.1");
//! assert_eq!(behaviour.run_ms, Some(200));
//! assert_eq!(behaviour.use_mib, Some(512));
//! ```

/// What a task really does, which may differ from what its job declared.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Behaviour {
    /// Work in milliseconds at full speed. If it is `None`, the task runs until it is stopped.
    pub run_ms: Option<u64>,
    /// CPU demand in thousandths of a core. If it is `None`, the task uses its grant.
    pub use_millicores: Option<u32>,
    /// Memory that the task grows to, in MiB. If it is `None`, the task uses its grant.
    pub use_mib: Option<u32>,
    /// Probability that the task fails.
    pub fail: f64,
    /// Duration of one request in milliseconds, if the task is an instance of a service.
    pub work_ms: Option<u64>,
}

impl Behaviour {
    /// Parses `key=value` pairs separated by spaces. Other words are ignored, because a worker does
    /// not judge the commands of a team.
    #[must_use]
    pub fn parse(command: &str) -> Self {
        let mut behaviour = Self::default();
        for (key, value) in command.split_whitespace().filter_map(|word| word.split_once('=')) {
            match key {
                "run_ms" => behaviour.run_ms = value.parse().ok(),
                "use_millicores" => behaviour.use_millicores = value.parse().ok(),
                "use_mib" => behaviour.use_mib = value.parse().ok(),
                "fail" => behaviour.fail = value.parse().unwrap_or(0.0),
                "work_ms" => behaviour.work_ms = value.parse().ok(),
                _ => {}
            }
        }
        behaviour
    }
}
