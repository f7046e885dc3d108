//! A soak: processes are killed, frozen and wiped by a plan that a seed draws,
//! while callers ask and operators race each other. Whatever happens, what was
//! acknowledged stays, nothing goes back, and answers tell the truth.
//!
//! `WHEELMAST_SOAK=SEED,STEPS` plays another plan, or a longer one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_fake::fragile::FragileShard;
use wheelmast_fake::shard::FakeShard;

use crate::fragile::{announce_all, arrivals_of, count_late, MOST_LATE};
use crate::harness::{ask, route_table, until, Deployment, Reply};

/// Variable that names another seed and number of steps.
const PLAN_VARIABLE: &str = "WHEELMAST_SOAK";
/// The plan of CI.
const PLAN: (u64, usize) = (7, 10);
/// Time between two steps.
const STEP_TIME: Duration = Duration::from_millis(700);
/// Control instances; those after are entries.
const CONTROLS: usize = 3;
/// All instances.
const INSTANCES: usize = 5;
/// Path of the orders on failure domains.
const EVACUATIONS: &str = "/v1/evacuations";
/// Path of the request that ends servers.
const DEADLY: &str = "deadly";
/// Time that a server which ended is away.
const DOWN_TIME: Duration = Duration::from_millis(400);
/// Letters of the shards.
const LETTERS: &[u8] = b"abcd";

/// What is done to an instance in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Kill,
    Freeze,
    /// It loses its disk as well; control instances only.
    Wipe,
    /// All are killed at once.
    KillAll,
}

/// What callers and operators know, and what they found broken.
#[derive(Debug, Default)]
struct Ledger {
    /// Texts sent, by version: two operators may send the same version.
    sent: BTreeMap<u64, Vec<String>>,
    /// The text that a version turned out to have.
    known: BTreeMap<u64, String>,
    /// Highest version that was acknowledged.
    acknowledged: u64,
    broken: Vec<String>,
}

impl Ledger {
    /// Takes a read that began when `acknowledged` was the highest version.
    fn read(&mut self, text: String, acknowledged: u64) {
        let version = version_of(&text);
        if version < acknowledged {
            self.broken.push(format!(
                "read {version} after {acknowledged} was acknowledged"
            ));
        }
        let was_sent = self
            .sent
            .get(&version)
            .is_some_and(|sent| sent.contains(&text));
        if !was_sent {
            self.broken
                .push(format!("version {version} holds what nobody sent"));
        }
        let known = self.known.entry(version).or_insert_with(|| text.clone());
        if *known != text {
            self.broken
                .push(format!("version {version} holds two texts"));
        }
    }
}

fn version_of(text: &str) -> u64 {
    let number = text.split("\"version\":").nth(1).unwrap_or_default();
    let digits: String = number
        .trim()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(0)
}

/// A table of a version; operators tell theirs apart by the time limit.
fn table_of(version: u64, operator: usize) -> String {
    route_table(version).replace(
        "\"objective_ms\": 500",
        &format!("\"objective_ms\": {}", 500 + operator),
    )
}

