//! Advice VMs: the VMs through which the leader asks for advice, one call at a time each.

use std::sync::Arc;

use super::{AdviceCall, Scheduler};

use crate::boot_time::BootTime;

/// Time that a call may wait at a VM behind others, in milliseconds.
pub(super) const MAX_ADVICE_WAIT_MS: u64 = 60;

/// Share of the advice VMs that stays free for urgent calls, as a divisor. All others together would else hold every
/// advice VM in a burst, and an urgent job is late after some hundred milliseconds.
const URGENT_VMS_DIVISOR: usize = 4;

/// A VM through which the leader can ask for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceVm {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// When its calls so far should be answered.
    pub free_at: BootTime,
    /// Calls under way that are not urgent.
    pub regular_calls: u32,
}

impl Scheduler {
    /// Replaces the VMs that can make calls for advice. Those that stay keep their load.
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

    /// Returns the position of the least loaded advice VM, or when one will be free.
    pub(super) fn free_advice_vm(
        &self,
        urgent: bool,
        now: BootTime,
    ) -> Result<usize, Option<BootTime>> {
        let most =
            (self.advice_vms.len() - self.advice_vms.len() / URGENT_VMS_DIVISOR).max(1) as u32;
        if !urgent && self.regular_calls() >= most {
            return Err(Some(now.plus_ms(MAX_ADVICE_WAIT_MS)));
        }
        let least =
            self.advice_vms.iter().enumerate().min_by_key(|(_, advice_vm)| advice_vm.free_at);
        let Some((position, advice_vm)) = least else { return Err(None) };
        if advice_vm.free_at > now.plus_ms(MAX_ADVICE_WAIT_MS) {
            return Err(Some(advice_vm.free_at));
        }
        Ok(position)
    }

    /// Takes the least loaded advice VM for a call of this cost.
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

    /// Returns the number of calls under way that are not urgent.
    pub(super) fn regular_calls(&self) -> u32 {
        self.advice_vms.iter().map(|advice_vm| advice_vm.regular_calls).sum()
    }

    /// Notes that a call has ended. After a failure the advice VM pauses for `pause_ms`.
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
