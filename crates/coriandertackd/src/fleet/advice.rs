//! Calls for advice that this VM makes, and the leader's links to the VMs that make calls for it.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use {
    coriandertack_jobs::{boot_time::BootTime, replica::LinkInfo, sched::AdviceCall},
    coriandertack_peers::leader::{self, AdviceQuery, AdviceReply, EndedJobs, LeaderMessage},
    coriandertack_platform::advice::AdviceClient,
    tokio::{
        net::TcpListener,
        sync::{Mutex, mpsc},
        task::JoinSet,
        time::sleep,
    },
};

use super::{clock, leadership::Leadership, metrics, shared::Shared};

/// Pause before a VM is dialled again, in milliseconds.
const REDIAL_MS: u64 = 250;

/// Accepts links from leaders and makes the calls for advice that they request, one at a time, because the service
/// answers each VM one call at a time.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let client = shared.settings.platform.advice.map(AdviceClient::new);
    let client = Arc::new(Mutex::new(client));
    let call_state = shared.clone();
    let ask = move |query: AdviceQuery| {
        let (client, state) = (client.clone(), call_state.clone());
        async move {
            let limit = Duration::from_millis(u64::from(query.limit_ms));
            let mut client = client.lock().await;
            let requested_at = clock::now();
            let advice = client.as_mut()?.ask(query.step, &query.workers, limit).await;
            metrics::record(&state.latencies.advice, clock::now().ms_since(requested_at));
            advice
        }
    };
    loop {
        // Serving ends only when a connection cannot be accepted, such as when no file descriptor is left.
        let linked = |queue| shared.set_leader_link(queue);
        let state = shared.clone();
        let ended = move || state.record_link_end();
        let state = shared.clone();
        let finished = move |ended| state.apply_ended(ended);
        let serving = leader::serve(&listener, ask.clone(), linked, finished, ended);
        if let Err(error) = serving.await {
            log::warn!("event=link_not_accepted error=\"{error:#}\"");
            sleep(Duration::from_millis(REDIAL_MS)).await;
        }
    }
}

/// The leader's open links to the entry VMs, including its own.
#[derive(Debug, Default)]
pub struct Links {
    queues: HashMap<Arc<str>, mpsc::UnboundedSender<LeaderMessage>>,
    /// When each open link was opened.
    opened: HashMap<Arc<str>, BootTime>,
}

impl Links {
    /// Sends a call to its VM. Returns false if there is no link to it.
    pub fn send(&self, call: &AdviceCall) -> bool {
        let limit = call.until.ms_since(clock::now()).min(u64::from(u32::MAX)) as u32;
        let message = LeaderMessage::Ask(call.clone(), limit);
        self.queues.get(&call.vm).is_some_and(|queue| queue.send(message).is_ok())
    }

    /// Sends the jobs that have ended to all VMs.
    pub fn announce(&self, ended: &Arc<EndedJobs>) {
        for queue in self.queues.values() {
            // A VM whose link has just closed learns of them from the progress topic.
            let _disconnected = queue.send(LeaderMessage::Ended(ended.clone()));
        }
    }

    /// Adds the link to a VM.
    fn open(&mut self, vm: Arc<str>, queue: mpsc::UnboundedSender<LeaderMessage>) {
        self.opened.insert(vm.clone(), clock::now());
        self.queues.insert(vm, queue);
    }

    /// Removes the link to a VM. Returns false if there was none.
    fn close(&mut self, vm: &str) -> bool {
        self.opened.remove(vm);
        self.queues.remove(vm).is_some()
    }

    /// Returns the names of the VMs whose link was opened before `moment`.
    #[must_use]
    pub fn opened_before(&self, moment: BootTime) -> Vec<Arc<str>> {
        let linked = self.opened.iter().filter(|(_, opened)| **opened < moment);
        linked.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the names of the VMs with an open link.
    #[must_use]
    pub fn names(&self) -> Vec<Arc<str>> {
        self.queues.keys().cloned().collect()
    }
}

/// Maintains links to all announced VMs for as long as the future is polled.
pub async fn maintain_links(leadership: Arc<Leadership>) {
    let mut dialled: HashMap<Arc<str>, SocketAddr> = HashMap::new();
    let mut links = JoinSet::new();
    loop {
        let announced = leadership.shared.replica().links.clone();
        for (vm, LinkInfo { address, .. }) in announced {
            if dialled.get(&vm) != Some(&address) {
                dialled.insert(vm.clone(), address);
                links.spawn(maintain_link(leadership.clone(), vm, address));
            }
        }
        tokio::select! {
            () = sleep(Duration::from_millis(REDIAL_MS)) => {}
            Some(_) = links.join_next() => {}
        }
    }
}

/// Returns whether the VM's announced link address is still `address`.
fn is_announced_at(leadership: &Leadership, vm: &str, address: SocketAddr) -> bool {
    leadership.shared.replica().links.get(vm).is_some_and(|link| link.address == address)
}

/// Maintains the link to one VM, for as long as the VM is announced at this address.
async fn maintain_link(leadership: Arc<Leadership>, vm: Arc<str>, address: SocketAddr) {
    let mut failure_logged = false;
    let mut links_closed = leadership.links_closed.subscribe();
    while is_announced_at(&leadership, &vm, address) {
        if links_closed.wait_for(|closed| !closed).await.is_err() {
            return;
        }
        let (sender, queue) = mpsc::unbounded_channel();
        let answered =
            |call: &AdviceCall, advice: AdviceReply| leadership.record_advice(call, advice);
        let connected = || {
            leadership.links().open(vm.clone(), sender);
            leadership.update_advice_vms();
        };
        let enqueue = |forwarded| leadership.enqueue(forwarded);
        let result = tokio::select! {
            result = leader::dial(address, queue, answered, enqueue, connected) => result,
            _ = links_closed.wait_for(|closed| *closed) => Ok(()),
        };
        let was_up = leadership.links().close(&vm);
        if was_up {
            leadership.update_advice_vms();
        }
        if let Err(error) = result
            && (was_up || !std::mem::replace(&mut failure_logged, true))
        {
            log::info!("event=dependency_lost dependency=link vm={vm} error=\"{error:#}\"");
        }
        sleep(Duration::from_millis(REDIAL_MS)).await;
    }
}
