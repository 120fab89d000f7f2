//! `coriandertack demo`: a complete deployment on one machine, in which one VM is killed while it serves.
//!
//! The demo fails unless every accepted task and request has exactly one outcome and the charges match the use.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
    pin::pin,
    time::Duration,
};

use {
    anyhow::{Context, Result, ensure},
    clap::ArgMatches,
    coriandertack_core::{record::Outcome, state::State},
    coriandertack_standins::audit,
    coriandertackd::settings::{self, Deployment},
    hyper::{Method, StatusCode},
    serde::Serialize,
    serde_json::{Value, json},
    tokio::time::{Instant, sleep, sleep_until, timeout},
};

use crate::local::{LocalDeployment, Options, init_logging, wait_within};

/// Built-in settings, used if no file is given.
const DEFAULT_SETTINGS: &str = include_str!("../../../settings/vukic.toml");

/// Timeout of the whole run.
const RUN_TIMEOUT: Duration = Duration::from_secs(55);

/// Time after the start from which every VM knows the outcome of any newly generated idempotency key.
const KEY_HISTORY_DELAY: Duration = Duration::from_secs(8);

/// Interval between callers' requests while the workers of a killed VM are taken over.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Seed of the stand-ins.
const SEED: u64 = 1;

/// Result of a run. Tasks and callers' requests are counted together.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Tasks and requests submitted.
    pub submitted: u64,
    /// Requests answered and tasks that succeeded or, for the service, were cancelled at the end.
    pub finished: u64,
    /// Requests refused with a guarantee that they were not run.
    pub refused: u64,
    /// Requests whose outcome the system could not determine.
    pub unknown: u64,
    /// Accepted tasks without an end, and requests without a response.
    pub lost: u64,
    /// Tasks that ran on two workers at once, and idempotency keys that ran twice.
    pub duplicated: u64,
    /// Workers whose tasks together needed more than their capacity.
    pub overcommitted: u64,
    /// Processor time charged to the teams.
    pub charged_core_ms: u64,
    /// Processor time that the workers recorded.
    pub used_core_ms: u64,
}

/// Runs the demo.
///
/// # Errors
///
/// Fails if the deployment does not start or a check fails.
pub fn command(matches: &ArgMatches) -> Result<()> {
    init_logging()?;
    let deployment = read_settings(matches.get_one::<PathBuf>("settings").map(PathBuf::as_path))?;
    let runtime = tokio::runtime::Runtime::new().context("cannot start the async runtime")?;
    let report = runtime.block_on(async {
        timeout(RUN_TIMEOUT, run(&deployment)).await.context("the demo did not end within 55 s")?
    })?;
    if let Some(file) = matches.get_one::<PathBuf>("json") {
        fs::write(file, serde_json::to_string_pretty(&report)?)
            .with_context(|| format!("cannot write {}", file.display()))?;
    }
    check(&report)
}

/// Reads a settings file, or the built-in settings if no file is given.
///
/// # Errors
///
/// Fails with a list of all errors in the file.
pub fn read_settings(file: Option<&Path>) -> Result<Deployment> {
    let read = match file {
        Some(file) => settings::read(file),
        None => settings::parse("settings/vukic.toml", DEFAULT_SETTINGS),
    };
    read.map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("invalid settings:\n{}", lines.join("\n"))
    })
}

async fn run(deployment: &Deployment) -> Result<Report> {
    let mut demo = Demo::start(deployment).await?;
    let result = demo.run().await;
    if result.is_err() {
        println!("{}", demo.local.describe());
    }
    result?;
    demo.report().await
}

/// Number of callers' requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct CallCounts {
    answered: u64,
    refused: u64,
    unknown: u64,
}

struct Demo {
    local: LocalDeployment,
    started: Instant,
    report: Report,
    /// Number of tasks of each submitted job.
    jobs: BTreeMap<u64, u64>,
    service: u64,
}

