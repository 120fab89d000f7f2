use {
    coriandertack_core::{
        code::Code,
        route::{
            budget::Budget,
            dispatch::{Ending, Offer, Step},
        },
    },
    tokio::time::Instant,
};

use crate::support::{SERVICE, dispatch, ms};

/// Guards against retries that multiply the load on a service that fails.
#[test]
fn retries_stay_within_a_tenth() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!((1_000..=1_005).contains(&retries), "{retries} retries");
}

/// Guards against a second run of a request that is not repeatable, and against a refusal that
/// promises that a request was not run after an attempt that may have run.
#[test]
fn only_safe_attempts_are_followed_by_another() {
    let endings = [Ending::NotSent, Ending::NotRun, Ending::MayHaveRun];
    for repeatable in [false, true] {
        for sequence in 0..27 {
            let now = Instant::now();
            let mut dispatch = dispatch(4);
            let until = now + ms(60_000);
            let offer = Offer { service: SERVICE, class: "", until, repeatable };
            let request = dispatch.offer(&offer, now).expect("admitted");
            let mut tainted = false;
            let mut rest = sequence;
            loop {
                let start = dispatch.start_for(request, now).expect("a free slot");
                let ending = endings[rest % 3];
                rest /= 3;
                assert!(repeatable || !tainted, "sent again after it may have run");
                tainted |= ending == Ending::MayHaveRun;
                match dispatch.end(start.request, ending, now) {
                    Step::Again => {}
                    Step::Answer => panic!("there was no answer"),
                    Step::Refuse(code) => {
                        assert_eq!(code.is_not_run(), !tainted, "{code}");
                        assert!(!tainted || repeatable || code == Code::OutcomeUnknown);
                        break;
                    }
                }
            }
        }
    }
}
