//! Guards against wrong declarations that overcommit workers, and against unbounded memory use of the profiles.

use std::sync::Arc;

use {
    coriandertack_core::{
        class_profiles::{AttemptEnd, ClassProfiles},
        code::Code,
        feasibility::{check_job, fits_any},
        message::{AttemptSpec, EndCause},
        pool::{GrantPhase, Weights},
        record::{JobSpec, Kind},
        resources::Resources,
        state::State,
    },
    proptest::prelude::*,
};

use crate::support::{Fleet, PLAIN, spec};

const DECLARED: Resources = Resources::new(8_000, 16_384, 0);

fn class(name: &str) -> Arc<str> {
    name.into()
}

fn end(cause: EndCause, run_ms: u64, peak: Resources, grant: Resources) -> AttemptEnd {
    AttemptEnd { cause, run_ms, peak, grant }
}

/// Returns class profiles that recorded `count` successes of the class `a.b`.
fn profiles_after(count: u32, peak: Resources, run_ms: u64) -> ClassProfiles {
    let mut profiles = ClassProfiles::default();
    profiles.set_capacities([PLAIN]);
    for _ in 0..count {
        let sample = end(EndCause::Succeeded, run_ms, peak, DECLARED);
        profiles.record_end(&class("a.b"), &sample);
    }
    profiles
}

#[test]
fn oversized_declaration_shrinks_to_the_peaks_plus_a_margin() {
    let profiles = profiles_after(50, Resources::new(1_000, 1_000, 0), 10);
    let grant = profiles.recommended_grant("a.b", DECLARED);
    assert!((1_200..=1_220).contains(&grant.millicores), "{grant}");
    assert!((1_200..=1_220).contains(&grant.memory_mib), "{grant}");
    assert_eq!(profiles.recommended_grant("a.other", DECLARED), DECLARED);
}

#[test]
fn too_few_samples_keep_the_declaration() {
    let profiles = profiles_after(4, Resources::new(1_000, 1_000, 0), 10);
    assert_eq!(profiles.recommended_grant("a.b", DECLARED), DECLARED);
    assert_eq!(profiles.expected_run_ms("a.b", 7_000), 7_000);
}

#[test]
fn grants_stay_between_the_minimum_and_the_declaration() {
    let idle = profiles_after(50, Resources::ZERO, 10);
    assert_eq!(idle.recommended_grant("a.b", DECLARED), Resources::new(100, 64, 0));
    let greedy = profiles_after(50, Resources::new(60_000, 60_000, 0), 10);
    assert_eq!(greedy.recommended_grant("a.b", DECLARED), DECLARED);
    let accelerated = Resources { accelerators: 2, ..DECLARED };
    assert_eq!(idle.recommended_grant("a.b", accelerated).accelerators, 2);
}

#[test]
fn out_of_memory_raises_the_next_grant_up_to_the_largest_worker() {
    let mut profiles = ClassProfiles::default();
    profiles.set_capacities([PLAIN]);
    let mut grant = Resources::new(1_000, 4_096, 0);
    let declared = grant;
    for expected in [8_192, 16_384, 32_768, 32_768] {
        profiles.record_end(&class("a.b"), &end(EndCause::OutOfMemory, 10, grant, grant));
        grant = profiles.recommended_grant("a.b", declared);
        assert_eq!(grant, Resources { memory_mib: expected, ..declared });
    }
}

#[test]
fn changed_class_is_learned_again() {
    let mut profiles = profiles_after(600, Resources::new(4_000, 4_000, 0), 60_000);
    for _ in 0..4_000 {
        let sample = end(EndCause::Succeeded, 10, Resources::new(500, 500, 0), DECLARED);
        profiles.record_end(&class("a.b"), &sample);
    }
    assert!(profiles.recommended_grant("a.b", DECLARED).millicores < 700);
    assert_eq!(profiles.expected_run_ms("a.b", 0), 10);
    assert!(profiles.is_short("a.b"));
}

#[test]
fn stragglers_make_a_class_long() {
    let mut profiles = profiles_after(80, Resources::ZERO, 10);
    assert!(profiles.is_short("a.b"));
    assert!(!profiles.is_short("a.unknown"));
    for _ in 0..20 {
        profiles.record_end(&class("a.b"), &end(EndCause::Succeeded, 60_000, PLAIN, PLAIN));
    }
    assert!(!profiles.is_short("a.b"));
}

