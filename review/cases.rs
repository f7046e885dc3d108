//! The cases: each plays its disruption and returns whether its rule was broken.

use std::collections::{BTreeMap, HashMap};

use super::*;

/// Number of shards, as on the small installations.
const SHARDS: usize = 20;
/// Records in a part: 62 of 16 bytes are about 1,000 bytes.
const PART_RECORDS: usize = 62;
/// `top-k` of the wide and of the narrow route.
const WIDE_TOP: usize = 50;
const NARROW_TOP: usize = 5;

/// Manifest with a wide gathered route and, if `has_narrow`, a route with a longer prefix
/// that asks the same shards for fewer records.
fn gather_manifest(version: u64, shards: &[String], has_narrow: bool) -> String {
    let names: Vec<String> = shards.iter().map(|name| format!("\"{name}\"")).collect();
    let names = names.join(",");
    let wide = format!("{{\"name\":\"r-wear\",\"host\":\"{HOST}\",\"path-prefix\":\"/wear/\",\"idempotency\":\"idempotent\",\"timeout-ms\":2000,\"target-latency-ms\":200,\"priority\":1,\"gather\":[{names}],\"max-attempts\":2,\"top-k\":{WIDE_TOP},\"min-coverage\":0.89}}");
    let narrow = format!(",{{\"name\":\"r-now\",\"host\":\"{HOST}\",\"path-prefix\":\"/wear/now/\",\"idempotency\":\"idempotent\",\"timeout-ms\":2000,\"target-latency-ms\":200,\"priority\":1,\"gather\":[{names}],\"max-attempts\":2,\"top-k\":{NARROW_TOP},\"min-coverage\":0.89}}");
    format!(
        "{{\"version\":{version},\"routes\":[{wide}{}],\"services\":[{}],\"limits\":{}}}",
        if has_narrow { &narrow } else { "" },
        services_json(shards, 26),
        limits_json(262_144)
    )
}

/// Judges a success to a gathered request, as MIXED says. Returns what is wrong, or else
/// the `top-k` that fits.
fn judge_gathered(answer: &Message, id: &str, shards: &[String]) -> Result<usize, String> {
    let stamps: Vec<&str> = answer
        .headers
        .iter()
        .filter(|(name, _)| name == "x-part-stamps")
        .flat_map(|(_, value)| value.split(','))
        .map(str::trim)
        .collect();
    let missing: usize = answer
        .header("x-missing-parts")
        .unwrap_or("0")
        .parse()
        .unwrap_or(0);
    let mut named = HashSet::new();
    let mut records = Vec::new();
    for stamp in &stamps {
        let mut words = stamp.split('.');
        let (service, request) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        if request != id || !shards.iter().any(|shard| shard == service) {
            return Err(format!("a digest of another request or service: {stamp}"));
        }
        if !named.insert(service.to_string()) {
            return Err(format!("two digests of {service}"));
        }
        records.extend(records_of(service, id, PART_RECORDS));
    }
    if stamps.len() + missing != shards.len() {
        return Err(format!("{} parts and {missing} missing", stamps.len()));
    }
    records.sort_unstable_by(|one, other| other.cmp(one));
    for top in [WIDE_TOP, NARROW_TOP] {
        let expected = records[..top.min(records.len())].concat();
        if answer.body == expected {
            return Ok(top);
        }
    }
    let greatest: HashSet<&[u8]> = records[..WIDE_TOP]
        .iter()
        .map(|record| &record[..])
        .collect();
    let right = answer
        .body
        .chunks(16)
        .filter(|record| greatest.contains(record))
        .count();
    Err(format!(
        "{} parts and {missing} missing are named, and the body has {} records, of which {right} belong to the greatest {WIDE_TOP} of these parts",
        stamps.len(),
        answer.body.len() / 16
    ))
}

