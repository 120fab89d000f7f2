//! Runs the commands of the README's tutorial against a deployment of entry VMs.

use std::{
    net::SocketAddr,
    path::Path,
    process::{Command, Output},
    time::Duration,
};

use {
    coriandertack_standins::{
        log::{LogConfig, LogService},
        vmlist::{Lag, VmEntry, VmList},
        worker::{Worker, WorkerConfig},
    },
    coriandertackd::{process::Process, settings},
    tokio::{net::TcpListener, task::spawn_blocking, time::sleep},
};

/// Token of the operator in the example settings.
const TOKEN: &str = "vukic-example-token";

fn repository_root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

async fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Returns the commands of the tutorial that need a running deployment. `standins` starts one, so it is left out.
fn tutorial_commands() -> Vec<String> {
    let readme = std::fs::read_to_string(repository_root().join("README.md")).unwrap();
    let tutorial = readme.split("## Tutorial").nth(1).unwrap().split("## More").next().unwrap();
    let lines = tutorial.lines().filter_map(|line| line.strip_prefix("    coriandertack "));
    lines.filter(|line| !line.starts_with("standins")).map(str::to_owned).collect()
}

async fn run_command(line: &str, server: SocketAddr) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_coriandertack"));
    command
        .args(line.split_whitespace())
        .env("CORIANDERTACK_SERVER", server.to_string())
        .env("CORIANDERTACK_TOKEN", TOKEN)
        .current_dir(repository_root());
    spawn_blocking(move || command.output()).await.unwrap().unwrap()
}

/// Guards against a tutorial whose commands fail for a new user.
#[tokio::test(flavor = "multi_thread")]
async fn tutorial_commands_succeed() {
    let mut settings = settings::read(repository_root().join("settings/vukic.toml")).unwrap();
    let log = LogService::start(LogConfig::default(), 1).await.unwrap();
    let list = VmList::start(Lag::default(), 1).await.unwrap();
    let mut workers = Vec::new();
    for index in 0..4 {
        let config = WorkerConfig::new(&format!("w{index}"), "split", "r1");
        workers.push(Worker::start(config, index).await.unwrap());
    }
    list.add_workers(&workers);
    settings.common.log.address = log.address();
    settings.common.vm_list.address = list.address();
    let mut processes = Vec::new();
    for vm in settings.vms.iter_mut().take(3) {
        (vm.link, vm.http) = (free_port().await, free_port().await);
        list.set(VmEntry::entry(&vm.name, &vm.zone, vm.http));
        let vm = vm.clone();
        let common = settings.common.clone();
        processes.push(Process::start(settings::Settings { vm, common }));
    }
    for process in &processes {
        process.wait_until_serving().await.unwrap();
    }
    let server = settings.vms[0].http;
    let commands = tutorial_commands();
    assert!(commands.len() >= 10, "too few commands in the tutorial: {commands:?}");
    for line in &commands {
        let output = run_command(line, server).await;
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "`coriandertack {line}` failed: {error}");
    }
    // The batch and gang jobs of the tutorial end, while its service keeps running.
    loop {
        let output = run_command("-o json get jobs", server).await;
        let text = String::from_utf8(output.stdout).unwrap();
        if text.matches("\"ended\"").count() == 2 {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    for process in processes {
        process.stop().await.unwrap();
    }
}
