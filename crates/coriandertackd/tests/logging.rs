//! The format of log lines, and changes of the level at run time.

use std::sync::Arc;

use {
    coriandertack_core::{
        keys::{Incarnation, Offset},
        node::Node,
        record::{Batch, Entry, Record, SettingChange, VmInfo},
    },
    coriandertackd::logging::{follow_level, format_line},
    expect_test::expect,
    jiff::Timestamp,
    log::{Level, LevelFilter},
};

/// Guards against a line break in a message, after which the rest would be read as another event.
#[test]
fn line_breaks_in_messages_are_escaped() {
    let record = log::Record::builder().level(Level::Warn).target("coriandertack_log").build();
    let line =
        format_line(Timestamp::UNIX_EPOCH, "event=append_failed reason=a\nlevel=error\r", &record);
    expect![[r#"time=1970-01-01T00:00:00.000Z level=warn target=coriandertack_log event=append_failed reason=a\nlevel=error\r"#]]
        .assert_eq(&line);
}

/// Guards against a live level that does not take effect, or that remains in effect after the setting is removed or
/// invalid.
#[tokio::test]
async fn the_level_follows_the_live_setting() {
    let info = VmInfo {
        name: "split-1".into(),
        zone: "split".into(),
        link: "127.0.0.1:7001".parse().unwrap(),
        http: "127.0.0.1:7002".parse().unwrap(),
    };
    let (node, _submissions) = Node::new(info.clone(), Incarnation(1));
    let task = tokio::spawn(follow_level(Arc::clone(&node), LevelFilter::Info));
    let mut offset = Offset(0);
    let mut apply = |record| {
        offset = offset.next();
        let entry = Entry { actor: "ana".into(), at_ms: 0, record };
        let batch = Batch { author: Incarnation(1), seq: offset.0, entries: vec![entry] };
        node.apply(offset, &batch);
    };
    apply(Record::Join(info));
    let set = |expect: u64, value: Option<&str>| {
        Record::Setting(SettingChange {
            name: "log.level".into(),
            expect: expect.into(),
            value: value.map(str::to_owned),
        })
    };
    let steps = [
        (set(0, Some("\"debug\"")), LevelFilter::Debug),
        (set(1, Some("\"error\"")), LevelFilter::Error),
        (set(2, Some("\"loud\"")), LevelFilter::Info),
        (set(3, Some("\"trace\"")), LevelFilter::Trace),
        (set(4, None), LevelFilter::Info),
    ];
    for (record, expected) in steps {
        apply(record);
        while log::max_level() != expected {
            tokio::task::yield_now().await;
        }
    }
    task.abort();
}