/// Case 1: a manifest adds and removes a route with a longer prefix while requests to it
/// are relayed between entries.
pub(crate) fn check_relayed(folder: &Path) -> bool {
    const FREEZE: Duration = Duration::from_secs(4);
    let stage = Stage::start(folder, &["hall-a", "hall-b", "hall-c"]);
    let record = stage.record.clone();
    let world = stage.server_world(PART_RECORDS, Duration::from_millis(7));
    let shards: Vec<String> = (0..SHARDS)
        .map(|shard| format!("shard{shard:02}"))
        .collect();
    let mut servers = Vec::new();
    for (number, shard) in shards.iter().enumerate() {
        // Each shard has two servers, in two of the three failure domains.
        for index in 0..2 {
            let zone = ZONES[(number + index) % ZONES.len()].0;
            let ip = stage.ip(60 + (number * 2 + index) as u8);
            servers.push(Server::start(&world, shard, zone, ip));
        }
    }
    let mut version = 1;
    let first = gather_manifest(version, &shards, true);
    if stage
        .order("PUT", "/v1/config", &first, &[0, 1, 2])
        .is_none()
    {
        stage.give_up("the first manifest was not acknowledged");
    }
    stage.wait_ready();
    std::thread::sleep(Duration::from_secs(4));

    let stopped = AtomicBool::new(false);
    let (sent, wide, narrow, other) = (
        AtomicU64::new(0),
        AtomicU64::new(0),
        AtomicU64::new(0),
        AtomicU64::new(0),
    );
    let wrong = AtomicU64::new(0);
    let front = stage.front(2);
    std::thread::scope(|scope| {
        for client in 0..8_u64 {
            let (stopped, record, shards) = (&stopped, &record, &shards);
            let (sent, wide, narrow, other, wrong) = (&sent, &wide, &narrow, &other, &wrong);
            scope.spawn(move || {
                std::thread::sleep(Duration::from_millis(client * 25));
                let mut connection = None;
                let mut number = 0;
                while !stopped.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("c{client}n{number}");
                    let path = format!("/wear/now/{number}");
                    sent.fetch_add(1, Ordering::Relaxed);
                    let timeout = Duration::from_millis(2100);
                    let open = connection.take().or_else(|| Connection::open(front, timeout));
                    let answer = open.and_then(|mut open| {
                        let lines = format!("X-Request-Id: {id}\r\nX-Deadline-Ms: 2000\r\n");
                        let answer = open.call("GET", &path, &lines, b"")?;
                        let closes = answer.header("connection") == Some("close");
                        connection = (!closes).then_some(open);
                        Some(answer)
                    });
                    let status = answer.as_ref().map_or(0, Message::status);
                    match answer.filter(|_| status == 200) {
                        None => {
                            other.fetch_add(1, Ordering::Relaxed);
                            record.write(&format!("client sends GET {path} {id}, hears {status}"));
                        }
                        Some(answer) => match judge_gathered(&answer, &id, shards) {
                            Ok(top) => {
                                let count = if top == WIDE_TOP { wide } else { narrow };
                                count.fetch_add(1, Ordering::Relaxed);
                                record.write(&format!("client sends GET {path} {id}, hears 200 with the greatest {top}"));
                            }
                            Err(why) => {
                                wrong.fetch_add(1, Ordering::Relaxed);
                                record.write(&format!("WRONG: client sends GET {path} {id}, hears 200: {why}"));
                            }
                        },
                    }
                    std::thread::sleep(Duration::from_millis(190));
                }
            });
        }
        for _ in 0..3 {
            std::thread::sleep(Duration::from_secs(9));
            if !stage.has_trouble {
                std::thread::sleep(FREEZE);
                continue;
            }
            record.write("core-2 is frozen");
            stage.controls[2].signal("STOP");
            let began = Instant::now();
            for _ in 0..4 {
                std::thread::sleep(Duration::from_millis(400));
                version += 1;
                let manifest = gather_manifest(version, &shards, version % 2 == 1);
                stage.order("PUT", "/v1/config", &manifest, &[0, 1]);
                std::thread::sleep(Duration::from_millis(500));
            }
            std::thread::sleep(FREEZE.saturating_sub(began.elapsed()));
            record.write("core-2 wakes up");
            stage.controls[2].signal("CONT");
        }
        std::thread::sleep(Duration::from_secs(3));
        stopped.store(true, Ordering::Relaxed);
    });
    world.stopped.store(true, Ordering::Relaxed);
    let [sent, wide, narrow, other, wrong] =
        [sent, wide, narrow, other, wrong].map(|count| count.load(Ordering::Relaxed));
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in world.runs.lock().expect("the runs").iter() {
        let server = run.server.trim_start_matches("i-").to_string();
        runs.entry(run.request.clone()).or_default().push(server);
    }
    for (request, servers) in &runs {
        record.write(&format!("{request} ran at {}", servers.join(" ")));
    }
    record.say(&format!("{sent} requests sent; successes with the greatest {WIDE_TOP} {wide}, with the greatest {NARROW_TOP} {narrow}; not served {other}; wrong successes {wrong}; {} changes", version - 1));
    if wide + narrow < sent / 2 {
        stage.give_up("fewer than half of the requests were served");
    }
    record.say(if wrong > 0 {
        "MIXED is broken"
    } else {
        "MIXED held"
    });
    wrong > 0
}

