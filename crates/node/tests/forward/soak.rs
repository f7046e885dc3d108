//! Soak test: kills, freezes and wipes processes by a random plan, while callers send
//! requests and operators send conflicting changes. Acknowledged changes must stay,
//! table versions must never decrease, and responses must be true.
//!
//! `WHEELMAST_SOAK=SEED,STEPS` runs another plan or a longer one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_fake::fragile::FragileShard;
use wheelmast_fake::shard::FakeShard;

use crate::fragile::{
    announce_running_shards, arrival_times, count_late_arrivals, MAX_LATE_ARRIVALS,
};
use crate::harness::{route_table, send_request, wait_until, Deployment, Reply};

/// Environment variable with another seed and number of steps.
const PLAN_VARIABLE: &str = "WHEELMAST_SOAK";
/// Seed and number of steps without the environment variable, as in CI.
const DEFAULT_PLAN: (u64, usize) = (7, 10);
/// Time for which a fault lasts in each step.
const STEP_TIME: Duration = Duration::from_millis(700);
/// Number of control instances. The instances after these are entries.
const CONTROL_INSTANCES: usize = 3;
/// Number of all instances.
const INSTANCES: usize = 5;
/// Path of the orders to evacuate failure domains.
const EVACUATIONS_PATH: &str = "/v1/evacuations";
/// Last path segment of the request that crashes servers.
const DEADLY_SEGMENT: &str = "deadly";
/// Time that a crashed server takes to listen again.
const DOWN_TIME: Duration = Duration::from_millis(400);
/// Letters of the shards `s0` to `s3`; each record of a shard begins with its letter.
const LETTERS: &[u8] = b"abcd";

/// A fault that a step causes at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Kills the process.
    Kill,
    /// Stops the process with `SIGSTOP` until `SIGCONT`.
    Freeze,
    /// Kills a control instance and deletes its data folder.
    Wipe,
    /// Kills all instances at once.
    KillAll,
}

/// The table versions that operators sent and read, and the violations that callers
/// and operators found.
#[derive(Debug, Default)]
struct Ledger {
    /// Texts sent, by version; two operators may send different texts of one version.
    sent: BTreeMap<u64, Vec<String>>,
    /// The text that was first read of each version.
    read_texts: BTreeMap<u64, String>,
    /// Highest version that was acknowledged.
    acknowledged: u64,
    /// Descriptions of the violations.
    violations: Vec<String>,
}

impl Ledger {
    /// Checks a table that was read by a request that was sent when `acknowledged` was
    /// the highest acknowledged version.
    fn check_read(&mut self, text: String, acknowledged: u64) {
        let version = version_of(&text);
        if version < acknowledged {
            self.violations.push(format!(
                "read {version} after {acknowledged} was acknowledged"
            ));
        }
        let was_sent = self
            .sent
            .get(&version)
            .is_some_and(|sent| sent.contains(&text));
        if !was_sent {
            self.violations
                .push(format!("version {version} has a text that nobody sent"));
        }
        let first_text = self
            .read_texts
            .entry(version)
            .or_insert_with(|| text.clone());
        if *first_text != text {
            self.violations
                .push(format!("version {version} was read with two texts"));
        }
    }
}

/// Returns the version in the text of a route table, or 0 if there is none.
fn version_of(text: &str) -> u64 {
    let number = text.split("\"version\":").nth(1).unwrap_or_default();
    let digits: String = number
        .trim()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(0)
}

/// Returns a table of this version. The tables of two operators differ in
/// `objective_ms`.
fn operator_table(version: u64, operator: usize) -> String {
    route_table(version).replace(
        "\"objective_ms\": 500",
        &format!("\"objective_ms\": {}", 500 + operator),
    )
}

/// A deployment under test with its servers, and the state of the random plan.
struct Soak {
    deployment: Deployment,
    shards: Vec<FakeShard>,
    /// Servers that crash under one request.
    fragile_shards: Vec<FragileShard>,
    rng: SmallRng,
    ledger: Ledger,
    version: u64,
    requests: u64,
    /// Random numbers for the evacuation orders, drawn apart from all others.
    evacuation_rng: SmallRng,
    /// Whether the failure domain `there` is evacuated; `None` if the last order may or
    /// may not have been applied.
    evacuated: Option<bool>,
}

