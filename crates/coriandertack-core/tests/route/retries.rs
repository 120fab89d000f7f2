use {
    coriandertack_core::{
        code::Code,
        routing::{
            dispatcher::{AttemptOutcome, NextAction, RequestInfo},
            retry_budget::RetryBudget,
        },
    },
    tokio::time::Instant,
};

use crate::support::{SERVICE, dispatcher, ms};

/// Guards against retries that multiply the load on a failing service.
#[test]
fn retries_stay_within_a_tenth() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!((1_000..=1_005).contains(&retries), "{retries} retries");
}

/// Guards against running a request twice that is not repeatable, and against a refusal that claims that a
/// request was not run after an attempt that may have run.
#[test]
fn only_safe_attempts_are_retried() {
    let outcomes = [AttemptOutcome::NotSent, AttemptOutcome::NotRun, AttemptOutcome::MayHaveRun];
    for repeatable in [false, true] {
        for outcome_sequence in 0..27 {
            let now = Instant::now();
            let mut dispatcher = dispatcher(4);
            let until = now + ms(60_000);
            let request_info = RequestInfo { service: SERVICE, class: "", until, repeatable };
            let request = dispatcher.admit(&request_info, now).expect("admitted");
            let mut may_have_run = false;
            let mut remaining = outcome_sequence;
            loop {
                let attempt = dispatcher.start_for(request, now).expect("a free slot");
                let outcome = outcomes[remaining % 3];
                remaining /= 3;
                assert!(
                    repeatable || !may_have_run,
                    "a request that is not repeatable was sent again after it may have run"
                );
                may_have_run |= outcome == AttemptOutcome::MayHaveRun;
                match dispatcher.end_attempt(attempt.request, outcome, now) {
                    NextAction::Retry => {}
                    NextAction::Respond => panic!("response without an answered attempt"),
                    NextAction::Refuse(code) => {
                        assert_eq!(code.guarantees_not_run(), !may_have_run, "{code}");
                        assert!(!may_have_run || repeatable || code == Code::OutcomeUnknown);
                        break;
                    }
                }
            }
        }
    }
}
