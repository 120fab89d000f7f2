//! Records of one stream.

use std::time::Duration;

use {bytes::Bytes, prost::Message, tokio::time::Instant};

use super::Kept;

/// A page as the protocol defines it. It is declared here because the stand-in shares no code with
/// the product.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Page {
    #[prost(uint64, tag = "1")]
    pub(super) earliest: u64,
    #[prost(uint64, tag = "2")]
    pub(super) tail: u64,
    #[prost(message, repeated, tag = "3")]
    pub(super) records: Vec<PageRecord>,
}

/// A record in a page.
#[derive(Clone, PartialEq, Message)]
pub(super) struct PageRecord {
    #[prost(uint64, tag = "1")]
    pub(super) offset: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub(super) body: Bytes,
}

/// A stream. Dropped records stay in memory, before `dropped`, for audits.
#[derive(Debug, Default)]
pub(super) struct Stream {
    all: Vec<Kept>,
    dropped: usize,
}

impl Stream {
    pub(super) fn append(&mut self, body: Bytes, client: &str, now: Instant) -> u64 {
        let offset = self.tail();
        self.all.push(Kept { offset, body, client: client.to_owned(), at: now });
        offset
    }

    pub(super) fn all(&self) -> &[Kept] {
        &self.all
    }

    pub(super) fn earliest(&self) -> u64 {
        self.dropped as u64 + 1
    }

    pub(super) fn tail(&self) -> u64 {
        self.all.len() as u64 + 1
    }

    /// Drops what is beyond the number of records, or older than the age.
    pub(super) fn retain(&mut self, records: usize, age: Duration, now: Instant) {
        let excess = self.all.len().saturating_sub(records);
        self.dropped = self.dropped.max(excess);
        let old = |kept: &Kept| now.duration_since(kept.at) > age;
        self.dropped += self.all[self.dropped..].partition_point(old);
    }

    /// Returns the records from `from` on, up to `max_bytes` but at least one if there is any.
    ///
    /// A page without records stands for an offset that is dropped or not reached yet.
    pub(super) fn page(&self, from: u64, max_bytes: usize) -> Page {
        let mut page = Page { earliest: self.earliest(), tail: self.tail(), records: Vec::new() };
        if from < page.earliest || from >= page.tail {
            return page;
        }
        let mut bytes = 0;
        for kept in &self.all[from as usize - 1..] {
            bytes += kept.body.len();
            if bytes > max_bytes && !page.records.is_empty() {
                break;
            }
            page.records.push(PageRecord { offset: kept.offset, body: kept.body.clone() });
        }
        page
    }
}