/// Case 2: a control instance that was frozen wakes up and takes an order from its socket
/// that the operator has long had confirmed elsewhere, and has replaced since.
pub(crate) fn check_late_order(folder: &Path) -> bool {
    const EVACUATE: Duration = Duration::from_millis(5000);
    const STABILITY: Duration = Duration::from_millis(6000);
    const UNSETTLED_GRACE: Duration = Duration::from_millis(15_000);
    const FREEZE: Duration = Duration::from_millis(7000);
    let stage = Stage::start(folder, &["hall-a", "hall-b"]);
    let record = stage.record.clone();
    let world = stage.server_world(0, Duration::from_millis(60));
    for number in 0..4_u8 {
        let zone = ["hall-a", "hall-b"][number as usize % 2];
        Server::start(&world, "orders", zone, stage.ip(60 + number));
    }
    let manifest = plain_manifest(1, "orders", 262_144);
    if stage
        .order("PUT", "/v1/config", &manifest, &[0, 1, 2])
        .is_none()
    {
        stage.give_up("the manifest was not acknowledged");
    }
    stage.wait_ready();
    std::thread::sleep(Duration::from_secs(4));

    let stopped = AtomicBool::new(false);
    let (sent, served) = (AtomicU64::new(0), AtomicU64::new(0));
    // When clients sent their requests.
    let sent_at: Mutex<HashMap<String, Duration>> = Mutex::default();
    let mut confirmed_at = Duration::ZERO;
    let mut calm_at = Duration::ZERO;
    std::thread::scope(|scope| {
        for client in 0..8_usize {
            let (stopped, record, sent, served) = (&stopped, &record, &sent, &served);
            let sent_at = &sent_at;
            let front = stage.front(client % 2);
            scope.spawn(move || {
                std::thread::sleep(Duration::from_millis(client as u64 * 25));
                let mut number = 0;
                while !stopped.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("c{client}n{number}");
                    sent.fetch_add(1, Ordering::Relaxed);
                    let mut times = sent_at.lock().expect("the times");
                    times.insert(id.clone(), record.now());
                    drop(times);
                    let answer = Connection::open(front, Duration::from_secs(6)).and_then(|mut open| {
                        let lines = format!("X-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\nConnection: close\r\n");
                        open.call("GET", &format!("/orders/{number}"), &lines, b"")
                    });
                    let status = answer.map_or(0, |answer| answer.status());
                    served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                    record.write(&format!("client sends GET /orders/{number} {id}, hears {status}"));
                    std::thread::sleep(Duration::from_millis(200));
                }
            });
        }
        let path = "/v1/evacuations/hall-b";
        let give_up = || -> Duration {
            stopped.store(true, Ordering::Relaxed);
            stage.give_up("an evacuation order was not acknowledged")
        };
        std::thread::sleep(Duration::from_secs(2));
        stage
            .order("POST", path, "", &[0, 1, 2])
            .unwrap_or_else(give_up);
        std::thread::sleep(Duration::from_secs(4));
        let began = Instant::now();
        if stage.has_trouble {
            record.write("core-2 is frozen");
            stage.controls[2].signal("STOP");
        }
        std::thread::sleep(Duration::from_millis(500));
        stage
            .order("DELETE", path, "", &[2, 1, 0])
            .unwrap_or_else(give_up);
        std::thread::sleep(Duration::from_millis(2500));
        confirmed_at = stage
            .order("POST", path, "", &[1, 0])
            .unwrap_or_else(give_up);
        record.write("the evacuation is confirmed; no other order follows");
        std::thread::sleep(FREEZE.saturating_sub(began.elapsed()));
        if stage.has_trouble {
            record.write("core-2 wakes up");
            stage.controls[2].signal("CONT");
        }
        calm_at = record.now() + STABILITY;
        std::thread::sleep(Duration::from_secs(35));
        stopped.store(true, Ordering::Relaxed);
    });
    world.stopped.store(true, Ordering::Relaxed);
    let due_at = (confirmed_at + EVACUATE + UNSETTLED_GRACE).max(calm_at);
    let runs = world.runs.lock().expect("the runs").clone();
    let sent_at = sent_at.into_inner().expect("the times");
    // Both the client's send and the run count from then on.
    let is_counted = |run: &&Run| {
        let sent_at = sent_at.get(&run.request);
        run.at > due_at && sent_at.is_some_and(|sent_at| *sent_at > due_at)
    };
    let after = runs.iter().filter(is_counted).count();
    let late = runs.iter().filter(is_counted);
    let late = late.filter(|run| run.zone == "hall-b").count();
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    record.say(&format!(
        "{sent} requests sent, {served} served; sent later than {} ms, {after} arrived at servers, {late} of them in the evacuated hall-b (evacuation confirmed at {} ms)",
        due_at.as_millis(),
        confirmed_at.as_millis()
    ));
    if served < sent / 2 || after == 0 {
        stage.give_up("fewer than half of the requests were served");
    }
    record.say(if late > 0 {
        "EVAC is broken"
    } else {
        "EVAC held"
    });
    late > 0
}

