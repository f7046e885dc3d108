//! One run of the demo: starts a fake deployment and one instance per failure
//! domain, sends load, injects faults and builds the report.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use wheelmast_core::prelude::{EntrySafetyChecks, RoutePolicy, ServiceTable};
use wheelmast_fake::announcer::AnnounceTarget;
use wheelmast_fake::checker::check_once;
use wheelmast_fake::deployment::FakeDeployment;
use wheelmast_fake::fault::{self, FaultKind, FAULTS};
use wheelmast_fake::world::FakeWorld;
use wheelmast_node::prelude::{InstanceHandle, InstanceSettings, InstanceSetup};
use wheelmast_wire::prelude::InstanceStatus;

use crate::client::HttpClient;
use crate::demo::balancer::DemoBalancer;
use crate::demo::port::choose_address;
use crate::demo::report::{CountReport, RunReport, ServiceReport, SlowRequestTrace};
use crate::demo::schedule::fault_span;
use crate::demo::tally::{CallOutcome, RunStats, SlowCall};
use crate::demo::traffic::{make_traffic, TrafficContext};
use crate::measure::cpu::thread_times_ms;

/// Time limit for the instances to learn of all servers before the load starts.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two status requests to an instance that does not know all servers
/// yet.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between the abrupt end of an instance and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time during shutdown between the first "not ready" answer of an instance and its
/// first refused request. It spans several readiness checks of the balancer.
const DRAIN_NOTICE: Duration = Duration::from_millis(400);

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct RunPlan {
    /// Fake deployment that serves the requests.
    pub deployment: FakeDeployment,
    /// Time during which requests are sent.
    pub length: Duration,
    /// Faults to inject.
    pub faults: Vec<FaultKind>,
    /// Factor by which the deployment's request rates are multiplied.
    pub rate_factor: f64,
    /// Safety checks of the instances. Only tests switch some of them off.
    pub safety_checks: EntrySafetyChecks,
    /// Whether [`FaultKind::RestartEntry`] kills the instance instead of shutting
    /// it down gracefully. Only tests set this.
    pub should_kill: bool,
    /// Whether the report includes the trace of the slowest request.
    pub should_explain_slowest: bool,
    /// Whether a line of statistics is printed each second.
    pub should_print_progress: bool,
}

/// Runs a plan with a routing policy and returns the report. `name` is the
/// policy's name in the report.
///
/// # Errors
///
/// Fails if the instances or the fake servers cannot be started, or if an instance
/// does not learn of all servers within `READY_TIMEOUT`.
pub async fn run_plan<P>(plan: &RunPlan, policy: P, name: &str) -> anyhow::Result<RunReport>
where
    P: RoutePolicy + Clone + Send + 'static,
{
    let world = FakeWorld::start(plan.deployment.clone()).await?;
    let mut demo_run = DemoRun::start(plan, world, policy)?;
    demo_run.wait_until_servers_known().await?;
    demo_run.run_load(plan).await?;
    demo_run.finish(plan, name).await
}

/// The instances and the fake deployment of a run in progress.
struct DemoRun<P> {
    world: Arc<FakeWorld>,
    instances: Vec<InstanceHandle>,
    settings: Vec<InstanceSettings>,
    table: ServiceTable,
    policy: P,
    safety_checks: EntrySafetyChecks,
    context: Arc<TrafficContext>,
    poll_readiness: tokio::task::JoinHandle<()>,
}

