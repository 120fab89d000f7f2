//! `coriandertack demo`: the whole path on one machine, with one VM killed in the middle.
//!
//! It states its checks, and fails if one of them does not hold.

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

use crate::local::{Local, Options, init_log, within};

/// Settings used if no file is given.
const DEFAULT_SETTINGS: &str = include_str!("../../../settings/vukic.toml");

/// Bound on the whole run.
const LIMIT: Duration = Duration::from_secs(55);

/// Time after the start from which on every VM knows what became of a key.
const KEYS_KNOWN_AFTER: Duration = Duration::from_secs(8);

/// Time between two callers while a VM is taken over.
const CALL_EVERY: Duration = Duration::from_millis(20);

const SEED: u64 = 1;

/// Result of a run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Tasks and requests submitted.
    pub submitted: u64,
    /// Those that ended well; the services' tasks end by their cancellation.
    pub finished: u64,
    /// Those refused as not run.
    pub refused: u64,
    /// Those whose outcome the system did not know.
    pub unknown: u64,
    /// Accepted tasks and requests without an outcome.
    pub lost: u64,
    /// Tasks that ran in two places at once, and keys that ran twice.
    pub duplicated: u64,
    /// Workers given more than they have.
    pub overcommitted: u64,
    /// Processor time charged.
    pub charged_core_ms: u64,
    /// Processor time that the workers gave.
    pub used_core_ms: u64,
}

/// Runs the demo.
///
/// # Errors
///
/// Fails if a check does not hold or the deployment does not start.
pub fn command(matches: &ArgMatches) -> Result<()> {
    init_log()?;
    let deployment = read(matches.get_one::<PathBuf>("settings").map(PathBuf::as_path))?;
    let runtime = tokio::runtime::Runtime::new().context("cannot start the runtime")?;
    let report = runtime.block_on(async {
        timeout(LIMIT, run(&deployment)).await.context("the demo took too long")?
    })?;
    if let Some(file) = matches.get_one::<PathBuf>("json") {
        fs::write(file, serde_json::to_string_pretty(&report)?)
            .with_context(|| format!("cannot write {}", file.display()))?;
    }
    check(&report)
}

/// Reads a settings file, or the one that this program carries.
///
/// # Errors
///
/// Fails with every fault of the file.
pub fn read(file: Option<&Path>) -> Result<Deployment> {
    let read = match file {
        Some(file) => settings::read(file),
        None => settings::parse("settings/vukic.toml", DEFAULT_SETTINGS),
    };
    read.map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("faulty settings:\n{}", lines.join("\n"))
    })
}

async fn run(deployment: &Deployment) -> Result<Report> {
    let mut demo = Demo::start(deployment).await?;
    let ran = demo.run().await;
    if ran.is_err() {
        println!("{}", demo.local.describe());
    }
    ran?;
    demo.report().await
}

/// What callers were told.
#[derive(Clone, Copy, Debug, Default)]
struct Called {
    answered: u64,
    refused: u64,
    unknown: u64,
}

struct Demo {
    local: Local,
    began: Instant,
    report: Report,
    /// Tasks by job.
    jobs: BTreeMap<u64, u64>,
    service: u64,
}

impl Demo {
    async fn start(deployment: &Deployment) -> Result<Self> {
        let began = Instant::now();
        let options = Options::of(deployment, SEED);
        println!(
            "starting {} entry VMs, {} workers, a log service and a VM list",
            options.vms, options.workers
        );
        let local = Local::start(deployment, &options).await?;
        let demo =
            Self { local, began, report: Report::default(), jobs: BTreeMap::new(), service: 0 };
        demo.say("every VM serves and every worker is read by its owner");
        Ok(demo)
    }

    async fn run(&mut self) -> Result<()> {
        self.declare().await?;
        self.call(200).await?;
        self.kill().await?;
        self.call(200).await?;
        self.submit("after", "batch", 40, 300).await?;
        self.finish().await
    }