impl Soak {
    async fn start(seed: u64) -> Soak {
        let deployment = Deployment::start(9);
        let mut shards = Vec::new();
        for (number, letter) in LETTERS.iter().enumerate() {
            let domain = if number < 2 { "here" } else { "there" };
            let shard = FakeShard::start(&format!("s{number}"), domain, *letter).await;
            shards.push(shard.expect("a shard"));
        }
        for _ in 0..2 {
            let desk = FakeShard::start("desk", "here", b'x').await;
            shards.push(desk.expect("a desk"));
        }
        let mut fragile_shards = Vec::new();
        for number in 0..4 {
            let domain = if number < 2 { "here" } else { "there" };
            let service = format!("f{}", number % 2);
            let shard = FragileShard::start(&service, domain, DEADLY_SEGMENT, DOWN_TIME).await;
            fragile_shards.push(shard.expect("a shard"));
        }
        Soak {
            deployment,
            shards,
            fragile_shards,
            rng: SmallRng::seed_from_u64(seed),
            ledger: Ledger::default(),
            version: 0,
            requests: 0,
            evacuation_rng: SmallRng::seed_from_u64(seed),
            evacuated: Some(false),
        }
    }

    /// Sends two different tables of the same version, as two operators at different
    /// control instances. The first operator then sends its table again.
    fn send_table_changes(&mut self) {
        self.version += self.rng.random_range(1..4u64);
        let first = self.rng.random_range(0..CONTROL_INSTANCES);
        for (operator, to) in [(1, first), (2, (first + 1) % CONTROL_INSTANCES), (1, first)] {
            let text = operator_table(self.version, operator);
            let sent = self.ledger.sent.entry(self.version).or_default();
            sent.push(text.clone());
            let reply = self.deployment.put_table(to, &text);
            match reply.map(|reply| reply.status) {
                Some(200) => self.ledger.acknowledged = self.version,
                Some(503) | None => {}
                Some(status) => {
                    let finding = format!("a valid change was answered with {status}");
                    self.ledger.violations.push(finding);
                }
            }
        }
    }

    /// Reads the table from each control instance and checks it.
    fn read_tables(&mut self) {
        for from in 0..CONTROL_INSTANCES {
            let acknowledged = self.ledger.acknowledged;
            let reply = self.deployment.get_table(from);
            if let Some(reply) = reply.filter(|reply| reply.status == 200) {
                let text = String::from_utf8_lossy(&reply.body).to_string();
                self.ledger.check_read(text, acknowledged);
            }
        }
    }

    /// Evacuates or restores the failure domain `there` at a random control instance,
    /// and checks the list of evacuated failure domains at another one.
    fn send_evacuation_order(&mut self) {
        let evacuated = self.evacuation_rng.random_bool(0.5);
        let to = self.evacuation_rng.random_range(0..CONTROL_INSTANCES);
        let method = if evacuated { "POST" } else { "DELETE" };
        let path = format!("{EVACUATIONS_PATH}/there");
        let reply = send_request(self.deployment.front_address(to), method, &path, "", "");
        let is_accepted = reply.is_some_and(|reply| reply.status == 200);
        self.evacuated = is_accepted.then_some(evacuated);
        let from = (to + 1) % CONTROL_INSTANCES;
        let reply = send_request(
            self.deployment.front_address(from),
            "GET",
            EVACUATIONS_PATH,
            "",
            "",
        );
        let Some(reply) = reply.filter(|reply| reply.status == 200) else {
            return;
        };
        let is_listed = String::from_utf8_lossy(&reply.body).contains("there");
        if self
            .evacuated
            .is_some_and(|evacuated| evacuated != is_listed)
        {
            let finding = format!("{method} was accepted, but evacuated at n{from}: {is_listed}");
            self.ledger.violations.push(finding);
        }
    }

    /// Announces all servers, each to the first control instance that accepts the
    /// announcement.
    fn announce(&mut self) {
        for shard in &self.shards {
            let start = self.rng.random_range(0..CONTROL_INSTANCES);
            let candidates =
                (0..CONTROL_INSTANCES).map(|number| (start + number) % CONTROL_INSTANCES);
            let mut replies =
                candidates.filter_map(|to| self.deployment.announce(shard, to, false));
            replies.any(|reply| reply.status == 200);
        }
        let control: Vec<_> = (0..CONTROL_INSTANCES)
            .map(|to| self.deployment.front_address(to))
            .collect();
        announce_running_shards(&self.fragile_shards, &control);
    }