struct Soak {
    deployment: Deployment,
    shards: Vec<FakeShard>,
    /// Servers that end under one request.
    fragile: Vec<FragileShard>,
    rng: SmallRng,
    ledger: Ledger,
    version: u64,
    requests: u64,
    /// Draws the orders on failure domains, apart from the rest.
    orders: SmallRng,
    /// Whether the other domain is out of use, if that is known for sure.
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
        let mut fragile = Vec::new();
        for number in 0..4 {
            let domain = if number < 2 { "here" } else { "there" };
            let service = format!("f{}", number % 2);
            let shard = FragileShard::start(&service, domain, DEADLY, DOWN_TIME).await;
            fragile.push(shard.expect("a shard"));
        }
        Soak {
            deployment,
            shards,
            fragile,
            rng: SmallRng::seed_from_u64(seed),
            ledger: Ledger::default(),
            version: 0,
            requests: 0,
            orders: SmallRng::seed_from_u64(seed),
            evacuated: Some(false),
        }
    }

    /// Two operators change the table at the same version, each at an instance
    /// of its own; one of them sends its change again.
    fn change(&mut self) {
        self.version += self.rng.random_range(1..4u64);
        let first = self.rng.random_range(0..CONTROLS);
        for (operator, to) in [(1, first), (2, (first + 1) % CONTROLS), (1, first)] {
            let text = table_of(self.version, operator);
            let sent = self.ledger.sent.entry(self.version).or_default();
            sent.push(text.clone());
            let reply = self.deployment.put_table(to, &text);
            match reply.map(|reply| reply.status) {
                Some(200) => self.ledger.acknowledged = self.version,
                Some(503) | None => {}
                Some(status) => {
                    let finding = format!("a good change was answered with {status}");
                    self.ledger.broken.push(finding);
                }
            }
        }
    }

    fn read(&mut self) {
        for from in 0..CONTROLS {
            let acknowledged = self.ledger.acknowledged;
            let reply = self.deployment.get_table(from);
            if let Some(reply) = reply.filter(|reply| reply.status == 200) {
                let text = String::from_utf8_lossy(&reply.body).to_string();
                self.ledger.read(text, acknowledged);
            }
        }
    }

    /// An operator takes the other domain out of use or back, at any instance,
    /// and reads what is so at another.
    fn order(&mut self) {
        let evacuated = self.orders.random_bool(0.5);
        let to = self.orders.random_range(0..CONTROLS);
        let method = if evacuated { "POST" } else { "DELETE" };
        let path = format!("{EVACUATIONS}/there");
        let reply = ask(self.deployment.front(to), method, &path, "", "");
        let is_taken = reply.is_some_and(|reply| reply.status == 200);
        self.evacuated = is_taken.then_some(evacuated);
        let from = (to + 1) % CONTROLS;
        let reply = ask(self.deployment.front(from), "GET", EVACUATIONS, "", "");
        let Some(reply) = reply.filter(|reply| reply.status == 200) else {
            return;
        };
        let is_out = String::from_utf8_lossy(&reply.body).contains("there");
        if self.evacuated.is_some_and(|evacuated| evacuated != is_out) {
            let finding = format!("{method} was taken, and n{from} says out of use: {is_out}");
            self.ledger.broken.push(finding);
        }
    }

    /// Announces all servers, each where it finds somebody.
    fn announce(&mut self) {
        for shard in &self.shards {
            let start = self.rng.random_range(0..CONTROLS);
            let tries = (0..CONTROLS).map(|number| (start + number) % CONTROLS);
            let mut tries = tries.filter_map(|to| self.deployment.announce(shard, to, false));
            tries.any(|reply| reply.status == 200);
        }
        let control: Vec<_> = (0..CONTROLS).map(|to| self.deployment.front(to)).collect();
        announce_all(&self.fragile, &control);
    }

    /// Asks for what ends servers, at both entries, and checks that no server
    /// gets it once all know it.
    fn ask_deadly(&mut self) {
        for entry in CONTROLS..INSTANCES {
            self.requests += 1;
            let id = format!("f{}", self.requests);
            let reply = self.deployment.query(entry, &format!("/f/{DEADLY}"), &id);
            if reply.is_some_and(|reply| reply.status < 500) {
                let finding = format!("{id}: what ends servers was answered");
                self.ledger.broken.push(finding);
            }
        }
        let late = count_late(&arrivals_of(&self.fragile, DEADLY));
        if late > MOST_LATE {
            let finding = format!("what ends servers came to them {late} times more");
            self.ledger.broken.push(finding);
        }
    }

    fn ask(&mut self) {
        for entry in CONTROLS..INSTANCES {
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

    /// A gathered answer holds the greatest records of just the shards that it
    /// names, and counts the others.
    fn check_gathered(&mut self, id: &str, reply: &Reply) {
        if reply.status != 200 {
            return;
        }
        let line = |name: &str| {
            let mut lines = reply.head.lines();
            let line = lines.find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().trim().to_string()
        };
        let stamps = line("wheelmast-parts:");
        let stamps: Vec<&str> = stamps.split(',').map(str::trim).collect();
        let mut letters: Vec<u8> = Vec::new();
        for stamp in &stamps {
            let mut shards = self.shards.iter().zip(LETTERS);
            let found = shards.find(|(shard, _)| *stamp == format!("{}.{id}", shard.id));
            match found {
                Some((_, letter)) => letters.extend([*letter; 3]),
                None => self
                    .ledger
                    .broken
                    .push(format!("{id}: a stamp of nobody, {stamp}")),
            }
        }
        letters.sort_unstable_by(|a, b| b.cmp(a));
        letters.truncate(4);
        let records: Vec<u8> = reply.body.chunks(16).map(|record| record[0]).collect();
        let missing = line("wheelmast-missing:").parse::<usize>().ok();
        let counts = missing.is_some_and(|missing| missing + stamps.len() == LETTERS.len());
        if records != letters || !counts {
            let finding = format!("{id}: {records:?} of {stamps:?}, missing {missing:?}");
            self.ledger.broken.push(finding);
        }
    }

    /// What may not be repeated runs once, and not at all if that was said.
    fn check_once(&mut self, id: &str, reply: Option<&Reply>) {
        let runs = self.shards.iter().flat_map(FakeShard::seen);
        let count = runs.filter(|seen| seen == id).count();
        let is_known_unrun = reply.is_some_and(|reply| reply.status == 503);
        if count > 1 || (is_known_unrun && count > 0) {
            let status = reply.map(|reply| reply.status);
            let finding = format!("{id}: ran {count} times, answered {status:?}");
            self.ledger.broken.push(finding);
        }
    }

    fn wound(&mut self, fault: Fault, instance: usize) {
        match fault {
            Fault::Kill => self.deployment.daemons[instance].kill(),
            Fault::Freeze => self.deployment.daemons[instance].signal("STOP"),
            Fault::Wipe => {
                self.deployment.daemons[instance].kill();
                self.deployment.lose_disk(instance);
            }
            Fault::KillAll => {
                let daemons = &mut self.deployment.daemons;
                daemons.iter_mut().for_each(|daemon| daemon.kill());
            }
        }
    }

    fn heal(&mut self, fault: Fault, instance: usize) {
        let all = [instance];
        let healed: Vec<usize> = match fault {
            Fault::KillAll => (0..INSTANCES).collect(),
            _ => all.to_vec(),
        };
        for instance in healed {
            if fault == Fault::Freeze {
                self.deployment.daemons[instance].signal("CONT");
            } else {
                self.deployment.start_again(instance);
            }
        }
    }

    /// Lets callers and operators go on for a while.
    fn go_on(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.announce();
            self.ask();
            self.ask_deadly();
            self.change();
            self.read();
            self.order();
        }
    }

    /// Waits until all is well: every replica has the newest table, and every
    /// entry gives whole answers.
    fn settle(&mut self) {
        let acknowledged = self.ledger.acknowledged;
        for from in 0..CONTROLS {
            until(
                "a replica is back",
                || self.deployment.get_table(from),
                |reply| {
                    let text = String::from_utf8_lossy(&reply.body);
                    reply.status == 200 && version_of(&text) >= acknowledged
                },
            );
            // One without a disk is not back before it votes: until then the
            // loss of another one would be the second.
            self.deployment.await_vote(from);
        }
        self.announce();
        let path = format!("{EVACUATIONS}/there");
        until(
            "all are in use",
            || ask(self.deployment.front(0), "DELETE", &path, "", ""),
            |reply| reply.status == 200,
        );
        for entry in CONTROLS..INSTANCES {
            until(
                "an entry is back",
                || self.deployment.query(entry, "/q/x", "settled"),
                |reply| reply.status == 200 && reply.head.contains("wheelmast-missing: 0"),
            );
            until(
                "servers that ended are back",
                || {
                    self.announce();
                    self.deployment.query(entry, "/f/harmless", "harmless")
                },
                |reply| reply.status == 200 && reply.head.contains("wheelmast-missing: 0"),
            );
        }
    }
}