    fn say(&self, text: &str) {
        println!("{:>6.2} s  {text}", self.began.elapsed().as_secs_f64());
    }

    /// Declares a team, a service, a batch job and a gang, as an operator does.
    async fn declare(&mut self) -> Result<()> {
        let quota = json!({ "millicores": 400_000, "memory_mib": 800_000, "accelerators": 0 });
        let team = json!({ "quota": quota, "tokens": [] });
        let operator = self.local.operator(0);
        for name in ["vans", "herders"] {
            let path = format!("/v1/teams/{name}");
            operator.change(Method::PUT, &path, &[("expect", "0")], Some(&team)).await?;
        }
        self.say("teams vans and herders are created");
        self.service = self.submit("confirm", "service", 8, 0).await?;
        self.submit("plan", "batch", 200, 1_500).await?;
        self.submit("settle", "gang", 16, 2_000).await?;
        let service = self.service;
        let tasks = |state: &State| state.jobs.ids.len() == 3;
        let nodes = self.local.nodes();
        within(Duration::from_secs(5), "jobs known everywhere", || {
            nodes.iter().all(|node| node.with(|shared| tasks(&shared.state)))
        })
        .await?;
        within(Duration::from_secs(10), "the service is routed everywhere", || {
            nodes.iter().all(|node| node.instances.borrow().len() == 8)
        })
        .await?;
        self.say(&format!("service job {service} answers callers at every VM"));
        // A VM answers "outcome unknown" to keys that were minted before it can know them; the demo shows the
        // ordinary case.
        sleep_until(self.began + KEYS_KNOWN_AFTER).await;
        Ok(())
    }