impl Demo {
    async fn start(deployment: &Deployment) -> Result<Self> {
        let started = Instant::now();
        let options = Options::for_deployment(deployment, SEED);
        println!(
            "starting {} entry VMs, {} workers, a log service and a VM list",
            options.vms, options.workers
        );
        let local = LocalDeployment::start(deployment, &options).await?;
        let demo =
            Self { local, started, report: Report::default(), jobs: BTreeMap::new(), service: 0 };
        demo.print_progress("every VM serves and every worker is reconciled with its owner");
        Ok(demo)
    }

    async fn run(&mut self) -> Result<()> {
        self.create_workload().await?;
        self.call_all(200).await?;
        self.kill_vm().await?;
        self.call_all(200).await?;
        self.submit("after", "batch", 40, 300).await?;
        self.finish().await
    }

    fn print_progress(&self, text: &str) {
        println!("{:>6.2} s  {text}", self.started.elapsed().as_secs_f64());
    }

    /// Creates teams and submits a service, a batch job and a gang with an operator's token.
    async fn create_workload(&mut self) -> Result<()> {
        let quota = json!({ "millicores": 400_000, "memory_mib": 800_000, "accelerators": 0 });
        let team = json!({ "quota": quota, "tokens": [] });
        let operator = self.local.operator_client(0);
        for name in ["vans", "herders"] {
            let path = format!("/v1/teams/{name}");
            operator.change(Method::PUT, &path, &[("expect", "0")], Some(&team)).await?;
        }
        self.print_progress("created teams vans and herders");
        self.service = self.submit("confirm", "service", 8, 0).await?;
        self.submit("plan", "batch", 200, 1_500).await?;
        self.submit("settle", "gang", 16, 2_000).await?;
        let service = self.service;
        let tasks = |state: &State| state.jobs.ids.len() == 3;
        let nodes = self.local.nodes();
        wait_within(Duration::from_secs(5), "every VM knows the jobs", || {
            nodes.iter().all(|node| node.with(|shared| tasks(&shared.state)))
        })
        .await?;
        wait_within(Duration::from_secs(10), "every VM routes to the service", || {
            nodes.iter().all(|node| node.instances.borrow().len() == 8)
        })
        .await?;
        self.print_progress(&format!("every VM routes callers to service job {service}"));
        // A VM answers "outcome unknown" to keys generated before the time from which it knows their outcomes. The
        // demo waits until that time, since it shows normal operation.
        sleep_until(self.started + KEY_HISTORY_DELAY).await;
        Ok(())
    }

    /// Submits a job through the live VMs in turn and returns its number.
    async fn submit(&mut self, name: &str, kind: &str, tasks: u64, run_ms: u64) -> Result<u64> {
        let command = match run_ms {
            0 => "work_ms=5".to_owned(),
            _ => format!("run_ms={run_ms} use_millicores=400 use_mib=256"),
        };
        let team = if kind == "gang" { "herders" } else { "vans" };
        let job = json!({
            "team": team, "name": name, "kind": kind, "tasks": tasks, "run_ms": run_ms,
            "need": { "millicores": 500, "memory_mib": 512 },
            "retries": 3, "command": command, "key": format!("demo-{name}"),
        });
        let server = self.live_vms()[self.jobs.len() % self.live_vms().len()];
        let answer = self
            .local
            .operator_client(server)
            .change(Method::POST, "/v1/jobs", &[], Some(&job))
            .await?;
        let id = job_id(&answer)?;
        self.report.submitted += tasks;
        self.jobs.insert(id, tasks);
        self.print_progress(&format!(
            "job {id}: {kind} {team}.{name}, {tasks} tasks, accepted durably"
        ));
        Ok(id)
    }

    fn live_vms(&self) -> Vec<usize> {
        let entries = self.local.entries.iter().enumerate();
        entries.filter(|(_, entry)| entry.process.is_some()).map(|(index, _)| index).collect()
    }