/// Case 3: a server's departure is confirmed, and right after it all processes are killed.
/// They forget the departure, and remember the server.
pub(crate) fn check_departed(folder: &Path) -> bool {
    const DRAIN: Duration = Duration::from_millis(3000);
    const STABILITY: Duration = Duration::from_millis(4000);
    /// How long the server goes on to serve after the confirmation.
    const SERVES_ON: Duration = Duration::from_secs(13);
    let mut stage = Stage::start(folder, &["hall-a", "hall-b"]);
    let record = stage.record.clone();
    let world = stage.server_world(0, Duration::from_millis(160));
    let leaving = Server::start(&world, "orders", "hall-a", stage.ip(60));
    let _staying = Server::start(&world, "orders", "hall-b", stage.ip(61));
    let manifest = plain_manifest(1, "orders", 262_144);
    if stage
        .order("PUT", "/v1/config", &manifest, &[0, 1, 2])
        .is_none()
    {
        stage.give_up("the manifest was not acknowledged");
    }
    stage.wait_ready();
    std::thread::sleep(Duration::from_secs(4));

    let stopped = AtomicBool::new(false);
    let (sent, served) = (AtomicU64::new(0), AtomicU64::new(0));
    // When clients sent their requests.
    let sent_at: Mutex<HashMap<String, Duration>> = Mutex::default();
    let mut confirmed_at = Duration::ZERO;
    let mut back_at = Duration::ZERO;
    let fronts = [stage.front(0), stage.front(1)];
    std::thread::scope(|scope| {
        for client in 0..6_usize {
            let (stopped, record, sent, served) = (&stopped, &record, &sent, &served);
            let sent_at = &sent_at;
            let front = fronts[client % 2];
            scope.spawn(move || {
                std::thread::sleep(Duration::from_millis(client as u64 * 90));
                let mut number = 0;
                while !stopped.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("c{client}n{number}");
                    sent.fetch_add(1, Ordering::Relaxed);
                    let mut times = sent_at.lock().expect("the times");
                    times.insert(id.clone(), record.now());
                    drop(times);
                    let answer = Connection::open(front, Duration::from_secs(6)).and_then(|mut open| {
                        let lines = format!("X-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\nConnection: close\r\n");
                        open.call("GET", &format!("/orders/{number}"), &lines, b"")
                    });
                    let status = answer.map_or(0, |answer| answer.status());
                    served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                    record.write(&format!("client sends GET /orders/{number} {id}, hears {status}"));
                    std::thread::sleep(Duration::from_millis(400));
                }
            });
        }
        std::thread::sleep(Duration::from_secs(8));
        confirmed_at = leaving.leave().unwrap_or_else(|| {
            stopped.store(true, Ordering::Relaxed);
            stage.give_up("the departure was not confirmed")
        });
        if stage.has_trouble {
            stage.kill_all(Duration::from_millis(700));
        }
        back_at = record.now();
        let ends_at = confirmed_at + SERVES_ON;
        std::thread::sleep(ends_at.saturating_sub(record.now()));
        stopped.store(true, Ordering::Relaxed);
    });
    world.stopped.store(true, Ordering::Relaxed);
    // A final fault that took most of the core doubles the time until machines are in touch.
    let due_at = (confirmed_at + DRAIN).max(back_at + STABILITY * 2);
    let runs = world.runs.lock().expect("the runs").clone();
    let sent_at = sent_at.into_inner().expect("the times");
    // Both the client's send and the run count from then on.
    let is_counted = |run: &&Run| {
        let sent_at = sent_at.get(&run.request);
        let is_after = run.at > due_at && sent_at.is_some_and(|sent_at| *sent_at > due_at);
        is_after && run.at < confirmed_at + SERVES_ON
    };
    let after = runs.iter().filter(is_counted).count();
    let late = runs.iter().filter(is_counted);
    let late = late.filter(|run| run.server == leaving.id).count();
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    record.say(&format!(
        "{sent} requests sent, {served} served; sent later than {} ms, {after} ran at servers, {late} of them at the server that has left (confirmed at {} ms)",
        due_at.as_millis(),
        confirmed_at.as_millis()
    ));
    if served < sent / 2 || after == 0 {
        stage.give_up("fewer than half of the requests were served");
    }
    record.say(if late > 0 {
        "DRAIN is broken"
    } else {
        "DRAIN held"
    });
    late > 0
}