    /// Submits a job through one of the VMs.
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
        let server = self.live()[self.jobs.len() % self.live().len()];
        let answer =
            self.local.operator(server).change(Method::POST, "/v1/jobs", &[], Some(&job)).await?;
        let id = id_of(&answer)?;
        self.report.submitted += tasks;
        self.jobs.insert(id, tasks);
        self.say(&format!("job {id}: {kind} {team}.{name}, {tasks} tasks, accepted durably"));
        Ok(id)
    }

    fn live(&self) -> Vec<usize> {
        let entries = self.local.entries.iter().enumerate();
        entries.filter(|(_, entry)| entry.process.is_some()).map(|(index, _)| index).collect()
    }

    /// Sends callers' requests through all live VMs and checks each answer.
    async fn call(&mut self, count: usize) -> Result<()> {
        let live = self.live();
        let calls = (0..count).map(|number| {
            let (local, vm) = (&self.local, live[number % live.len()]);
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
        let mut whole = 0;
        for outcome in futures::future::join_all(calls).await {
            self.report.submitted += 1;
            match outcome {
                Ok((200, true)) => whole += 1,
                Ok((200, false)) => {
                    anyhow::bail!("a caller received an answer that is not its own")
                }
                Ok((503, _)) => self.report.refused += 1,
                Ok(_) => self.report.unknown += 1,
                Err(_) => self.report.lost += 1,
            }
        }
        self.report.finished += whole;
        self.say(&format!("{whole} of {count} callers received their whole answers"));
        Ok(())
    }

    /// Kills the VM that owns and homes the most, and waits until its workers take new work.
    async fn kill(&mut self) -> Result<()> {
        let victim = self.local.entries.len() - 1;
        let name = self.local.entries[victim].settings.vm.name.clone();
        self.local.kill(victim).await;
        self.say(&format!("VM {name} is killed"));
        let began = Instant::now();
        let ready = timeout(Duration::from_secs(15), self.local.ready());
        let (ready, called) = self.call_until(ready).await;
        ready.context("the killed VM's workers are not taken over")??;
        let took = began.elapsed().as_secs_f64();
        self.say(&format!("its workers take new work again after {took:.2} s"));
        let Called { answered, refused, unknown } = called;
        self.report.submitted += answered + refused + unknown;
        self.report.finished += answered;
        self.report.refused += refused;
        self.report.unknown += unknown;
        self.say(&format!(
            "meanwhile {answered} callers were answered, {refused} refused as not run"
        ));
        Ok(())
    }

    /// Sends a caller's request each 20 ms to the live VMs in turn until a future is ready.
    async fn call_until<T>(&self, ready: impl Future<Output = T>) -> (T, Called) {
        let live = self.live();
        let mut called = Called::default();
        let mut ready = pin!(ready);
        for number in 0.. {
            let vm = live[number % live.len()];
            match self.local.call(vm, "vans.confirm", &[], "question").await {
                Ok(answer) if answer.status == StatusCode::OK => called.answered += 1,
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    called.refused += 1
                }
                Ok(_) | Err(_) => called.unknown += 1,
            }
            tokio::select! {
                done = &mut ready => return (done, called),
                () = sleep(CALL_EVERY) => {}
            }
        }
        unreachable!("the numbers do not end")
    }

    /// Waits for the ends of all jobs; the service ends by its cancellation.
    async fn finish(&mut self) -> Result<()> {
        let service = self.service;
        self.wait_ended("batch and gang jobs end", |job| job != service).await?;
        let operator = self.local.operator(0);
        let path = format!("/v1/jobs/{service}/cancel");
        operator.change(Method::POST, &path, &[], None).await?;
        self.wait_ended("the service ends", |job| job == service).await?;
        Ok(())
    }

    async fn wait_ended(&self, what: &str, wanted: impl Fn(u64) -> bool) -> Result<()> {
        let node = &self.local.nodes()[0];
        let jobs: Vec<u64> = self.jobs.keys().copied().filter(|&job| wanted(job)).collect();
        within(Duration::from_secs(25), what, || {
            node.with(|shared| {
                let ended = |job: &u64| {
                    shared.state.jobs.get((*job).into()).is_some_and(|job| job.is_ended())
                };
                jobs.iter().all(ended)
            })
        })
        .await?;
        self.say(what);
        Ok(())
    }

    /// Compares the log's view with the workers' own records.
    async fn report(mut self) -> Result<Report> {
        let node = std::sync::Arc::clone(&self.local.nodes()[0]);
        let charged = || {
            node.with(|shared| {
                shared.state.ledger.charges().map(|line| line.usage.core_ms).sum::<u64>()
            })
        };
        let workers = self.local.workers.clone();
        let settled = within(Duration::from_secs(10), "charges equal use", || {
            charged() == audit::check(&workers).core_ms
        })
        .await;
        if let Err(error) = settled {
            self.say(&format!("{error:#}"));
        }
        let audited = audit::check(&workers);
        let submits = node.with(|shared| {
            let entries = shared.state.audit.iter();
            entries.filter(|entry| entry.action.starts_with("submit ")).count()
        });
        ensure!(
            submits == self.jobs.len(),
            "the audit trail has {submits} submissions of {}",
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
        self.say("stopping the VMs as planned");
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

fn id_of(answer: &Value) -> Result<u64> {
    answer["job"].as_u64().with_context(|| format!("no job in the answer: {answer}"))
}

/// Fails unless every check holds.
fn check(report: &Report) -> Result<()> {
    ensure!(report.lost == 0, "{} accepted tasks or requests have no outcome", report.lost);
    ensure!(report.duplicated == 0, "{} ran twice", report.duplicated);
    ensure!(report.overcommitted == 0, "{} workers were overcommitted", report.overcommitted);
    let accounted = report.finished + report.refused + report.unknown;
    ensure!(accounted == report.submitted, "{accounted} outcomes for {}", report.submitted);
    ensure!(
        report.charged_core_ms == report.used_core_ms,
        "charged {} core-ms for {} core-ms used",
        report.charged_core_ms,
        report.used_core_ms
    );
    println!("every check held");
    Ok(())
}