    /// Sends callers' requests through all live VMs and checks each response.
    async fn call_all(&mut self, count: usize) -> Result<()> {
        let live_vms = self.live_vms();
        let calls = (0..count).map(|number| {
            let (local, vm) = (&self.local, live_vms[number % live_vms.len()]);
            async move {
                let key = uuid::Uuid::now_v7().to_string();
                let body = format!("confirm booking {number}");
                // Every tenth request is a booking, which must not run twice.
                let headers: &[(&str, &str)] = if number % 10 == 0 {
                    &[("x-repeatable", "false"), ("idempotency-key", &key)]
                } else {
                    &[]
                };
                let called = local.call(vm, "vans.confirm", headers, &body).await;
                called.map(|called| (called.status.as_u16(), called.body == body.as_bytes()))
            }
        });
        let mut complete = 0;
        for outcome in futures::future::join_all(calls).await {
            self.report.submitted += 1;
            match outcome {
                Ok((200, true)) => complete += 1,
                Ok((200, false)) => {
                    anyhow::bail!("a caller received a response to another request")
                }
                Ok((503, _)) => self.report.refused += 1,
                Ok(_) => self.report.unknown += 1,
                Err(_) => self.report.lost += 1,
            }
        }
        self.report.finished += complete;
        self.print_progress(&format!("{complete} of {count} callers received complete responses"));
        Ok(())
    }

    /// Kills the last VM, which owns the most workers and is the home of the most teams, and waits until its workers
    /// accept new work.
    async fn kill_vm(&mut self) -> Result<()> {
        let victim = self.local.entries.len() - 1;
        let name = self.local.entries[victim].settings.vm.name.clone();
        self.local.kill(victim).await;
        self.print_progress(&format!("killed VM {name}"));
        let started = Instant::now();
        let ready = timeout(Duration::from_secs(15), self.local.ready());
        let (ready, counts) = self.call_until(ready).await;
        ready.context("the workers of the killed VM were not taken over within 15 s")??;
        let elapsed_s = started.elapsed().as_secs_f64();
        self.print_progress(&format!("its workers accept new work again after {elapsed_s:.2} s"));
        let CallCounts { answered, refused, unknown } = counts;
        self.report.submitted += answered + refused + unknown;
        self.report.finished += answered;
        self.report.refused += refused;
        self.report.unknown += unknown;
        self.print_progress(&format!(
            "meanwhile {answered} callers were answered and {refused} refused as not run"
        ));
        Ok(())
    }

