//! The records of one stream and their retention.

use std::time::Duration;

use {bytes::Bytes, prost::Message, tokio::time::Instant};

use super::StoredRecord;

/// A page of records, as the protocol defines it. The stand-in declares the message itself because
/// it shares no code with the product.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Page {
    /// Lowest offset that the stream retains.
    #[prost(uint64, tag = "1")]
    pub(super) earliest: u64,
    /// Offset of the next append.
    #[prost(uint64, tag = "2")]
    pub(super) tail: u64,
    #[prost(message, repeated, tag = "3")]
    pub(super) records: Vec<PageRecord>,
}

/// A record of a [`Page`].
#[derive(Clone, PartialEq, Message)]
pub(super) struct PageRecord {
    #[prost(uint64, tag = "1")]
    pub(super) offset: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub(super) body: Bytes,
}

/// A stream. The first `expired` records are no longer served, but stay in memory for audits.
#[derive(Debug, Default)]
pub(super) struct Stream {
    records: Vec<StoredRecord>,
    expired: usize,
}

impl Stream {
    pub(super) fn append(&mut self, body: Bytes, client: &str, now: Instant) -> u64 {
        let offset = self.tail();
        self.records.push(StoredRecord { offset, body, client: client.to_owned(), at: now });
        offset
    }

    pub(super) fn records(&self) -> &[StoredRecord] {
        &self.records
    }

    pub(super) fn earliest(&self) -> u64 {
        self.expired as u64 + 1
    }

    pub(super) fn tail(&self) -> u64 {
        self.records.len() as u64 + 1
    }

    /// Drops the oldest records beyond `max_records`, and records older than `max_age`.
    pub(super) fn enforce_retention(
        &mut self,
        max_records: usize,
        max_age: Duration,
        now: Instant,
    ) {
        let excess = self.records.len().saturating_sub(max_records);
        self.expired = self.expired.max(excess);
        let is_expired = |record: &StoredRecord| now.duration_since(record.at) > max_age;
        self.expired += self.records[self.expired..].partition_point(is_expired);
    }

    /// Returns the records from offset `from` on, up to `max_bytes` but at least one if there is any.
    ///
    /// The page has no records if the offset has been dropped or has not been written yet.
    pub(super) fn page(&self, from: u64, max_bytes: usize) -> Page {
        let mut page = Page { earliest: self.earliest(), tail: self.tail(), records: Vec::new() };
        if from < page.earliest || from >= page.tail {
            return page;
        }
        let mut bytes = 0;
        for record in &self.records[from as usize - 1..] {
            bytes += record.body.len();
            if bytes > max_bytes && !page.records.is_empty() {
                break;
            }
            page.records.push(PageRecord { offset: record.offset, body: record.body.clone() });
        }
        page
    }
}
