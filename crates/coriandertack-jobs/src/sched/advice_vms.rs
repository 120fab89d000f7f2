//! The VMs through which the leader makes advice calls, each one call at a time.

use std::sync::Arc;

use super::{AdviceCall, Scheduler};

use crate::boot_time::BootTime;

/// Maximum time that a call may queue at a VM behind others, in milliseconds.
pub(super) const MAX_ADVICE_QUEUE_MS: u64 = 60;

/// Divisor for the share of advice VMs that is kept free for urgent calls.
///
/// Without it, a burst of regular calls would occupy every VM, and an urgent job is late after a
/// few hundred milliseconds.
const RESERVED_VMS_DIVISOR: usize = 4;

/// A VM through which the leader can make advice calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceVm {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// When the calls assigned so far are expected to be answered.
    pub free_at: BootTime,
    /// Number of calls in progress that are not urgent.
    pub regular_calls: u32,
}

impl Scheduler {
    /// Replaces the set of advice VMs. VMs that remain in the set keep their load.
    pub fn set_advice_vms(&mut self, names: &[Arc<str>]) {
        self.advice_vms.retain(|advice_vm| names.contains(&advice_vm.vm));
        for name in names {
            if !self.advice_vms.iter().any(|advice_vm| advice_vm.vm == *name) {
                self.advice_vms.push(AdviceVm {
                    vm: name.clone(),
                    free_at: BootTime(0),
                    regular_calls: 0,
                });
            }
        }
    }

    /// Returns the index of the least loaded advice VM, or when one should be free if none can take
    /// the call now. `Err(None)` means that there is no advice VM.
    pub(super) fn free_advice_vm(
        &self,
        urgent: bool,
        now: BootTime,
    ) -> Result<usize, Option<BootTime>> {
        let max_regular =
            (self.advice_vms.len() - self.advice_vms.len() / RESERVED_VMS_DIVISOR).max(1) as u32;
        if !urgent && self.regular_calls() >= max_regular {
            return Err(Some(now.plus_ms(MAX_ADVICE_QUEUE_MS)));
        }
        let least_loaded =
            self.advice_vms.iter().enumerate().min_by_key(|(_, advice_vm)| advice_vm.free_at);
        let Some((position, advice_vm)) = least_loaded else { return Err(None) };
        if advice_vm.free_at > now.plus_ms(MAX_ADVICE_QUEUE_MS) {
            return Err(Some(advice_vm.free_at));
        }
        Ok(position)
    }

    /// Assigns a call of the given duration to the least loaded advice VM and returns its name.
    pub(super) fn take_advice_vm(
        &mut self,
        cost_ms: u64,
        urgent: bool,
        now: BootTime,
    ) -> Option<Arc<str>> {
        let position = self.free_advice_vm(urgent, now).ok()?;
        let advice_vm = self.advice_vms.get_mut(position)?;
        advice_vm.free_at = advice_vm.free_at.max(now).plus_ms(cost_ms);
        advice_vm.regular_calls += u32::from(!urgent);
        Some(advice_vm.vm.clone())
    }

    /// Returns the number of calls in progress that are not urgent.
    pub(super) fn regular_calls(&self) -> u32 {
        self.advice_vms.iter().map(|advice_vm| advice_vm.regular_calls).sum()
    }

    /// Records that a call has ended. After a failure the VM gets no call for `pause_ms`
    /// milliseconds.
    pub(super) fn release_advice_vm(
        &mut self,
        call: &AdviceCall,
        pause_ms: Option<u64>,
        now: BootTime,
    ) {
        if let Some(advice_vm) =
            self.advice_vms.iter_mut().find(|advice_vm| advice_vm.vm == call.vm)
        {
            advice_vm.regular_calls =
                advice_vm.regular_calls.saturating_sub(u32::from(!call.urgent));
            if let Some(pause_ms) = pause_ms {
                advice_vm.free_at = advice_vm.free_at.max(now.plus_ms(pause_ms));
            }
        }
    }
}