    /// Sends a caller's request every [`CALL_INTERVAL`] to the live VMs in turn until a future completes.
    async fn call_until<T>(&self, ready: impl Future<Output = T>) -> (T, CallCounts) {
        let live_vms = self.live_vms();
        let mut counts = CallCounts::default();
        let mut ready = pin!(ready);
        for number in 0.. {
            let vm = live_vms[number % live_vms.len()];
            match self.local.call(vm, "vans.confirm", &[], "question").await {
                Ok(answer) if answer.status == StatusCode::OK => counts.answered += 1,
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    counts.refused += 1
                }
                Ok(_) | Err(_) => counts.unknown += 1,
            }
            tokio::select! {
                done = &mut ready => return (done, counts),
                () = sleep(CALL_INTERVAL) => {}
            }
        }
        unreachable!("the range of request numbers has no end")
    }

    /// Waits until the batch and gang jobs end, then cancels the service and waits for its end.
    async fn finish(&mut self) -> Result<()> {
        let service = self.service;
        self.wait_for_jobs("the batch and gang jobs ended", |job| job != service).await?;
        let operator = self.local.operator_client(0);
        let path = format!("/v1/jobs/{service}/cancel");
        operator.change(Method::POST, &path, &[], None).await?;
        self.wait_for_jobs("the service job ended", |job| job == service).await?;
        Ok(())
    }

    async fn wait_for_jobs(&self, what: &str, wanted: impl Fn(u64) -> bool) -> Result<()> {
        let node = &self.local.nodes()[0];
        let jobs: Vec<u64> = self.jobs.keys().copied().filter(|&job| wanted(job)).collect();
        wait_within(Duration::from_secs(25), what, || {
            node.with(|shared| {
                let ended = |job: &u64| {
                    shared.state.jobs.get((*job).into()).is_some_and(|job| job.is_ended())
                };
                jobs.iter().all(ended)
            })
        })
        .await?;
        self.print_progress(what);
        Ok(())
    }

    /// Compares the state derived from the log with the workers' own records.
    async fn report(mut self) -> Result<Report> {
        let node = std::sync::Arc::clone(&self.local.nodes()[0]);
        let charged = || {
            node.with(|shared| {
                shared.state.ledger.charges().map(|line| line.usage.core_ms).sum::<u64>()
            })
        };
        let workers = self.local.workers.clone();
        let matched = wait_within(Duration::from_secs(10), "the charges equal the use", || {
            charged() == audit::check(&workers).core_ms
        })
        .await;
        if let Err(error) = matched {
            self.print_progress(&format!("{error:#}"));
        }
        let audited = audit::check(&workers);
        let submissions = node.with(|shared| {
            let entries = shared.state.audit.iter();
            entries.filter(|entry| entry.action.starts_with("submit ")).count()
        });
        ensure!(
            submissions == self.jobs.len(),
            "the audit trail has {submissions} submissions, expected {}",
            self.jobs.len()
        );
        for (&job, &tasks) in &self.jobs {
            let (finished, ended) = node.with(|shared| {
                let job = shared.state.jobs.get(job.into());
                job.map_or((0, 0), |job| {
                    let stopped = job.count(Outcome::Cancelled);
                    (job.count(Outcome::Succeeded) + stopped, job.ends.len())
                })
            });
            self.report.finished += finished as u64;
            self.report.lost += tasks - ended as u64;
        }
        self.report.duplicated = (audited.duplicated + audited.repeated_keys) as u64;
        self.report.overcommitted = audited.overcommitted as u64;
        self.report.charged_core_ms = charged();
        self.report.used_core_ms = audited.core_ms;
        self.print_progress("stopping the VMs gracefully");
        self.local.stop().await?;
        self.print(audited.runs);
        Ok(self.report)
    }

    fn print(&self, runs: usize) {
        let Report { submitted, finished, refused, unknown, lost, .. } = self.report;
        let Report { duplicated, overcommitted, charged_core_ms, used_core_ms, .. } = self.report;
        println!();
        println!(
            "submitted {submitted}, finished {finished}, refused {refused}, unknown {unknown}"
        );
        println!(
            "lost {lost}, duplicated {duplicated}, overcommitted {overcommitted}, runs {runs}"
        );
        println!("charged {charged_core_ms} core-ms, used {used_core_ms} core-ms");
    }
}

fn job_id(answer: &Value) -> Result<u64> {
    answer["job"].as_u64().with_context(|| format!("the response has no job number: {answer}"))
}

/// Fails on the first check of a report that does not hold.
fn check(report: &Report) -> Result<()> {
    ensure!(
        report.lost == 0,
        "{} accepted tasks or requests have no outcome, expected 0",
        report.lost
    );
    ensure!(
        report.duplicated == 0,
        "{} tasks or idempotency keys ran twice, expected 0",
        report.duplicated
    );
    ensure!(
        report.overcommitted == 0,
        "{} workers were overcommitted, expected 0",
        report.overcommitted
    );
    let accounted = report.finished + report.refused + report.unknown;
    ensure!(
        accounted == report.submitted,
        "{accounted} outcomes for {} submitted tasks and requests",
        report.submitted
    );
    ensure!(
        report.charged_core_ms == report.used_core_ms,
        "charged {} core-ms, but {} core-ms were used",
        report.charged_core_ms,
        report.used_core_ms
    );
    println!("all checks passed");
    Ok(())
}
