//! Calls for advice: those of this VM, and the links to the VMs that make calls for the leader.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use {
    coriandertack_jobs::{boot_time::BootTime, replica::LinkInfo, sched::AdviceCall},
    coriandertack_peers::leader::{self, Advice, Ended, Question, ToVm},
    coriandertack_platform::advice::Adviser,
    tokio::{
        net::TcpListener,
        sync::{Mutex, mpsc},
        task::JoinSet,
        time::sleep,
    },
};

use super::{clock, lead::Leading, metrics, shared::Shared};

/// Pause before another VM is dialled again, in milliseconds.
const REDIAL_MS: u64 = 250;

/// Makes the calls for advice that the leader asks for: one at a time, as the service answers them.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let adviser = shared.settings.platform.advice.map(Adviser::new);
    let adviser = Arc::new(Mutex::new(adviser));
    let asking = shared.clone();
    let ask = move |question: Question| {
        let (adviser, state) = (adviser.clone(), asking.clone());
        async move {
            let limit = Duration::from_millis(u64::from(question.limit_ms));
            let mut adviser = adviser.lock().await;
            let asked = clock::now();
            let advice = adviser.as_mut()?.ask(question.step, &question.workers, limit).await;
            metrics::record(&state.latencies.advice, clock::now().ms_since(asked));
            advice
        }
    };
    loop {
        // The listener serves until accepting fails, as when no descriptor is left.
        let linked = |queue| shared.set_leader_link(queue);
        let state = shared.clone();
        let ended = move || state.note_link_end();
        let state = shared.clone();
        let finished = move |ended| state.note_ended(ended);
        let serving = leader::serve(&listener, ask.clone(), linked, finished, ended);
        if let Err(error) = serving.await {
            log::warn!("event=link_not_accepted error=\"{error:#}\"");
            sleep(Duration::from_millis(REDIAL_MS)).await;
        }
    }
}

/// The leader's links to the entry VMs, its own among them.
#[derive(Debug, Default)]
pub struct Links {
    queues: HashMap<Arc<str>, mpsc::UnboundedSender<ToVm>>,
    /// When each link was opened.
    opened: HashMap<Arc<str>, BootTime>,
}

impl Links {
    /// Hands a call to a VM. Returns false if there is no link.
    pub fn send(&self, call: &AdviceCall) -> bool {
        let limit = call.until.ms_since(clock::now()).min(u64::from(u32::MAX)) as u32;
        let ask = ToVm::Ask(call.clone(), limit);
        self.queues.get(&call.vm).is_some_and(|queue| queue.send(ask).is_ok())
    }

    /// Tells all VMs which jobs have ended.
    pub fn announce(&self, ended: &Arc<Ended>) {
        for queue in self.queues.values() {
            // A VM whose link has just ended reads the records.
            let _gone = queue.send(ToVm::Ended(ended.clone()));
        }
    }

    /// Adds the link to a VM.
    fn open(&mut self, vm: Arc<str>, queue: mpsc::UnboundedSender<ToVm>) {
        self.opened.insert(vm.clone(), clock::now());
        self.queues.insert(vm, queue);
    }

    /// Removes the link to a VM. Returns false if there was none.
    fn close(&mut self, vm: &str) -> bool {
        self.opened.remove(vm);
        self.queues.remove(vm).is_some()
    }

    /// Returns the names of the VMs whose link was opened before a moment.
    #[must_use]
    pub fn opened_before(&self, moment: BootTime) -> Vec<Arc<str>> {
        let steady = self.opened.iter().filter(|(_, opened)| **opened < moment);
        steady.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the names of the VMs with a link.
    #[must_use]
    pub fn names(&self) -> Vec<Arc<str>> {
        self.queues.keys().cloned().collect()
    }
}

/// Keeps links to all announced VMs for as long as the future is polled.
pub async fn keep(leading: Arc<Leading>) {
    let mut tasks: HashMap<Arc<str>, SocketAddr> = HashMap::new();
    let mut links = JoinSet::new();
    loop {
        let known = leading.shared.replica().links.clone();
        for (vm, LinkInfo { address, .. }) in known {
            if tasks.get(&vm) != Some(&address) {
                tasks.insert(vm.clone(), address);
                links.spawn(dial(leading.clone(), vm, address));
            }
        }
        tokio::select! {
            () = sleep(Duration::from_millis(REDIAL_MS)) => {}
            Some(_) = links.join_next() => {}
        }
    }
}

fn is_at(leading: &Leading, vm: &str, address: SocketAddr) -> bool {
    leading.shared.replica().links.get(vm).is_some_and(|link| link.address == address)
}

/// Keeps the link to one VM, for as long as the VM is announced at this address.
async fn dial(leading: Arc<Leading>, vm: Arc<str>, address: SocketAddr) {
    let mut up = false;
    let mut unlinked = leading.unlinked.subscribe();
    while is_at(&leading, &vm, address) {
        if unlinked.wait_for(|unlinked| !unlinked).await.is_err() {
            return;
        }
        let (sender, queue) = mpsc::unbounded_channel();
        let answered = |call: &AdviceCall, advice: Advice| leading.advised(call, advice);
        let connected = || {
            leading.links().open(vm.clone(), sender);
            leading.lanes_changed();
        };
        let take = |handed| leading.take(handed);
        let result = tokio::select! {
            result = leader::dial(address, queue, answered, take, connected) => result,
            _ = unlinked.wait_for(|unlinked| *unlinked) => Ok(()),
        };
        let was_up = leading.links().close(&vm);
        if was_up {
            leading.lanes_changed();
        }
        if let Err(error) = result
            && (was_up || !std::mem::replace(&mut up, true))
        {
            log::info!("event=dependency_lost dependency=link vm={vm} error=\"{error:#}\"");
        }
        sleep(Duration::from_millis(REDIAL_MS)).await;
    }
}
