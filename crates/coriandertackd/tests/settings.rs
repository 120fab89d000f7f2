//! Settings files: the deployments of this repository, selection of a VM, and every kind of fault.

use {
    coriandertackd::{
        args,
        settings::{self, Deployment, check, parse},
    },
    expect_test::{Expect, expect},
    std::time::Duration,
};

fn path(name: &str) -> String {
    format!("{}/../../settings/{name}.toml", env!("CARGO_MANIFEST_DIR"))
}

fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap()
}

/// Applies a change to a valid file and compares the faults with the expected ones.
fn expect_faults(change: impl Fn(&str) -> String, expected: &Expect) {
    let good = text("vukic");
    let changed = change(&good);
    assert_ne!(changed, good, "the change had no effect on the file; adapt its pattern");
    let faults = parse("f.toml", &changed).expect_err("faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    expected.assert_eq(&(lines.join("\n") + "\n"));
}

fn replaced(from: &'static str, to: &'static str) -> impl Fn(&str) -> String {
    move |good| good.replacen(from, to, 1)
}

fn appended(end: &'static str) -> impl Fn(&str) -> String {
    move |good| format!("{good}\n{end}\n")
}

/// Guards against a settings file in the repository that does not load, or that describes another cluster size.
#[test]
fn deployment_files_are_valid() {
    for (name, zones, rack) in [("vukic", 3, 8), ("agency", 4, 6)] {
        assert_eq!(check(path(name)), []);
        let deployment = settings::read(path(name)).unwrap();
        let mut found: Vec<&str> = deployment.vms.iter().map(|vm| vm.zone.as_str()).collect();
        found.dedup();
        assert_eq!((deployment.vms.len(), found.len()), (8, zones), "{name}");
        let demo = deployment.demo.as_ref().unwrap();
        assert!(demo.racks.iter().all(|one| one.workers == rack), "{name}");
        assert_eq!(demo.worker_count(), 48, "{name}");
        assert_eq!((demo.capacity.millicores, demo.capacity.memory_mib), (16_000, 32_768));
    }
}

/// Guards against a deployment that runs with another preset, and against an override that resets other weights.
#[test]
fn weights_come_from_the_preset_unless_overridden() {
    let weights = |text: &str| parse("f.toml", text).unwrap().common.weights;
    let (vukic, agency) = (weights(&text("vukic")), weights(&text("agency")));
    assert!(vukic.placement.packing < agency.placement.packing);
    let changed = weights(&format!("{}\n[weights]\npacking_weight = 1\n", text("vukic")));
    assert!((changed.placement.packing - 1.0).abs() < f64::EPSILON);
    assert!((changed.short_share - vukic.short_share).abs() < f64::EPSILON);
}

/// Guards against a process that runs as the wrong VM, or guesses when the choice is ambiguous.
#[test]
fn select_finds_the_vm_of_the_process() {
    let deployment = settings::read(path("vukic")).unwrap();
    assert_eq!(deployment.select(Some("zadar-2")).unwrap().vm.zone, "zadar");
    let fault = |deployment: &Deployment, name| deployment.select(name).unwrap_err().reason;
    expect!["the file has several VMs; select one with --vm: split-1, split-2, split-3, zadar-1, zadar-2, zadar-3, dubrovnik-1, dubrovnik-2"]
        .assert_eq(&fault(&deployment, None));
    assert!(fault(&deployment, Some("rome-1")).starts_with("no [[vm]] is named `rome-1`"));
    let named = format!("vm_name = \"zadar-1\"\n{}", text("vukic"));
    let named = parse("f.toml", &named).unwrap();
    assert_eq!(named.select(None).unwrap().vm.name, "zadar-1");
    assert_eq!(named.select(Some("split-1")).unwrap().vm.name, "split-1");
    let mut single = deployment;
    single.vms.truncate(1);
    assert_eq!(single.select(None).unwrap().vm.name, "split-1");
}

/// Guards against defaults that differ from the values written in the settings files.
#[test]
fn omitted_keys_have_their_defaults() {
    let shorter = text("vukic")
        .replace("drain_limit_s = 30", "")
        .replace("poll_interval_ms = 1000", "")
        .replace("heartbeat_interval_ms = 500", "")
        .replace("[logging]\nlevel = \"info\"", "");
    let (full, shorter) =
        (parse("f.toml", &text("vukic")).unwrap(), parse("f.toml", &shorter).unwrap());
    assert_eq!(full, shorter);
    assert_eq!(full.common.drain_limit, Duration::from_secs(30));
}

/// Guards against treating an unreadable file as an empty one.
#[test]
fn a_missing_file_is_a_fault() {
    let faults = check("/nonexistent/f.toml");
    assert_eq!(faults.len(), 1);
    assert_eq!((faults[0].file.as_str(), faults[0].key.as_str()), ("/nonexistent/f.toml", "-"));
}

/// Guards against misspelt keys that are silently ignored.
#[test]
fn unknown_keys_are_faults_in_every_table() {
    expect_faults(
        |good| {
            good.replacen("drain_limit_s", "drain_limits_s", 1)
                .replacen("poll_interval_ms", "poll_interval", 1)
                .replacen("[link]", "[link]\nsecret = 1", 1)
                .replacen("[logging]", "[logging]\nfile = \"x\"", 1)
                .replacen("[[operators]]", "[[operators]]\nrole = \"x\"", 1)
                .replacen("zone = \"zadar\"", "zone = \"zadar\"\nregion = \"x\"", 1)
                .replacen("[demo]", "[demo]\nseed = 1", 1)
                .replacen("workers = 8", "workers = 8\ncolour = 1", 1)
                + "\n[weights]\npacking = 0.5\n[tuning]\nx = 1\n"
        },
        &expect![[r#"
            f.toml: weights.packing: unknown key; correct its spelling or remove it
            f.toml: vm_list.poll_interval: unknown key; correct its spelling or remove it
            f.toml: link.secret: unknown key; correct its spelling or remove it
            f.toml: logging.file: unknown key; correct its spelling or remove it
            f.toml: operators[0].role: unknown key; correct its spelling or remove it
            f.toml: vm[3].region: unknown key; correct its spelling or remove it
            f.toml: demo.racks[0].colour: unknown key; correct its spelling or remove it
            f.toml: demo.seed: unknown key; correct its spelling or remove it
            f.toml: drain_limits_s: unknown key; correct its spelling or remove it
            f.toml: tuning: unknown key; correct its spelling or remove it
        "#]],
    );
}

/// Guards against accepting values outside their bounds.
#[test]
fn values_out_of_range_are_faults() {
    expect_faults(
        |good| {
            good.replacen("drain_limit_s = 30", "drain_limit_s = 0", 1)
                .replacen("poll_interval_ms = 1000", "poll_interval_ms = 99999", 1)
                .replacen("heartbeat_interval_ms = 500", "heartbeat_interval_ms = -1", 1)
                .replacen("level = \"info\"", "level = \"loud\"", 1)
                .replacen("worker_slots = 8", "worker_slots = 0", 1)
                .replacen("workers = 8", "workers = 65", 1)
                .replacen("stream = \"vukic-control\"", "stream = \"a b\"", 1)
                + "\n[weights]\npacking_weight = 10.5\nshort_share = 1.0\n"
        },
        &expect![[r#"
            f.toml: weights.packing_weight: must be a number from 0 to 10, but is 10.5
            f.toml: weights.short_share: must be a number from 0 to 0.9, but is 1.0
            f.toml: log.stream: must be 1 to 63 ASCII letters, digits, `-`, `_` or `.`, but is `a b`
            f.toml: vm_list.poll_interval_ms: must be an integer from 100 to 10000, but is 99999
            f.toml: link.heartbeat_interval_ms: must be an integer from 50 to 600, but is -1
            f.toml: logging.level: must be one of: error, warn, info, debug, trace, but is `loud`
            f.toml: drain_limit_s: must be an integer from 1 to 600, but is 0
            f.toml: demo.worker_slots: must be an integer from 1 to 1024, but is 0
            f.toml: demo.racks[0].workers: must be an integer from 1 to 64, but is 65
        "#]],
    );
}

/// Guards against accepting values of the wrong type.
#[test]
fn values_of_the_wrong_type_are_faults() {
    expect_faults(
        |good| {
            good.replacen("deployment = \"vukic\"", "deployment = 1", 1)
                .replacen("drain_limit_s = 30", "drain_limit_s = \"30\"", 1)
                .replacen("[log]\naddress", "log = 1\n[logs]\naddress", 1)
                .replacen("link = \"127.0.0.1:21101\"", "link = 21101", 1)
        },
        &expect![[r#"
            f.toml: deployment: must be a string
            f.toml: log: must be a table
            f.toml: drain_limit_s: must be an integer from 1 to 600, but is "30"
            f.toml: vm[0].link: must be a string
            f.toml: logs: unknown key; correct its spelling or remove it
        "#]],
    );
}

/// Guards against addresses without a port, or that other VMs cannot connect to.
#[test]
fn invalid_addresses_are_faults() {
    expect_faults(
        |good| {
            good.replacen("127.0.0.1:21000", "localhost:21000", 1)
                .replacen("127.0.0.1:21001", "127.0.0.1", 1)
                .replacen("127.0.0.1:21101", "127.0.0.1:0", 1)
                .replacen("127.0.0.1:21201", "0.0.0.0:21201", 1)
                .replacen("127.0.0.1:21102", "127.0.0.1:99999", 1)
                .replacen("127.0.0.1:21202", "224.0.0.1:21202", 1)
        },
        &expect![[r#"
            f.toml: log.address: must be an address of the form IP:PORT, but is `localhost:21000`
            f.toml: vm_list.address: must be an address of the form IP:PORT, but is `127.0.0.1`
            f.toml: vm[0].link: must have a port from 1 to 65535, but is `127.0.0.1:0`
            f.toml: vm[0].http: must be the unicast address of an interface, but is `0.0.0.0:21201`
            f.toml: vm[1].link: must be an address of the form IP:PORT, but is `127.0.0.1:99999`
            f.toml: vm[1].http: must be the unicast address of an interface, but is `224.0.0.1:21202`
        "#]],
    );
}

/// Guards against VMs, operators or racks that cannot be told apart.
#[test]
fn duplicate_names_addresses_and_tokens_are_faults() {
    expect_faults(
        |good| {
            let operator =
                good.split("[[operators]]").nth(1).unwrap().split("[[vm]]").next().unwrap();
            let doubled = format!("[[operators]]{operator}");
            good.replacen("name = \"split-2\"", "name = \"split-1\"", 1)
                .replacen("127.0.0.1:21103", "127.0.0.1:21101", 1)
                .replacen("127.0.0.1:21203", "127.0.0.1:21101", 1)
                .replacen("name = \"split-r2\"", "name = \"split-r1\"", 1)
                .replacen(&doubled, &format!("{doubled}{doubled}"), 1)
        },
        &expect![[r#"
            f.toml: operators[1].name: another operator has this name; names must be unique
            f.toml: operators[1].token_sha256: another operator has this token; tokens must be unique
            f.toml: vm[1].name: another VM has this name; names must be unique
            f.toml: vm[2].link: address already in use by a VM of this file; addresses must be unique
            f.toml: vm[2].http: address already in use by a VM of this file; addresses must be unique
            f.toml: demo.racks[1].name: zone `split` has two racks named `split-r1`; rename one
        "#]],
    );
}

/// Guards against secrets that are short or not hexadecimal.
#[test]
fn malformed_secrets_are_faults() {
    expect_faults(
        |good| {
            let line = |start: &str| good.lines().find(|line| line.starts_with(start)).unwrap();
            good.replacen(line("key ="), "key = \"abc\"", 1).replacen(
                line("token_sha256 ="),
                "token_sha256 = \"XYZ\"",
                1,
            )
        },
        &expect![[r#"
            f.toml: link.key: must be 64 hexadecimal digits; generate a random key of 32 bytes
            f.toml: operators[0].token_sha256: must be 64 lowercase hexadecimal digits, the SHA-256 digest of the token
        "#]],
    );
}

/// Guards against accepting a file without its required keys.
#[test]
fn missing_keys_are_faults() {
    let faults =
        parse("f.toml", "vm_name = \"a\"\n[[vm]]\n[log]\n[vm_list]\n[link]\n").unwrap_err();
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    expect![[r#"
        f.toml: deployment: required key is missing
        f.toml: log.address: required key is missing
        f.toml: log.stream: required key is missing
        f.toml: vm_list.address: required key is missing
        f.toml: link.key: required key is missing
        f.toml: operators: must have 1 to 64 [[operators]] sections, but has 0
        f.toml: vm[0].name: required key is missing
        f.toml: vm[0].zone: required key is missing
        f.toml: vm[0].link: required key is missing
        f.toml: vm[0].http: required key is missing"#]]
    .assert_eq(&lines.join("\n"));
}

/// Guards against simulated workers in a zone without a VM.
#[test]
fn a_rack_in_a_zone_without_vm_is_a_fault() {
    expect_faults(
        replaced("zone = \"split\"\nworkers", "zone = \"rome\"\nworkers"),
        &expect![[r#"
            f.toml: demo.racks[0].zone: no [[vm]] is in zone `rome`; use the zone of a [[vm]]
        "#]],
    );
}

/// Guards against a duplicate key whose first or second value is ignored, and against syntax errors without a line.
#[test]
fn duplicate_keys_and_syntax_errors_name_their_line() {
    expect_faults(
        replaced("drain_limit_s = 30", "drain_limit_s = 30\ndrain_limit_s = 31"),
        &expect![[r#"
            f.toml: drain_limit_s: line 15: duplicate key
        "#]],
    );
    expect_faults(
        appended("[log]"),
        &expect![[r#"
        f.toml: log: line 122: duplicate key
    "#]],
    );
    expect_faults(
        appended("x = "),
        &expect![[r#"
            f.toml: line 122: string values must be quoted, expected literal string
        "#]],
    );
}

/// Guards against a link key that is disclosed by a log line or a panic message.
#[test]
fn debug_output_hides_the_link_key() {
    let deployment = settings::read(path("vukic")).unwrap();
    assert!(format!("{deployment:?}").contains("key: LinkKey,"));
}

/// Guards against command line arguments that have no effect on the settings.
#[test]
fn the_command_line_selects_the_file_and_the_vm() {
    let read = |vm: &[&str]| {
        let path = path("agency");
        let line = ["coriandertackd", "--settings", &path].into_iter().chain(vm.iter().copied());
        args::read_settings(&args::command().try_get_matches_from(line).unwrap())
    };
    assert_eq!(read(&["--vm", "thies-2"]).unwrap().vm.zone, "thies");
    assert_eq!(read(&["--vm", "split-1"]).unwrap_err()[0].key, "vm");
    assert_eq!(read(&[]).unwrap_err().len(), 1);
}
