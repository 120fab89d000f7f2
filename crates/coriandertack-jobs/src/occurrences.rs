//! Sets of occurrences of a recurring job.

use std::ops::Range;

/// A set of occurrences by their numbers.
///
/// It takes the space of its gaps, not of its members: any number of occurrences may end behind one that is blocked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OccurrenceSet {
    /// Ranges that neither overlap nor touch, in ascending order.
    ranges: Vec<Range<u32>>,
}

impl OccurrenceSet {
    /// Adds an occurrence.
    pub fn insert(&mut self, number: u32) {
        self.insert_range(number..number + 1);
    }

    /// Adds the occurrences of a range.
    pub fn insert_range(&mut self, range: Range<u32>) {
        if range.is_empty() {
            return;
        }
        let first = self.ranges.partition_point(|known| known.end < range.start);
        let last = self.ranges.partition_point(|known| known.start <= range.end);
        let joined = self.ranges[first..last]
            .iter()
            .fold(range, |all, known| all.start.min(known.start)..all.end.max(known.end));
        self.ranges.splice(first..last, [joined]);
    }

    /// Removes all occurrences before `number`.
    pub fn remove_before(&mut self, number: u32) {
        self.ranges.retain_mut(|range| {
            range.start = range.start.max(number);
            range.start < range.end
        });
    }

    /// Returns the first number from `number` on that is not in the set.
    #[must_use]
    pub fn next_gap(&self, number: u32) -> u32 {
        let range = self.ranges.get(self.ranges.partition_point(|known| known.end <= number));
        range.filter(|range| range.contains(&number)).map_or(number, |range| range.end)
    }

    /// Returns true if the set contains an occurrence.
    #[must_use]
    pub fn contains(&self, number: u32) -> bool {
        self.next_gap(number) != number
    }

    /// Returns true if the set is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the number of occurrences.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ranges.iter().map(Range::len).sum()
    }

    /// Returns the ranges that the set consists of, in ascending order.
    #[must_use]
    pub fn ranges(&self) -> &[Range<u32>] {
        &self.ranges
    }
}

impl FromIterator<Range<u32>> for OccurrenceSet {
    fn from_iter<I: IntoIterator<Item = Range<u32>>>(ranges: I) -> Self {
        let mut set = Self::default();
        ranges.into_iter().for_each(|range| set.insert_range(range));
        set
    }
}
