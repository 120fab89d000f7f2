use {
    coriandertack_core::{
        code::Code,
        routing::request_length::{MIN_SHORT_PERCENT, max_long_slots},
    },
    tokio::time::Instant,
};

use crate::support::{admit, complete_request, dispatcher, ms, start_all};

/// Guards against long requests that take every slot of a service.
#[test]
fn stragglers_leave_slots_for_short_requests() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    for _ in 0..20 {
        complete_request(&mut dispatcher, "question", ms(5), now);
    }
    // The second class has no measurements at first, and is known to be long after one response.
    for class_known in [false, true] {
        if class_known {
            complete_request(&mut dispatcher, "settlement", ms(500), now);
        }
        let until = now + ms(3_600_000);
        let queued: Vec<_> = (0..100)
            .filter_map(|_| admit(&mut dispatcher, "settlement", until, now).ok())
            .collect();
        let started = start_all(&mut dispatcher, now);
        assert!(started.len() <= 12, "long requests took {} of 16 slots", started.len());
        assert!(!started.is_empty());
        let short = admit(&mut dispatcher, "question", now + ms(10), now).expect("admitted");
        assert_eq!(dispatcher.start_for(short, now).map(|attempt| attempt.request), Some(short));
        for request in queued {
            dispatcher.abandon(request, Code::NoUpstream);
        }
        dispatcher.abandon(short, Code::NoUpstream);
    }
}

/// Guards against a limit that leaves long or short requests without a slot.
#[test]
fn long_and_short_requests_have_a_slot() {
    for slots in 2..500 {
        for peak in [0.0, 1.0, 10.0, 1e9] {
            for min_percent in [0, MIN_SHORT_PERCENT, 50, 90] {
                let long_slots = max_long_slots(slots, peak, min_percent);
                assert!(
                    long_slots >= 1,
                    "no slot for long requests of {slots} slots, {min_percent}% reserved"
                );
                assert!(
                    long_slots < slots || (min_percent == 0 && peak == 0.0),
                    "no slot reserved: {long_slots} of {slots} for long requests"
                );
            }
        }
    }
    assert_eq!(max_long_slots(1, 5.0, MIN_SHORT_PERCENT), 1);
}
