//! Limits that follow from the resources in the settings of an entry VM.

use {
    coriandertackd::fleet::settings::{Settings, parse},
    expect_test::expect,
};

const REQUIRED: &str = r#"
[vm]
name = "split-1"
zone = "split"
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
link = "127.0.0.1:3"

[platform]
store = "127.0.0.1:4"
"#;

fn settings(limits: &str) -> Settings {
    parse(&format!("{REQUIRED}\n{limits}")).unwrap()
}

/// Guards against limits that do not follow from the memory and the descriptors, and against a VM that does not start
/// because the platform states neither or states them with a fraction.
#[test]
fn limits_follow_from_the_resources() {
    let all = [
        "",
        "[limits]",
        "[limits]\nmemory_mb = 120\nmax_fds = 3075",
        "[limits]\nmemory_mb = 120.5\nmax_fds = 3075.0",
        "[limits]\nmemory_mb = 512\nmax_fds = 10250",
        "[limits]\nmemory_mb = 512\nmax_fds = 1000",
        "[limits]\nmemory_mb = 1\nmax_fds = 100",
    ];
    let lines = all.map(|limits| {
        let settings = settings(limits);
        let (bytes, connections) = (settings.body_budget(), settings.max_connections());
        format!("{}: {bytes} bytes, {connections} connections\n", limits.replace('\n', " "))
    });
    expect![[r#"
        : 12582912 bytes, 1280 connections
        [limits]: 12582912 bytes, 1280 connections
        [limits] memory_mb = 120 max_fds = 3075: 12582912 bytes, 1280 connections
        [limits] memory_mb = 120.5 max_fds = 3075.0: 12635340 bytes, 1285 connections
        [limits] memory_mb = 512 max_fds = 10250: 53687091 bytes, 3000 connections
        [limits] memory_mb = 512 max_fds = 1000: 53687091 bytes, 600 connections
        [limits] memory_mb = 1 max_fds = 100: 104857 bytes, 16 connections
    "#]]
    .assert_eq(&lines.concat());
}

/// Guards against a tolerance that the scheduler cannot use, and against a default that is strict.
#[test]
fn share_tolerance_is_at_least_one() {
    assert_eq!(settings("").teams.share_tolerance, 4.0);
    assert_eq!(settings("[teams]\nshare_tolerance = 1").teams.share_tolerance, 1.0);
    for text in ["0.9", "-1", "nan", "inf"] {
        let text = format!("{REQUIRED}\n[teams]\nshare_tolerance = {text}");
        assert!(parse(&text).is_err(), "{text}");
    }
}

/// Guards against a limit of the settings that is lower than what the resources allow and has no effect.
#[test]
fn the_maximum_of_connections_is_kept() {
    let text = REQUIRED.replace("zone =", "connections = 40\nzone =");
    assert_eq!(parse(&text).unwrap().max_connections(), 40);
}

/// Guards against resources that leave no limit in effect.
#[test]
fn impossible_resources_are_rejected() {
    for limits in ["memory_mb = 0", "memory_mb = -1", "max_fds = 0", "max_fds = nan"] {
        let parsed = parse(&format!("{REQUIRED}\n[limits]\n{limits}"));
        assert!(format!("{:#}", parsed.unwrap_err()).contains("must be above 0"), "{limits}");
    }
}

/// Guards against a bound at the door that differs from the store's, and against a VM that starts with none.
#[test]
fn append_limits_follow_from_the_settings() {
    let limits = |text: &str| {
        let limits = parse(&format!("{REQUIRED}{text}")).unwrap().platform.append_limits();
        (limits.record_bytes, limits.call_bytes)
    };
    assert_eq!(limits(""), (262_144, 2_097_152));
    assert_eq!(limits("max_record_bytes = 1000\nmax_call_bytes = 9000.0"), (1_000, 9_000));
    for text in ["max_record_bytes = 0", "max_call_bytes = -1", "max_call_bytes = nan"] {
        assert!(parse(&format!("{REQUIRED}{text}")).is_err(), "{text}");
    }
}
