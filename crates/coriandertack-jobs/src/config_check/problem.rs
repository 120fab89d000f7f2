//! What can be wrong with a configuration, with the code, the severity and the remedy of each problem.

use std::sync::Arc;

use derive_more::Display;

use super::{Entry, Field};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Severity {
    /// The configuration works, but probably not as intended.
    #[display("warning")]
    Warning,
    /// Some part of the configuration cannot work.
    #[display("error")]
    Error,
}

/// Something that is wrong with an entry.
#[derive(Clone, Debug, PartialEq, Display)]
#[display("{entry}: {problem}")]
pub struct Finding {
    /// Entry that has to be changed.
    pub entry: Entry,
    /// What is wrong with it.
    pub problem: Problem,
}

macro_rules! problems {
    ($(
        #[doc = $doc:literal]
        $name:ident $({ $($part:ident: $type:ty),* })? = $code:literal, $severity:ident, $field:expr, $text:literal, $action:literal;
    )*) => {
        /// A problem of an entry. The meaning of a number never changes; docs/RESULT-CODES.md lists
        /// them.
        #[derive(Clone, Debug, PartialEq, Display)]
        #[expect(missing_docs, reason = "the parts are those that the text names")]
        pub enum Problem {
            $(
                #[doc = $doc]
                #[display($text)]
                $name $({ $($part: $type),* })?,
            )*
        }

        impl Problem {
            /// Code and severity of all problems, in ascending order of the codes.
            pub const ALL: &[(&str, Severity)] = &[$(($code, Severity::$severity),)*];

            /// Returns the code, which scripts can rely on.
            #[must_use]
            pub const fn code(&self) -> &'static str {
                match self {
                    $(Self::$name { .. } => $code,)*
                }
            }

            /// Returns the severity.
            #[must_use]
            pub const fn severity(&self) -> Severity {
                match self {
                    $(Self::$name { .. } => Severity::$severity,)*
                }
            }

            /// Returns the field to change, if it is a single one.
            #[must_use]
            pub fn field(&self) -> Option<Field> {
                match self {
                    $(#[allow(unused_variables)] Self::$name $({ $($part),* })? => $field,)*
                }
            }

            /// Returns what the operator can do.
            #[must_use]
            pub const fn action(&self) -> &'static str {
                match self {
                    $(Self::$name { .. } => $action,)*
                }
            }
        }
    };
}

