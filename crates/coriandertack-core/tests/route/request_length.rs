use {
    coriandertack_core::{
        code::Code,
        routing::request_length::{MIN_SHORT_PERCENT, max_long_slots},
    },
    tokio::time::Instant,
};

use crate::support::{dispatcher, ms, request_info, start_all, teach};

/// Guards against stragglers that take every slot of a service.
#[test]
fn stragglers_leave_slots_for_short_work() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    for _ in 0..20 {
        teach(&mut dispatcher, "question", ms(5), now);
    }
    // The second class is unknown at first and learned to be long after one answer.
    for class_known in [false, true] {
        if class_known {
            teach(&mut dispatcher, "settlement", ms(500), now);
        }
        let until = now + ms(3_600_000);
        let queued: Vec<_> = (0..100)
            .filter_map(|_| request_info(&mut dispatcher, "settlement", until, now).ok())
            .collect();
        let started = start_all(&mut dispatcher, now);
        assert!(started.len() <= 12, "{} of 16 slots", started.len());
        assert!(!started.is_empty());
        let short = request_info(&mut dispatcher, "question", now + ms(10), now).expect("admitted");
        assert_eq!(dispatcher.start_for(short, now).map(|attempt| attempt.request), Some(short));
        for request in queued {
            dispatcher.abandon(request, Code::NoUpstream);
        }
        dispatcher.abandon(short, Code::NoUpstream);
    }
}

/// Guards against a limit that leaves either lane without a slot.
#[test]
fn both_lanes_have_a_slot() {
    for slots in 2..500 {
        for peak in [0.0, 1.0, 10.0, 1e9] {
            for least in [0, MIN_SHORT_PERCENT, 50, 90] {
                let long = max_long_slots(slots, peak, least);
                assert!(long >= 1, "{slots} slots, {least}% kept");
                assert!(long < slots || (least == 0 && peak == 0.0), "{long} of {slots}");
            }
        }
    }
    assert_eq!(max_long_slots(1, 5.0, MIN_SHORT_PERCENT), 1);
}