/// Draws what is done to whom, step by step.
fn draw_faults(seed: u64, steps: usize) -> Vec<(Fault, usize)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let faults = (0..steps).map(|_| {
        let fault = match rng.random_range(0..10) {
            0..4 => Fault::Kill,
            4..7 => Fault::Freeze,
            7..9 => Fault::Wipe,
            _ => Fault::KillAll,
        };
        let range = if fault == Fault::Wipe {
            CONTROLS
        } else {
            INSTANCES
        };
        (fault, rng.random_range(0..range))
    });
    faults.collect()
}

fn plan() -> (u64, usize) {
    let text = std::env::var(PLAN_VARIABLE).unwrap_or_default();
    let named = text
        .split_once(',')
        .and_then(|(seed, steps)| Some((seed.parse().ok()?, steps.parse().ok()?)));
    named.unwrap_or(PLAN)
}

#[tokio::test(flavor = "multi_thread")]
async fn what_was_acknowledged_stays_through_a_soak() {
    let (seed, steps) = plan();
    let mut soak = Soak::start(seed).await;
    until(
        "first table",
        || {
            soak.change();
            soak.deployment.get_table(0)
        },
        |reply| reply.status == 200,
    );
    soak.announce();
    soak.settle();
    for (step, (fault, instance)) in draw_faults(seed, steps).into_iter().enumerate() {
        println!("seed {seed}, step {step}: {fault:?} of n{instance}");
        soak.wound(fault, instance);
        soak.go_on(STEP_TIME);
        soak.heal(fault, instance);
        // One at a time is borne: the next comes when all are back.
        soak.settle();
        assert!(soak.ledger.broken.is_empty(), "{:#?}", soak.ledger.broken);
    }
    assert!(soak.ledger.known.len() > steps / 2, "the soak read little");
}