problems! {
    /// The decoder rejects the configuration, so VMs keep the version that they have.
    Rejected { reason: String } = "C101", Error, None,
        "no VM can read it: {reason}", "correct the file";
    /// The decoder cannot read an entry.
    Unreadable { reason: String } = "C102", Error, None,
        "the entry cannot be read: {reason}", "correct the entry";
    /// Two entries of a list have the same name.
    DuplicateName = "C103", Error, Some(Field::Name),
        "an earlier entry has the same name", "rename or remove one of them";
    /// Two teams hold the same key.
    SharedKey { other: Arc<str>, count: usize } = "C104", Error, Some(Field::Keys),
        "{count} key(s) are also held by team {other}, which is listed first and gets the jobs",
        "give each team keys of its own";
    /// An entry has an empty name.
    EmptyName = "C105", Error, Some(Field::Name),
        "the name is empty", "give the entry a name";
    /// The entry has a field that the platform does not define.
    UnknownField { name: String } = "C106", Warning, None,
        "the field {name} is not known and has no effect", "correct its spelling or remove it";
    /// No request can carry a key.
    UnusableKeys { count: usize } = "C107", Error, Some(Field::Keys),
        "{count} key(s) are empty, or have blanks at an end or control characters, so that no request can carry them",
        "replace these keys";
    /// A team lists a key twice.
    RepeatedKeys { count: usize } = "C108", Warning, Some(Field::Keys),
        "{count} key(s) are listed more than once",
        "remove the repetitions; removing one of them does not revoke the key";
    /// VMs take revision 0 for the absence of a configuration.
    NoRevision = "C109", Error, Some(Field::Revision),
        "the revision is 0, which no VM puts in force", "use a revision above the one in force";
    /// Another route of the same host and prefix is chosen for every request.
    ShadowedRoute { by: Arc<str> } = "C201", Error, Some(Field::Prefix),
        "no request reaches it: route {by} is listed later with the same host and prefix",
        "remove one of them or change its prefix";
    /// The service of a route does not exist.
    UnknownService { service: Arc<str> } = "C202", Error, Some(Field::Service),
        "the service \"{service}\" is not configured, so its jobs would wait for ever",
        "add the service or correct its name";
    /// No request names the host of a route.
    UnreachableHost { host: Arc<str> } = "C203", Error, Some(Field::Host),
        "no request matches the host \"{host}\"", "give a host name without a port or path";
    /// No request path has the prefix of a route.
    UnreachablePrefix { prefix: Arc<str> } = "C204", Error, Some(Field::Prefix),
        "no request path matches the prefix \"{prefix}\"",
        "begin it with `/` and use only characters that are not escaped in a path";
    /// A longer prefix takes the requests of some job IDs.
    DividedRoute { by: Arc<str>, digits: String } = "C205", Error, Some(Field::Prefix),
        "requests for jobs whose ID begins with {digits} reach route {by} and are refused",
        "continue the longer prefix with a character that is not a hexadecimal digit";
    /// No route uses a service that is in operation.
    UnusedService = "C206", Warning, None,
        "no route uses it, so its workers get no tasks", "add a route or remove the service";
    /// Keys are needed, but there are no teams.
    NoTeams { routes: usize } = "C207", Warning, Some(Field::Teams),
        "the list of teams is empty, so all calls on {routes} route(s) are refused with 401",
        "add a team, or leave the list out to need no keys";
    /// A team has no share when the workers are full.
    NoWeight { weight: f64 } = "C301", Error, Some(Field::Weight),
        "the weight is {weight}, which gives the team no share while the workers are full",
        "set a weight above 0";
    /// A cap excludes every useful task.
    CapFitsNothing { part: Field, cap: u32, least: u32, unit: &'static str } = "C302", Error, Some(*part),
        "a cap of {cap} {unit} fits no task; the smallest useful task needs {least}",
        "raise the cap, or set 0 for no limit";
    /// A cap is below one core.
    CapBelowCore { cap: u32 } = "C303", Warning, Some(Field::CapMillicores),
        "the cap of {cap} is less than one core", "check the unit: the cap is in thousandths of a core";
    /// No job can be in time, since its objective ends before the advice for it arrives.
    ShortObjective { objective_ms: u64, call_ms: u64 } = "C304", Error, Some(Field::SloMs),
        "a job has {objective_ms} ms for the call for advice, which alone takes {call_ms} ms",
        "raise the fixed part or the factor of the objective";
    /// Slow heads of requests are cut off by the shorter limit on idle connections.
    HeaderAboveIdle { header_ms: u64, idle_ms: u64 } = "C305", Error, Some(Field::HeaderMs),
        "the time for a request head, {header_ms} ms, is longer than that for an idle connection, {idle_ms} ms",
        "lower the first or raise the second";
    /// The longest payload does not fit into a request body.
    SmallBodies { limit: usize, need: usize } = "C306", Error, Some(Field::BodyBytes),
        "a body of {limit} bytes cannot hold the longest payload, which needs {need}",
        "raise the limit";
    /// A time limit of zero closes each connection.
    NoTime { limit: Field } = "C307", Error, Some(*limit),
        "a time limit of 0 ms closes every connection", "set a time above 0";
    /// Tickets expire before they can be used.
    ShortTickets { validity_ms: u64, least_ms: u64 } = "C308", Error, Some(Field::ValidityMs),
        "a ticket valid for {validity_ms} ms is never used; starts need more than {least_ms} ms",
        "raise the validity, or remove the advice";
    /// No caller can use a team.
    NoKeys = "C309", Warning, Some(Field::Keys),
        "the team has no key, so it can submit nothing", "add a key or remove the team";
    /// Some keys are easy to guess.
    ShortKeys { count: usize, least: usize } = "C310", Warning, Some(Field::Keys),
        "{count} key(s) are shorter than {least} characters", "replace them by longer random ones";
    /// The transfer to some VMs takes a large part of the time in which the version has to be in force.
    LargeConfig { bytes: usize, transfer_ms: usize } = "C311", Warning, None,
        "its {bytes} bytes take {transfer_ms} ms to reach a VM with a link of 10 Mbit/s, which refuses requests if it has not read them in time",
        "remove routes that are not used";
    /// No VM can read the configuration.
    TooLarge { bytes: usize, limit: usize } = "C312", Error, None,
        "its {bytes} bytes exceed the {limit} that a VM reads when it starts",
        "remove routes that are not used";
    /// VMs ignore a version that is not newer than theirs.
    OldRevision { revision: u64, in_force: u64 } = "C401", Error, Some(Field::Revision),
        "revision {revision} is not above {in_force}, so VMs would ignore it",
        "use a revision above the one in force";
}