#[test]
fn run_times_beyond_the_initial_histogram_range_are_recorded() {
    let profiles = profiles_after(10, Resources::ZERO, 86_400_000);
    let expected = profiles.expected_run_ms("a.b", 0);
    assert!((86_400_000..87_400_000).contains(&expected), "{expected}");
}

#[test]
fn least_recently_used_class_is_evicted() {
    let mut profiles = ClassProfiles::default();
    let sample = end(EndCause::Succeeded, 10, Resources::ZERO, DECLARED);
    for _ in 0..5 {
        profiles.record_end(&class("a.old"), &sample);
    }
    for at in 0..5_000 {
        profiles.record_end(&class(&format!("a.{at}")), &sample);
        if at < 4_000 {
            profiles.record_end(&class("a.used"), &sample);
        }
    }
    assert_eq!(profiles.class_count(), 1_024);
    assert_eq!(profiles.expected_run_ms("a.old", 77), 77);
    assert_eq!(profiles.expected_run_ms("a.used", 77), 10);
}

proptest! {
    #[test]
    fn wrong_declarations_never_overcommit(
        tasks in prop::collection::vec((1_u32..40_000, 1_u32..80_000, 1_u32..40_000, 1_u32..80_000), 1..200),
    ) {
        let mut fleet = Fleet::new(Weights::VUKIC);
        for _ in 0..4 {
            fleet.add_worker("z0", "r0", PLAIN);
        }
        let mut profiles = ClassProfiles::default();
        profiles.set_capacities([PLAIN]);
        for (job, (cores, memory, used_cores, used_memory)) in (1..).zip(tasks) {
            let declared = Resources::new(cores, memory, 0);
            let grant = profiles.recommended_grant("team.work", declared);
            prop_assert!(grant.fits(declared.max(PLAIN)));
            let spec: AttemptSpec = spec(job, Kind::Batch, grant);
            let placed = fleet.pool.place(&spec, GrantPhase::Running).is_ok();
            prop_assert!(fleet.pool.workers().all(|(_, worker)| worker.granted.fits(worker.capacity)));
            if !placed || job % 3 == 0 {
                fleet.pool.release(spec.lease);
                // The worker enforces the grant, so a higher demand appears as a peak equal to the grant.
                let peak = Resources::new(used_cores.min(grant.millicores), used_memory.min(grant.memory_mib), 0);
                let cause = if used_memory > grant.memory_mib { EndCause::OutOfMemory } else { EndCause::Succeeded };
                profiles.record_end(&spec.class, &end(cause, 10, peak, grant));
            }
        }
    }
}

#[test]
fn work_that_fits_no_worker_is_infeasible() {
    let large = Resources::new(16_001, 1_024, 0);
    assert!(!fits_any([PLAIN, PLAIN], large, Kind::Batch, 1));
    assert!(fits_any([PLAIN, PLAIN], PLAIN, Kind::Batch, 1_000));
    assert!(fits_any([PLAIN, PLAIN], Resources::new(8_000, 1_024, 0), Kind::Gang, 4));
    assert!(!fits_any([PLAIN, PLAIN], Resources::new(8_000, 1_024, 0), Kind::Gang, 5));
    // The combined capacity would hold 3 tasks, but neither worker holds 2 of them.
    assert!(!fits_any([PLAIN, PLAIN], Resources::new(9_000, 1_024, 0), Kind::Gang, 3));
    assert!(!fits_any([PLAIN], Resources::new(1_000, 1_024, 1), Kind::Service, 1));
}

#[test]
fn empty_worker_table_rejects_no_job() {
    let spec = JobSpec {
        team: "a".into(),
        name: "b".into(),
        kind: Kind::Gang,
        tasks: u32::MAX,
        need: Resources::new(u32::MAX, u32::MAX, u32::MAX),
        run_ms: 0,
        urgent: false,
        retries: 0,
        command: String::new(),
        key: None,
    };
    assert_eq!(check_job(&State::default(), &spec), Ok::<(), Code>(()));
}