impl<P: RoutePolicy + Clone + Send + 'static> DemoRun<P> {
    /// Starts one instance per failure domain and announces the fake servers to
    /// each instance.
    fn start(plan: &RunPlan, world: FakeWorld, policy: P) -> anyhow::Result<DemoRun<P>> {
        let table = ServiceTable::parse(plan.deployment.table, 1)?;
        let mut instances = Vec::new();
        let mut all_settings = Vec::new();
        for (number, domain) in plan.deployment.domains.iter().enumerate() {
            let source = IpAddr::V4(Ipv4Addr::new(127, 0, number as u8 + 1, 1));
            let mut settings = instance_settings(domain, source, plan.deployment.domains.len())?;
            let instance = InstanceHandle::start(InstanceSetup {
                settings: settings.clone(),
                table: Some(table.clone()),
                policy: policy.clone(),
                safety_checks: plan.safety_checks,
            })?;
            settings.callers = instance.callers;
            settings.operators = instance.operators;
            settings.upstreams = instance.upstreams;
            let target = AnnounceTarget {
                address: instance.upstreams,
                source,
            };
            world.announce_at(target, domain);
            instances.push(instance);
            all_settings.push(settings);
        }
        let balancer = DemoBalancer::new(&instances);
        let poll_readiness = tokio::spawn(balancer.clone().poll_readiness());
        let context = Arc::new(TrafficContext {
            balancer,
            ledger: world.ledger.clone(),
            stats: RunStats::default(),
            table: table.clone(),
            client: HttpClient::default(),
            run: rand::random(),
            count: AtomicU64::new(0),
        });
        Ok(DemoRun {
            world: Arc::new(world),
            instances,
            settings: all_settings,
            table,
            policy,
            safety_checks: plan.safety_checks,
            context,
            poll_readiness,
        })
    }

    /// Waits until every instance knows every server.
    async fn wait_until_servers_known(&self) -> anyhow::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        for instance in &self.instances {
            loop {
                let status = read_status(&self.context.client, instance.operators).await?;
                if status.servers.len() == self.world.servers.len() {
                    break;
                }
                if Instant::now() > until {
                    anyhow::bail!("could not learn of all servers within {READY_TIMEOUT:?}");
                }
                tokio::time::sleep(STATUS_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Sends the load, injects the faults and prints the progress if the plan asks
    /// for that. Returns after the last response.
    async fn run_load(&mut self, plan: &RunPlan) -> anyhow::Result<()> {
        let begin = Instant::now();
        let until = begin + plan.length;
        let mut traffic = tokio::task::JoinSet::new();
        for rate in &plan.deployment.rates {
            let mut rate = *rate;
            rate.rate *= plan.rate_factor;
            traffic.spawn(make_traffic(self.context.clone(), rate, until));
        }
        let faults = tokio::spawn(inject_faults(
            self.world.clone(),
            plan.faults.clone(),
            begin,
            plan.length,
        ));
        let printer = plan
            .should_print_progress
            .then(|| tokio::spawn(print_progress(self.context.clone(), begin)));
        if plan.faults.contains(&FaultKind::RestartEntry) {
            let span = fault_span(FaultKind::RestartEntry);
            tokio::time::sleep_until((begin + plan.length.mul_f64(span.begin)).into()).await;
            self.restart_first(plan.should_kill).await?;
        }
        while traffic.join_next().await.is_some() {}
        faults.abort();
        if let Some(printer) = printer {
            printer.abort();
        }
        Ok(())
    }

    /// Fetches the decisions made for the slowest request from the instance that
    /// served the request.
    async fn explain(&self, slowest: &SlowCall) -> anyhow::Result<SlowRequestTrace> {
        let path = format!("/v1/explain/{}", slowest.request);
        let response = self.context.client.get(slowest.operators, &path).await?;
        Ok(SlowRequestTrace {
            service: slowest.service.to_string(),
            request: slowest.request.clone(),
            latency_ms: slowest.latency.as_secs_f64() * 1e3,
            decisions: response.json().unwrap_or_default(),
        })
    }

    /// Stops the first instance and starts it again with the same settings. The
    /// stop is abrupt if `should_kill` is set, else graceful.
    async fn restart_first(&mut self, should_kill: bool) -> anyhow::Result<()> {
        let first = self.instances.remove(0);
        if should_kill {
            first.kill();
            tokio::time::sleep(RESTART_DELAY).await;
        } else {
            first.shut_down().await;
        }
        let instance = InstanceHandle::start(InstanceSetup {
            settings: self.settings[0].clone(),
            table: Some(self.table.clone()),
            policy: self.policy.clone(),
            safety_checks: self.safety_checks,
        })?;
        self.instances.insert(0, instance);
        Ok(())
    }

    /// Shuts the instances down, runs the checks that need the whole run and builds
    /// the report.
    async fn finish(self, plan: &RunPlan, name: &str) -> anyhow::Result<RunReport> {
        self.poll_readiness.abort();
        let threads = thread_times_ms("wm-");
        let slowest = match self.context.stats.slowest() {
            Some(slowest) if plan.should_explain_slowest => Some(self.explain(&slowest).await?),
            _ => None,
        };
        for instance in self.instances {
            instance.shut_down().await;
        }
        let context = Arc::into_inner(self.context).context("could not end the traffic")?;
        let ledger = self.world.ledger.clone();
        let mut result = context.stats.finish();
        for term in &result.single_run_terms {
            check_once(&ledger, term, &mut result.violations);
        }
        result.violations.work_after_leaving = ledger.work_after_leaving();
        let subqueries = ledger.subqueries();
        let extra = subqueries.saturating_sub(result.all.asked);
        Ok(RunReport {
            deployment: plan.deployment.name.to_string(),
            policy: name.to_string(),
            faults: plan.faults.iter().map(|fault| fault_name(*fault)).collect(),
            counts: CountReport::new(&result.all),
            extra_load_ratio: extra as f64 / result.all.asked.max(1) as f64,
            subqueries,
            cancelled: ledger.cancellations(),
            refused_connections: ledger.refused_connections(),
            cpu_us_per_subquery: threads
                .into_iter()
                .map(|(duty, millis)| (duty, millis * 1e3 / subqueries.max(1) as f64))
                .collect(),
            violations: result.violations,
            slowest,
            problems: result.all.problems.clone(),
            services: result
                .services
                .iter()
                .map(|(service, stats)| ServiceReport {
                    service: service.to_string(),
                    counts: CountReport::new(stats),
                })
                .collect(),
        })
    }
}

/// Returns the settings of the instance in a failure domain. `source` is the local
/// address of its listeners and outgoing connections.
fn instance_settings(
    domain: &str,
    source: IpAddr,
    instances: usize,
) -> anyhow::Result<InstanceSettings> {
    let settings = InstanceSettings::builder(format!("{domain}-1"))
        .domain(domain)
        .callers(choose_address(source)?)
        .operators(choose_address(source)?)
        .upstreams(choose_address(source)?)
        .source(source)
        .instances(instances as u32)
        .drain_notice(DRAIN_NOTICE)
        .log_decisions(false)
        .build();
    Ok(settings)
}

/// Returns the outer name of a fault.
fn fault_name(fault: FaultKind) -> String {
    let mut faults = FAULTS.iter();
    let found = faults.find(|(_, kind)| *kind == fault);
    found.map_or_else(String::new, |(name, _)| name.to_string())
}

/// Fetches the status of an instance from its operator address.
async fn read_status(client: &HttpClient, address: SocketAddr) -> anyhow::Result<InstanceStatus> {
    client.get(address, "/v1/status").await?.json()
}

/// Begins and ends each fault at the times given by [`fault_span`].
async fn inject_faults(
    world: Arc<FakeWorld>,
    faults: Vec<FaultKind>,
    begin: Instant,
    length: Duration,
) {
    let mut events: Vec<(Instant, FaultKind, bool)> = Vec::new();
    for kind in faults {
        let span = fault_span(kind);
        events.push((begin + length.mul_f64(span.begin), kind, true));
        if span.end < 1.0 {
            events.push((begin + length.mul_f64(span.end), kind, false));
        }
    }
    events.sort_by_key(|(at, ..)| *at);
    for (at, kind, is_begin) in events {
        tokio::time::sleep_until(at.into()).await;
        if is_begin {
            fault::begin(&world, kind);
        } else {
            fault::end(&world, kind);
        }
    }
}

/// Prints a line of statistics each second, in an endless loop.
async fn print_progress(context: Arc<TrafficContext>, begin: Instant) {
    let mut ticks = tokio::time::interval(Duration::from_secs(1));
    ticks.tick().await;
    loop {
        ticks.tick().await;
        let recent = context.stats.take_recent();
        println!(
            "{:>3} s  {:>5} queries  {:>5} complete  {:>4} partial  {:>4} refused  \
             p50 {:>6.1} ms  p99 {:>7.1} ms  coverage {:.4}",
            begin.elapsed().as_secs(),
            recent.total(),
            recent.count(CallOutcome::Complete),
            recent.count(CallOutcome::Partial),
            recent.count(CallOutcome::Refused) + recent.count(CallOutcome::Unknown),
            recent.quantile_ms(0.5),
            recent.quantile_ms(0.99),
            recent.coverage_mean()
        );
    }
}
