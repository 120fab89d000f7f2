//! How fast the bodies of responses are sent, as over a slow link.

use std::{convert::Infallible, time::Duration};

use {
    bytes::Bytes,
    derive_more::{Display, Error},
    futures::stream,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::Frame,
    tokio::time::sleep,
};

use super::{Shared, lock};

/// Number of parts that a second's bytes are sent in.
const PARTS_PER_S: usize = 20;

/// Speed and end of the bodies of responses. A change also takes effect on bodies that are being sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Number of bytes that are sent in a second; 0 for no limit.
    pub bytes_per_s: usize,
    /// Number of bytes after which the connection of the next longer body is closed, once; 0 to close none.
    pub cut_after: usize,
}

/// The connection is closed in the middle of a body.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the connection was cut")]
pub(crate) struct Cut;

/// Returns a body that is sent as `pace` has it.
pub(crate) fn body(pace: Shared<Pace>, content: Bytes) -> UnsyncBoxBody<Bytes, Cut> {
    let Pace { bytes_per_s, cut_after } = *lock(&pace);
    let is_cut = cut_after > 0 && content.len() > cut_after;
    if bytes_per_s == 0 && !is_cut {
        return Full::new(content).map_err(|never: Infallible| match never {}).boxed_unsync();
    }
    let mut rest = content;
    if is_cut {
        lock(&pace).cut_after = 0;
        rest.truncate(cut_after);
    }
    let parts = stream::unfold(Some(rest), move |rest| {
        let pace = pace.clone();
        async move {
            let mut rest = rest?;
            if rest.is_empty() {
                return is_cut.then_some((Err(Cut), None));
            }
            let rate = lock(&pace).bytes_per_s;
            let length = if rate == 0 { rest.len() } else { (rate / PARTS_PER_S).max(1) };
            let part = rest.split_to(length.min(rest.len()));
            if rate > 0 {
                sleep(Duration::from_secs(1) / PARTS_PER_S as u32).await;
            }
            Some((Ok(Frame::data(part)), Some(rest)))
        }
    });
    StreamBody::new(parts).boxed_unsync()
}
