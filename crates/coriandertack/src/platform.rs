//! `coriandertack standins`: the platform's stand-ins in a process of their own.
//!
//! They serve at the addresses of a settings file, so that `coriandertackd` processes run against them as they
//! would against the platform. Nothing is kept: a restart begins with an empty log.

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
    local::{Options, init_log, start_workers},
};

const SEED: u64 = 1;

/// Serves until the process is interrupted.
///
/// # Errors
///
/// Fails if the settings are faulty or an address cannot be bound.
pub fn command(matches: &ArgMatches) -> Result<()> {
    init_log()?;
    let file = matches.get_one::<PathBuf>("settings").map(PathBuf::as_path);
    let deployment = demo::read(file)?;
    let runtime = tokio::runtime::Runtime::new().context("cannot start the runtime")?;
    runtime.block_on(async {
        let options = Options::of(&deployment, SEED);
        let common = &deployment.common;
        let workers = deployment.demo.as_ref().context("the settings have no section `demo`")?;
        let _log = LogService::start_at(common.log.address, LogConfig::default(), SEED).await?;
        let lag = Lag { delay_ms: 200, jitter_ms: 300 };
        let list = VmList::start_at(common.list.address, lag, SEED).await?;
        let workers = start_workers(workers, &options).await?;
        list.add_workers(&workers);
        for vm in &deployment.vms {
            list.set(VmEntry::entry(&vm.name, &vm.zone, vm.http));
        }
        println!(
            "log service at {}, VM list at {}, {} workers",
            common.log.address,
            common.list.address,
            workers.len()
        );
        tokio::signal::ctrl_c().await.context("cannot wait for an interrupt")
    })
}
