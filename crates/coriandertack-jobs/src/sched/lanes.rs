//! Lanes: the VMs through which the leader asks for advice, one call at a time each.

use std::sync::Arc;

use super::{AdviceCall, Scheduler};

use crate::moment::Moment;

/// Time that a call may wait at a VM behind others, in milliseconds.
pub(super) const LANE_WAIT_MS: u64 = 60;

/// Share of the lanes that stays free for urgent calls, as a divisor. All others together would else hold every lane in a
/// burst, and an urgent job is late after some hundred milliseconds.
const URGENT_LANES_DIVISOR: usize = 4;

/// A VM through which the leader can ask for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lane {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// When its calls so far should be answered.
    pub free: Moment,
    /// Calls under way that are not urgent.
    pub regular: u32,
}

impl Scheduler {
    /// Replaces the VMs that can make calls for advice. Those that stay keep their load.
    pub fn set_lanes(&mut self, names: &[Arc<str>]) {
        self.lanes.retain(|lane| names.contains(&lane.vm));
        for name in names {
            if !self.lanes.iter().any(|lane| lane.vm == *name) {
                self.lanes.push(Lane { vm: name.clone(), free: Moment(0), regular: 0 });
            }
        }
    }

    /// Returns the position of the least loaded lane, or when one will be free.
    pub(super) fn free_lane(&self, urgent: bool, now: Moment) -> Result<usize, Option<Moment>> {
        let most = (self.lanes.len() - self.lanes.len() / URGENT_LANES_DIVISOR).max(1) as u32;
        if !urgent && self.regular_calls() >= most {
            return Err(Some(now.after(LANE_WAIT_MS)));
        }
        let least = self.lanes.iter().enumerate().min_by_key(|(_, lane)| lane.free);
        let Some((position, lane)) = least else { return Err(None) };
        if lane.free > now.after(LANE_WAIT_MS) {
            return Err(Some(lane.free));
        }
        Ok(position)
    }

    /// Takes the least loaded lane for a call of this cost.
    pub(super) fn take_lane(
        &mut self,
        cost_ms: u64,
        urgent: bool,
        now: Moment,
    ) -> Option<Arc<str>> {
        let position = self.free_lane(urgent, now).ok()?;
        let lane = self.lanes.get_mut(position)?;
        lane.free = lane.free.max(now).after(cost_ms);
        lane.regular += u32::from(!urgent);
        Some(lane.vm.clone())
    }

    /// Returns the number of calls under way that are not urgent.
    pub(super) fn regular_calls(&self) -> u32 {
        self.lanes.iter().map(|lane| lane.regular).sum()
    }

    /// Notes that a call has ended. After a failure the lane pauses for `pause_ms`.
    pub(super) fn release_lane(&mut self, call: &AdviceCall, pause_ms: Option<u64>, now: Moment) {
        if let Some(lane) = self.lanes.iter_mut().find(|lane| lane.vm == call.vm) {
            lane.regular = lane.regular.saturating_sub(u32::from(!call.urgent));
            if let Some(pause_ms) = pause_ms {
                lane.free = lane.free.max(now.after(pause_ms));
            }
        }
    }
}