    /// Sends the request that crashes servers to both entries, and checks that at most
    /// [`MAX_LATE_ARRIVALS`] reach a server once all entries should know the request.
    fn send_deadly_requests(&mut self) {
        for entry in CONTROL_INSTANCES..INSTANCES {
            self.requests += 1;
            let id = format!("f{}", self.requests);
            let reply = self
                .deployment
                .query(entry, &format!("/f/{DEADLY_SEGMENT}"), &id);
            if reply.is_some_and(|reply| reply.status < 500) {
                let finding = format!("{id}: the request that crashes servers was answered");
                self.ledger.violations.push(finding);
            }
        }
        let late_count = count_late_arrivals(&arrival_times(&self.fragile_shards, DEADLY_SEGMENT));
        if late_count > MAX_LATE_ARRIVALS {
            let finding = format!(
                "the request that crashes servers reached them {late_count} times too late"
            );
            self.ledger.violations.push(finding);
        }
    }

    /// Sends one gathered and one non-idempotent request to each entry, and checks the
    /// responses.
    fn query_entries(&mut self) {
        for entry in CONTROL_INSTANCES..INSTANCES {
            self.requests += 1;
            let id = format!("q{}", self.requests);
            if let Some(reply) = self.deployment.query(entry, "/q/x", &id) {
                self.check_gathered(&id, &reply);
            }
            let id = format!("d{}", self.requests);
            let reply = self.deployment.query(entry, "/d/x", &id);
            self.check_once(&id, reply.as_ref());
        }
    }

    /// Checks that a gathered response holds the four greatest records of exactly the
    /// shards that its stamps name, and counts the other shards as missing.
    fn check_gathered(&mut self, id: &str, reply: &Reply) {
        if reply.status != 200 {
            return;
        }
        let header = |name: &str| {
            let mut lines = reply.head.lines();
            let line = lines.find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().trim().to_string()
        };
        let stamps = header("wheelmast-parts:");
        let stamps: Vec<&str> = stamps.split(',').map(str::trim).collect();
        let mut letters: Vec<u8> = Vec::new();
        for stamp in &stamps {
            let mut shards = self.shards.iter().zip(LETTERS);
            let found = shards.find(|(shard, _)| *stamp == format!("{}.{id}", shard.id));
            match found {
                Some((_, letter)) => letters.extend([*letter; 3]),
                None => self
                    .ledger
                    .violations
                    .push(format!("{id}: unknown stamp {stamp}")),
            }
        }
        letters.sort_unstable_by(|a, b| b.cmp(a));
        letters.truncate(4);
        let records: Vec<u8> = reply.body.chunks(16).map(|record| record[0]).collect();
        let missing = header("wheelmast-missing:").parse::<usize>().ok();
        let is_count_right = missing.is_some_and(|missing| missing + stamps.len() == LETTERS.len());
        if records != letters || !is_count_right {
            let finding = format!("{id}: {records:?} of {stamps:?}, missing {missing:?}");
            self.ledger.violations.push(finding);
        }
    }

    /// Checks that a non-idempotent request ran at most once, and not at all if the
    /// response was 503.
    fn check_once(&mut self, id: &str, reply: Option<&Reply>) {
        let runs = self.shards.iter().flat_map(FakeShard::seen);
        let count = runs.filter(|seen| seen == id).count();
        let was_refused = reply.is_some_and(|reply| reply.status == 503);
        if count > 1 || (was_refused && count > 0) {
            let status = reply.map(|reply| reply.status);
            let finding = format!("{id}: ran {count} times, answered {status:?}");
            self.ledger.violations.push(finding);
        }
    }

    /// Causes a fault at one instance, or at all instances.
    fn inject_fault(&mut self, fault: Fault, instance: usize) {
        match fault {
            Fault::Kill => self.deployment.daemons[instance].kill(),
            Fault::Freeze => self.deployment.daemons[instance].signal("STOP"),
            Fault::Wipe => {
                self.deployment.daemons[instance].kill();
                self.deployment.delete_data_folder(instance);
            }
            Fault::KillAll => {
                let daemons = &mut self.deployment.daemons;
                daemons.iter_mut().for_each(|daemon| daemon.kill());
            }
        }
    }

