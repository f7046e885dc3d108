//! The control group as processes: killed leaders, racing operators, resent
//! changes, restarts, instances without a disk.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use support::guarded::GuardedChild;
use support::{exchange, post};
use wheelmast_fake::announcer::AnnounceTarget;
use wheelmast_fake::deployment::kivela;
use wheelmast_fake::world::FakeWorld;
use wheelmast_wire::prelude::{
    InstanceStatus, MemberStatus, TableChangeResult, TableHistoryEntry, TableStatus,
};

const REPLICAS: usize = 3;
/// Instances: the replicas, and one without a disk.
const INSTANCES: usize = REPLICAS + 1;
/// Last byte and port of the address that claims a block.
const CLAIM_HOST: u8 = 250;
const CLAIM_PORT: u16 = 7400;
/// Longest time for anything that must come about.
const PATIENCE: Duration = Duration::from_secs(15);

/// Some processes of one control group; killed if the test ends early.
struct Cluster {
    folder: tempfile::TempDir,
    children: Vec<Option<GuardedChild>>,
    net: AddressBlock,
}

/// The first three bytes of a cluster's addresses.
struct AddressBlock {
    bytes: [u8; 3],
    /// Held as long as the cluster is there: no other run gets these addresses.
    _claim: TcpListener,
}

impl AddressBlock {
    /// Claims a block of this test's own, also among runs at the same time.
    fn claim(test: u8) -> AddressBlock {
        let first = std::process::id() as u8;
        let blocks = (0..=u8::MAX).map(|step| [127, 100 + test, first.wrapping_add(step)]);
        let mut claims = blocks.filter_map(|bytes| {
            let [a, b, c] = bytes;
            let address = SocketAddr::from(([a, b, c, CLAIM_HOST], CLAIM_PORT));
            let _claim = TcpListener::bind(address).ok()?;
            Some(AddressBlock { bytes, _claim })
        });
        claims.next().expect("a free block of addresses")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in 0..INSTANCES {
            self.kill(node);
        }
    }
}

fn settings_of(cluster: &Cluster, node: usize) -> String {
    let peers = (0..INSTANCES).filter(|other| *other != node).map(|other| {
        let address = cluster.address(other, 7403);
        let is_replica = other < REPLICAS;
        format!(r#"{{"name": "n{other}", "address": "{address}", "replica": {is_replica}}}"#)
    });
    let peers: Vec<String> = peers.collect();
    let data = if node < REPLICAS {
        format!(
            r#""data_folder": {:?},"#,
            cluster.path(&format!("data-{node}"))
        )
    } else {
        String::new()
    };
    format!(
        r#"{{"instance": "n{node}", "failure_domain": "d{node}", "drain_notice_ms": 10,
        "log": {{"decisions": false}},
        "listen": {{"callers": "{}", "operators": "{}", "upstreams": "{}", "peers": "{}"}},
        "cluster": {{"name": "test", "key_file": {:?}, {data} "peers": [{}]}}}}"#,
        cluster.address(node, 7400),
        cluster.address(node, 7401),
        cluster.address(node, 7402),
        cluster.address(node, 7403),
        cluster.path("key"),
        peers.join(",")
    )
}

impl Cluster {
    /// Makes folders and settings for addresses of this cluster's own.
    fn new(test: u8) -> Cluster {
        let cluster = Cluster {
            folder: tempfile::TempDir::new().expect("a folder"),
            children: (0..INSTANCES).map(|_| None).collect(),
            net: AddressBlock::claim(test),
        };
        std::fs::write(cluster.path("key"), "0123456789abcdef\n").expect("written");
        for node in 0..INSTANCES {
            let path = cluster.path(&format!("n{node}.jsonc"));
            std::fs::write(path, settings_of(&cluster, node)).expect("written");
        }
        for node in 0..REPLICAS {
            let made = cluster.command(node).arg("--init").status();
            assert!(made.expect("wheelmastd starts").success());
        }
        cluster
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn address(&self, node: usize, port: u16) -> SocketAddr {
        let [a, b, c] = self.net.bytes;
        SocketAddr::from(([a, b, c, node as u8 + 1], port))
    }

    fn command(&self, node: usize) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelmastd"));
        command
            .arg("--settings")
            .arg(self.path(&format!("n{node}.jsonc")))
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        command
    }

