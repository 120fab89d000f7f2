//! `coriandertack standins`: stand-ins of the platform services in a process of their own.
//!
//! They listen on the addresses in a settings file, so that `coriandertackd` processes connect to them as they
//! would to the platform. State is held in memory only: after a restart the log is empty.

use std::path::PathBuf;

use {
    anyhow::{Context, Result},
    clap::ArgMatches,
    coriandertack_standins::{
        log::{LogConfig, LogService},
        vmlist::{Lag, VmEntry, VmList},
    },
};

use crate::{
    demo,
    local::{Options, init_logging, start_workers},
};

/// Seed of the random delays of the stand-ins.
const SEED: u64 = 1;

/// Starts the log service, the VM list and the workers, and serves until the process is interrupted.
///
/// # Errors
///
/// Fails if the settings are invalid or an address cannot be bound.
pub fn command(matches: &ArgMatches) -> Result<()> {
    init_logging()?;
    let file = matches.get_one::<PathBuf>("settings").map(PathBuf::as_path);
    let deployment = demo::read_settings(file)?;
    let runtime = tokio::runtime::Runtime::new().context("cannot start the async runtime")?;
    runtime.block_on(async {
        let options = Options::for_deployment(&deployment, SEED);
        let common = &deployment.common;
        let workers = deployment
            .demo
            .as_ref()
            .context("the settings have no section `demo`, which lists the workers")?;
        let _log = LogService::start_at(common.log.address, LogConfig::default(), SEED).await?;
        let lag = Lag { delay_ms: 200, jitter_ms: 300 };
        let list = VmList::start_at(common.vm_list.address, lag, SEED).await?;
        let workers = start_workers(workers, &options).await?;
        list.add_workers(&workers);
        for vm in &deployment.vms {
            list.set(VmEntry::entry(&vm.name, &vm.zone, vm.http));
        }
        println!(
            "log service at {}, VM list at {}, {} workers",
            common.log.address,
            common.vm_list.address,
            workers.len()
        );
        tokio::signal::ctrl_c().await.context("cannot listen for the interrupt signal")
    })
}