    /// Ends a fault: resumes a frozen process, and restarts killed ones.
    fn end_fault(&mut self, fault: Fault, instance: usize) {
        let one = [instance];
        let affected: Vec<usize> = match fault {
            Fault::KillAll => (0..INSTANCES).collect(),
            _ => one.to_vec(),
        };
        for instance in affected {
            if fault == Fault::Freeze {
                self.deployment.daemons[instance].signal("CONT");
            } else {
                self.deployment.restart_instance(instance);
            }
        }
    }

    /// Lets callers and operators send for `duration`.
    fn run_clients(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.announce();
            self.query_entries();
            self.send_deadly_requests();
            self.send_table_changes();
            self.read_tables();
            self.send_evacuation_order();
        }
    }

    /// Waits until every replica votes and has the newest table, no failure domain is
    /// evacuated, and every entry answers from all shards.
    fn wait_until_recovered(&mut self) {
        let acknowledged = self.ledger.acknowledged;
        for from in 0..CONTROL_INSTANCES {
            wait_until(
                "the replica is back and has the newest table",
                || self.deployment.get_table(from),
                |reply| {
                    let text = String::from_utf8_lossy(&reply.body);
                    reply.status == 200 && version_of(&text) >= acknowledged
                },
            );
            // A replica that lost its disk is a learner until it votes. A fault at
            // another replica before that would leave the group without a quorum.
            self.deployment.await_vote(from);
        }
        self.announce();
        let path = format!("{EVACUATIONS_PATH}/there");
        wait_until(
            "all failure domains are in use",
            || send_request(self.deployment.front_address(0), "DELETE", &path, "", ""),
            |reply| reply.status == 200,
        );
        for entry in CONTROL_INSTANCES..INSTANCES {
            wait_until(
                "the entry is back and answers from all shards",
                || self.deployment.query(entry, "/q/x", "settled"),
                |reply| reply.status == 200 && reply.head.contains("wheelmast-missing: 0"),
            );
            wait_until(
                "the crashed servers are back",
                || {
                    self.announce();
                    self.deployment.query(entry, "/f/harmless", "harmless")
                },
                |reply| reply.status == 200 && reply.head.contains("wheelmast-missing: 0"),
            );
        }
    }
}

/// Draws the fault and the instance of each step.
fn draw_faults(seed: u64, steps: usize) -> Vec<(Fault, usize)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let plan = (0..steps).map(|_| {
        let fault = match rng.random_range(0..10) {
            0..4 => Fault::Kill,
            4..7 => Fault::Freeze,
            7..9 => Fault::Wipe,
            _ => Fault::KillAll,
        };
        let range = if fault == Fault::Wipe {
            CONTROL_INSTANCES
        } else {
            INSTANCES
        };
        (fault, rng.random_range(0..range))
    });
    plan.collect()
}

/// Returns the seed and the number of steps of this run.
fn read_plan() -> (u64, usize) {
    let text = std::env::var(PLAN_VARIABLE).unwrap_or_default();
    let configured = text
        .split_once(',')
        .and_then(|(seed, steps)| Some((seed.parse().ok()?, steps.parse().ok()?)));
    configured.unwrap_or(DEFAULT_PLAN)
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_changes_stay_through_a_soak() {
    let (seed, steps) = read_plan();
    let mut soak = Soak::start(seed).await;
    wait_until(
        "the first table is accepted",
        || {
            soak.send_table_changes();
            soak.deployment.get_table(0)
        },
        |reply| reply.status == 200,
    );
    soak.announce();
    soak.wait_until_recovered();
    for (step, (fault, instance)) in draw_faults(seed, steps).into_iter().enumerate() {
        println!("seed {seed}, step {step}: {fault:?} of n{instance}");
        soak.inject_fault(fault, instance);
        soak.run_clients(STEP_TIME);
        soak.end_fault(fault, instance);
        // The deployment tolerates one fault at a time, so the next step waits until
        // all instances have recovered.
        soak.wait_until_recovered();
        assert!(
            soak.ledger.violations.is_empty(),
            "{:#?}",
            soak.ledger.violations
        );
    }
    assert!(
        soak.ledger.read_texts.len() > steps / 2,
        "the soak read too few versions"
    );
}