    fn start(&mut self, node: usize) {
        let child = GuardedChild::spawn(&mut self.command(node));
        self.children[node] = Some(child.expect("wheelmastd starts"));
    }

    fn start_all(&mut self) {
        (0..INSTANCES).for_each(|node| self.start(node));
    }

    fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.children[node].take() {
            child.kill();
        }
    }

    /// Applies a change at an instance until it is decided.
    async fn apply(&self, node: usize, base: u64, change: &str) -> TableChangeResult {
        let csv = format!("service,kind,weight\nsearch,query,{}\n", base % 1000 + 1);
        self.apply_csv(node, base, change, &csv).await
    }

    async fn apply_csv(
        &self,
        node: usize,
        base: u64,
        change: &str,
        csv: &str,
    ) -> TableChangeResult {
        let body = serde_json::json!({
            "base": base, "change": change, "note": "test", "csv": csv,
        });
        let request = post(
            "/v1/table",
            "content-type: application/json\r\n",
            &body.to_string(),
        );
        let until = Instant::now() + PATIENCE;
        let mut turn = node;
        loop {
            if let Ok((200, body)) = self.try_exchange(turn, &request).await {
                return serde_json::from_str(&body).expect("an outcome");
            }
            assert!(Instant::now() < until, "change {change} was not decided");
            turn = (turn + 1) % INSTANCES;
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    async fn try_exchange(&self, node: usize, request: &str) -> Result<(u16, String), ()> {
        let address = self.address(node, 7401);
        // An instance that is down is not there to connect to.
        if std::net::TcpStream::connect(address).is_err() {
            return Err(());
        }
        let response = exchange(address, request);
        let response = tokio::time::timeout(Duration::from_secs(6), response).await;
        response.map_err(|_| ())
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, node: usize, path: &str) -> Option<T> {
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        let (status, body) = self.try_exchange(node, &request).await.ok()?;
        (status == 200).then(|| serde_json::from_str(&body).expect("the promised JSON"))
    }

    /// Waits until `version` is in force at an instance.
    async fn wait_version(&self, node: usize, version: u64) {
        let until = Instant::now() + PATIENCE;
        loop {
            let status: Option<TableStatus> = self.get(node, "/v1/table").await;
            let found = status.map_or(0, |status| status.version);
            if found == version {
                return;
            }
            assert!(found < version, "n{node} is at {found}, beyond {version}");
            assert!(
                Instant::now() < until,
                "n{node} stays at {found}, not {version}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_leaders_and_a_whole_restart_lose_nothing() {
    const CHANGES: u64 = 120;
    let mut cluster = Cluster::new(1);
    cluster.start_all();
    for number in 0..CHANGES {
        // Each replica in turn, so that leaders are among them.
        if number % 20 == 10 {
            cluster.kill((number / 20) as usize % REPLICAS);
        }
        let outcome = cluster
            .apply((number % 4) as usize, number, &format!("c{number}"))
            .await;
        assert_eq!(
            outcome,
            TableChangeResult::Accepted {
                version: number + 1
            }
        );
        if number % 20 == 15 {
            cluster.start((number / 20) as usize % REPLICAS);
        }
    }
    for node in 0..INSTANCES {
        cluster.kill(node);
    }
    cluster.start_all();
    for node in 0..INSTANCES {
        cluster.wait_version(node, CHANGES).await;
    }
    // A resent change gets its first outcome, at any instance.
    for number in [0, 10, 59, CHANGES - 1] {
        let outcome = cluster.apply(3, number, &format!("c{number}")).await;
        assert_eq!(
            outcome,
            TableChangeResult::Accepted {
                version: number + 1
            }
        );
    }
    let history: Option<Vec<TableHistoryEntry>> = cluster.get(3, "/v1/table/history").await;
    let history = history.expect("it answers");
    for line in &history {
        assert_eq!(line.change, format!("c{}", line.version - 1));
    }
    assert_eq!(history.last().map(|line| line.version), Some(CHANGES));
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_with_equal_numbers_one_wins() {
    let mut cluster = Cluster::new(2);
    cluster.start_all();
    for base in 0..100 {
        let (one, other) = (format!("a{base}"), format!("b{base}"));
        let (one, other) =
            tokio::join!(cluster.apply(0, base, &one), cluster.apply(3, base, &other));
        let mut won = 0;
        for outcome in [one, other] {
            match outcome {
                TableChangeResult::Accepted { version } => {
                    assert_eq!(version, base + 1);
                    won += 1;
                }
                TableChangeResult::Conflict { version, csv } => {
                    assert_eq!(version, base + 1);
                    assert!(csv.contains("search"), "it shows what stands");
                }
                TableChangeResult::Rejected { findings } => panic!("{findings:?}"),
            }
        }
        assert_eq!(won, 1, "base {base}");
    }
}

/// The story: n2 led, n1 was gone. The change of `c5` was committed at n2 with
/// n0, and n2 told n3's operator "accepted, version 6" and was killed 0.3 ms
/// later, before its word of the commit had left it. n3 had passed on an
/// acknowledgement of what was not in force there, n0 held an entry that it
/// could not tell from one that was never accepted, and without a quorum both
/// stayed at 5, asking each other, for as long as the test looked. Seen on
/// copies that print: `END Done(Change(Accepted(6)))` is n2's last line but one,
/// no word of version 6 arrives at n0 or n3, and n0's questions to n3 all end
/// with `table None`. What comes in force is acknowledged since only once a
/// quorum has kept that it is committed.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_does_not_come_back_as_itself_and_a_quorum_goes_on() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    for number in 0..5 {
        cluster.apply(0, number, &format!("c{number}")).await;
    }
    cluster.kill(1);
    std::fs::remove_dir_all(cluster.path("data-1")).expect("the disk is lost");
    let status = cluster.command(1).status().expect("wheelmastd starts");
    assert_eq!(status.code(), Some(1));
    let outcome = cluster.apply(3, 5, "c5").await;
    assert_eq!(outcome, TableChangeResult::Accepted { version: 6 });
    // Without a quorum nothing is accepted, and what is in force stays.
    cluster.kill(2);
    let body = r#"{"base":6,"change":"c6","csv":"service,kind\nsearch,query\n"}"#;
    let request = post("/v1/table", "content-type: application/json\r\n", body);
    let (status, body) = cluster.try_exchange(3, &request).await.expect("it answers");
    assert!(status == 503 || status == 504, "{status}: {body}");
    cluster.wait_version(0, 6).await;
    cluster.wait_version(3, 6).await;
    cluster.start(2);
    let outcome = cluster.apply(3, 6, "c6").await;
    assert_eq!(outcome, TableChangeResult::Accepted { version: 7 });
    cluster.wait_version(3, 7).await;
}

/// Two of the three others are gone, and the instance that starts asks for the
/// table: whichever it asks first, it must not wait for its next turn with each
/// one that is not there.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_finds_the_one_that_is_left() {
    const STARTS: usize = 8;
    /// Two of its turns: it must not need a third.
    const FOUND_IN: Duration = Duration::from_secs(1);
    let mut cluster = Cluster::new(7);
    cluster.start_all();
    cluster.apply(3, 0, "c0").await;
    cluster.wait_version(0, 1).await;
    cluster.kill(1);
    cluster.kill(2);
    for start in 0..STARTS {
        cluster.kill(3);
        cluster.start(3);
        while cluster.get::<TableStatus>(3, "/v1/table").await.is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let begin = Instant::now();
        cluster.wait_version(3, 1).await;
        let found = begin.elapsed();
        assert!(found < FOUND_IN, "start {start}: after {found:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_cluster_key_is_turned_away() {
    let mut cluster = Cluster::new(4);
    cluster.start_all();
    cluster.apply(0, 0, "c0").await;
    let address = cluster.address(0, 7403);
    let request = post("/v1/peer", "wheelmast-key: 0123456789abcdeX\r\n", "x");
    let (status, body) = exchange(address, &request).await;
    assert_eq!((status, body.as_str()), (403, "wrong cluster key"));
}

/// Submits a work order with a key at an instance.
async fn submit(cluster: &Cluster, node: usize, key: &str, term: &str) -> (u16, String) {
    let headers = format!("idempotency-key: {key}\r\n");
    let body = format!("{{\"term\":\"{term}\"}}");
    let request = post("/v1/submit/work-orders", &headers, &body);
    exchange(cluster.address(node, 7400), &request).await
}

async fn wait_ready(cluster: &Cluster, node: usize) {
    let until = Instant::now() + PATIENCE;
    let request = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    while exchange(cluster.address(node, 7400), request).await.0 != 200 {
        assert!(Instant::now() < until, "n{node} did not become ready");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits, for a drain's three seconds, until an instance sees a server in a
/// phase.
async fn wait_phase(cluster: &Cluster, node: usize, server: &str, phase: &str) {
    let until = Instant::now() + Duration::from_secs(3);
    loop {
        let status: Option<InstanceStatus> = cluster.get(node, "/v1/status").await;
        let servers = status.map(|status| status.servers).unwrap_or_default();
        let found = servers.iter().find(|found| found.server == server);
        if found.is_some_and(|found| found.phase == phase) {
            return;
        }
        assert!(
            Instant::now() < until,
            "n{node} sees {found:?}, not {phase}"
        );
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn members_notice_a_killed_one_and_take_it_back() {
    let mut cluster = Cluster::new(6);
    cluster.start_all();
    wait_members(&cluster, INSTANCES).await;
    cluster.kill(2);
    wait_members(&cluster, INSTANCES - 1).await;
    cluster.start(2);
    wait_members(&cluster, INSTANCES).await;
}

/// Waits until every running instance sees `count` members alive.
async fn wait_members(cluster: &Cluster, count: usize) {
    let until = Instant::now() + PATIENCE;
    let running = (0..INSTANCES).filter(|node| cluster.children[*node].is_some());
    for node in running {
        loop {
            let members: Option<Vec<MemberStatus>> = cluster.get(node, "/v1/members").await;
            let members = members.unwrap_or_default();
            let alive = members.iter().filter(|member| member.standing == "alive");
            if alive.count() == count {
                break;
            }
            assert!(
                Instant::now() < until,
                "n{node} sees {members:?}, not {count} alive"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_submission_runs_once_over_all_instances() {
    let mut cluster = Cluster::new(5);
    cluster.start_all();
    let table = include_str!("../../../examples/kivela.csv");
    cluster.apply_csv(0, 0, "c0", table).await;
    let world = FakeWorld::start(kivela()).await.expect("fakes start");
    // At one instance only: the others hear of the servers from it.
    let target = AnnounceTarget {
        address: cluster.address(3, 7402),
        source: cluster.address(3, 0).ip(),
    };
    world.announce_at(target, "oulu");
    for node in 0..INSTANCES {
        wait_ready(&cluster, node).await;
    }
    for round in 0..20 {
        let (key, term) = (format!("k{round}"), format!("order-{round}"));
        let (one, two, three) = tokio::join!(
            submit(&cluster, 0, &key, &term),
            submit(&cluster, 3, &key, &term),
            submit(&cluster, 1, &key, &term)
        );
        let all = [one, two, three];
        assert!(all.iter().any(|(status, _)| *status == 200), "{all:?}");
        let is_told = |status: &u16| [200, 409].contains(status);
        assert!(all.iter().all(|(status, _)| is_told(status)), "{all:?}");
        let (status, answer) = submit(&cluster, 2, &key, &term).await;
        assert_eq!(status, 200, "{answer}");
        assert!(all.iter().any(|(_, first)| *first == answer));
        assert_eq!(world.ledger.runs(&term), 1);
    }
    // A drain announced at that one instance is known at all.
    let leaving = &world.upstream("kiln-watch")[0];
    leaving.drain();
    for node in 0..INSTANCES {
        wait_phase(&cluster, node, &leaving.shape.name, "draining").await;
    }
    let (status, body) = submit(&cluster, 1, "k0", "something else").await;
    assert_eq!(status, 422, "{body}");
    cluster.kill(0);
    cluster.kill(1);
    let (status, body) = submit(&cluster, 3, "k99", "order-99").await;
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("not-run"), "{body}");
    assert_eq!(world.ledger.runs("order-99"), 0);
    // Reads go on without a quorum.
    let query = post("/v1/query/kiln-watch", "", "{\"term\":\"a\"}");
    let (status, body) = exchange(cluster.address(3, 7400), &query).await;
    assert_eq!(status, 200, "{body}");
}
