//! Whether requests are answered by a configuration that may be out of date.

use coriandertack_jobs::{
    boot_time::BootTime,
    config_age::{ConfigAge, Verdict},
};

const BOUND_MS: u64 = 3_000;

fn current_at(ms: u64) -> ConfigAge {
    let mut age = ConfigAge::default();
    age.record_current(BootTime(ms), BOUND_MS);
    age
}

/// Guards against requests that are answered by an older version after the bound, while the transfer of a newer one
/// takes long.
#[test]
fn known_newer_version_is_not_ignored_beyond_the_bound() {
    let mut age = current_at(10_000);
    age.record_newer(BootTime(10_500));
    assert_eq!(age.verdict(BootTime(12_000)), Verdict::Use);
    assert_eq!(age.verdict(BootTime(13_000)), Verdict::Refuse { since: BootTime(10_500) });
    // A try that is cut off, and the next one, do not make the newer version any newer.
    age.record_newer(BootTime(13_100));
    assert_eq!(age.verdict(BootTime(13_200)), Verdict::Refuse { since: BootTime(10_500) });
    age.record_current(BootTime(13_300), BOUND_MS);
    assert_eq!(age.verdict(BootTime(13_400)), Verdict::Use);
}

/// Guards against a VM that refuses all requests for as long as the store does not answer it.
#[test]
fn version_is_kept_while_the_store_is_silent() {
    let mut age = current_at(10_000);
    for began in (11_000..20_000).step_by(700) {
        age.record_silence(BootTime(began));
        assert_eq!(age.verdict(BootTime(began + 700)), Verdict::Use);
    }
    // The store fell silent in the middle of a newer version.
    age.record_newer(BootTime(20_000));
    age.record_silence(BootTime(20_000));
    assert_eq!(age.verdict(BootTime(20_500)), Verdict::Use);
}

/// Guards against a process that was suspended and answers by a version from before.
#[test]
fn suspended_process_waits_for_an_attempt() {
    let mut age = current_at(10_000);
    assert_eq!(age.verdict(BootTime(15_000)), Verdict::Wait);
    age.record_newer(BootTime(15_010));
    assert_eq!(age.verdict(BootTime(15_020)), Verdict::Refuse { since: BootTime(15_010) });
}
