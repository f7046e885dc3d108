//! Cases of the second review: stand-ins for servers, clients, the operator and the
//! platform, and one driver for each case. Uses the standard library only.
//!
//! `cases-2 server KEY=VALUE...` runs one server; `cases-2 case N FOLDER` runs case N and
//! writes FOLDER/record.txt. Exit status of a case: 0 the rule held, 1 it was broken, 2 the
//! case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- HTTP

/// A request or an answer: first line, headers in lower case, body.
#[derive(Debug, Clone, Default)]
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| &**value)
    }

    fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a length (or none). `None`: the connection ended or failed.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        let mut piece = [0; 4096];
        let count = stream.read(&mut piece).ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&piece[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first: lines.next()?.to_string(),
        ..Message::default()
    };
    for line in lines {
        let (name, value) = line.split_once(':')?;
        let name = name.trim().to_ascii_lowercase();
        message.headers.push((name, value.trim().to_string()));
    }
    let length = message.header("content-length").unwrap_or("0");
    let length: usize = length.parse().ok()?;
    while buffer.len() < length {
        let mut piece = [0; 4096];
        let count = stream.read(&mut piece).ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&piece[..count]);
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}

/// Sends one call on a new connection and reads its answer.
fn call(to: SocketAddr, method: &str, path: &str, body: &str, wait: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

// ---------------------------------------------------------------- server

/// Limits the requests that a server runs at once, with a short queue.
struct Slots {
    state: Mutex<(u32, u32)>,
    freed: Condvar,
    slots: u32,
    queue: u32,
}

impl Slots {
    /// Waits for a slot; false if the queue is full.
    fn take(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.0 >= self.slots && state.1 >= self.queue {
            return false;
        }
        state.1 += 1;
        while state.0 >= self.slots {
            state = self.freed.wait(state).unwrap();
        }
        state.1 -= 1;
        state.0 += 1;
        true
    }

    fn give(&self) {
        self.state.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    fn load(&self) -> String {
        let state = self.state.lock().unwrap();
        format!("{},{},{}", state.0, state.1, self.slots)
    }
}

fn wall_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |now| now.as_millis())
}

/// One server: runs requests, writes `run ID` to its log when it begins one, and reports to
/// the control instances.
fn run_server(options: &HashMap<String, String>) -> ! {
    let option = |name: &str| options.get(name).cloned().unwrap_or_default();
    let address: SocketAddr = option("address").parse().expect("address");
    let (id, service, zone) = (option("id"), option("service"), option("zone"));
    let slots: u32 = option("slots").parse().unwrap_or(4);
    let work_ms: u64 = option("work").parse().unwrap_or(160);
    let records: usize = option("records").parse().unwrap_or(0);
    let control: Vec<SocketAddr> = option("control")
        .split(',')
        .map(|one| one.parse().expect("control"))
        .collect();
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(option("log"))
        .expect("log");
    let log = Arc::new(Mutex::new(log));
    let listener = TcpListener::bind(address).expect("bind");
    let limit = Arc::new(Slots {
        state: Mutex::new((0, 0)),
        freed: Condvar::new(),
        slots,
        queue: 16,
    });
    {
        let (id, service, zone) = (id.clone(), service.clone(), zone.clone());
        thread::spawn(move || {
            let mut at = 0;
            for number in 1_u64.. {
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                     \"capacity\":{slots},\"state\":\"ready\",\"warmup-left-ms\":0,\"seq-no\":{number}}}"
                );
                for _ in 0..control.len() {
                    let path = format!("/v1/instances/{id}");
                    let answer = call(control[at], "PUT", &path, &body, Duration::from_secs(1));
                    if answer.is_some_and(|answer| answer.status() / 100 == 2) {
                        break;
                    }
                    at = (at + 1) % control.len();
                }
                thread::sleep(Duration::from_millis(1200));
            }
        });
    }
    for stream in listener.incoming() {
        let Ok(mut stream) = stream else { continue };
        let (limit, log, id) = (limit.clone(), log.clone(), id.clone());
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let mut buffer = Vec::new();
            while let Some(request) = read_message(&mut stream, &mut buffer) {
                let request_id = request.header("x-request-id").unwrap_or("").to_string();
                let expected = request
                    .header("x-expect-instance")
                    .unwrap_or(&id)
                    .to_string();
                let answer = |status: &str, more: &str, body: &[u8], load: &str| {
                    let mut bytes = format!(
                        "HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\nX-Server-Load: {load}\r\n{more}\
                         Keep-Alive: timeout=20\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    ).into_bytes();
                    bytes.extend_from_slice(body);
                    bytes
                };
                let is_health = request.first.starts_with("GET /health ");
                let bytes = if is_health {
                    answer(
                        "200 OK",
                        &format!("X-Instance-Id: {id}\r\n"),
                        b"",
                        &limit.load(),
                    )
                } else if expected != id {
                    answer(
                        "421 Misdirected Request",
                        "X-Not-Executed: other instance\r\n",
                        b"",
                        &limit.load(),
                    )
                } else if request_id.is_empty() {
                    answer(
                        "400 Bad Request",
                        "X-Not-Executed: no id\r\n",
                        b"",
                        &limit.load(),
                    )
                } else if !limit.take() {
                    answer(
                        "503 Service Unavailable",
                        "X-Not-Executed: full\r\n",
                        b"",
                        &limit.load(),
                    )
                } else {
                    let line = format!("{} run {request_id} at {id}\n", wall_ms());
                    let _ = log.lock().unwrap().write_all(line.as_bytes());
                    thread::sleep(Duration::from_millis(work_ms));
                    let body = if records > 0 {
                        (0..records * 16).map(|at| (at % 251) as u8).collect()
                    } else {
                        format!("{request_id} done by {id}\n").into_bytes()
                    };
                    let stamp = format!("X-Server-Stamp: {request_id}.{id}.{}\r\n", body.len());
                    let bytes = answer("200 OK", &stamp, &body, &limit.load());
                    limit.give();
                    bytes
                };
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
    }
    std::process::exit(0)
}

// ---------------------------------------------------------------- platform

static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Ends the processes that this case started and still runs.
fn end_all() {
    for (_, child) in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    CHILDREN.lock().unwrap().clear();
}

/// Kills processes by name, all at the same moment.
fn kill(names: &[String]) {
    let mut children = CHILDREN.lock().unwrap();
    for (name, child) in children.iter_mut() {
        if names.contains(name) {
            let _ = child.kill();
        }
    }
    for (name, child) in children.iter_mut() {
        if names.contains(name) {
            let _ = child.wait();
        }
    }
    children.retain(|(name, _)| !names.contains(name));
}

/// The record of a case.
struct Record {
    file: Mutex<File>,
    begin: Instant,
}

impl Record {
    fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.begin.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A small deployment: three control instances and two entries in three zones.
struct Site {
    folder: PathBuf,
    root: PathBuf,
    block: (u8, u8),
    port: u16,
    record: Arc<Record>,
}

const ZONES: [(&str, &str); 3] = [("hall-a", "north"), ("hall-b", "west"), ("hall-c", "south")];

impl Site {
    fn new(case_folder: &Path) -> Site {
        let root = case_folder
            .join("../..")
            .canonicalize()
            .unwrap_or_else(|_| stop("no repository"));
        let file =
            File::create(case_folder.join("record.txt")).unwrap_or_else(|_| stop("no record"));
        let pid = std::process::id();
        let folder = temporary_folder();
        std::fs::create_dir_all(&folder).unwrap_or_else(|_| stop("no temporary folder"));
        let block = (100 + (pid >> 8) as u8 % 100, pid as u8);
        let probe = TcpListener::bind((Ipv4Addr::new(127, block.0, block.1, 1), 0));
        let port = probe
            .and_then(|probe| probe.local_addr())
            .map_or(0, |address| address.port());
        let port = if port > 60_000 { port - 20_000 } else { port };
        Site {
            folder,
            root,
            block,
            port,
            record: Arc::new(Record {
                file: Mutex::new(file),
                begin: Instant::now(),
            }),
        }
    }

    fn address(&self, host: u8, offset: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.block.0, self.block.1, host);
        SocketAddr::V4(SocketAddrV4::new(ip, self.port + offset))
    }

    fn control(&self, number: u8) -> SocketAddr {
        self.address(10 + number, 0)
    }

    fn entry(&self, number: u8) -> SocketAddr {
        self.address(20 + number, 0)
    }

    fn ready(&self, number: u8) -> SocketAddr {
        self.address(20 + number, 1)
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = (0..3)
            .map(|number| format!("\"{}\"", self.control(number)))
            .collect();
        seeds.join(", ")
    }

    /// Starts an instance as the deploy file and its templates say.
    fn start_instance(&self, name: &str, role: &str, number: u8, first: bool) {
        let zone = ZONES[number as usize % 3].0;
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(zone, region)| format!("\"{zone}\": \"{region}\""))
            .collect();
        let zones = zones.join(", ");
        let (host, own) = if role == "control" {
            let data = self.folder.join(format!("data-{name}"));
            let _ = std::fs::create_dir_all(&data);
            let listen = self.control(number);
            (10 + number, format!("\"listen\": {{\"control\": \"{listen}\"}}, \"data_folder\": {data:?}, \"announce_ms\": 1200,"))
        } else {
            let (callers, ready) = (self.entry(number), self.ready(number));
            (20 + number, format!(
                "\"listen\": {{\"callers\": \"{callers}\", \"ready\": \"{ready}\"}}, \"grace_ms\": 6000, \
                 \"extra_load\": {{\"ratio\": 0.2, \"slack\": 54, \"window_s\": 10}},"
            ))
        };
        let ip = self.address(host, 0).ip();
        let text = format!(
            "{{\"role\": \"{role}\", \"dialect\": \"platform\", \"instance\": \"{name}\", \"failure_domain\": \"{zone}\", \
             \"regions\": {{{zones}}}, \"address\": \"{ip}\", \"peer_port\": {}, {own} \"seeds\": [{}], \
             \"first_start\": {first}, \"tolerate\": 1, \"log_level\": \"info\"}}",
            self.port + 2,
            self.seeds()
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, text).unwrap_or_else(|_| stop("no settings"));
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let log = log.unwrap_or_else(|_| stop("no log"));
        let mut command = Command::new(self.root.join("target/release/wheelmastd"));
        command
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .stdout(log);
        end_with_parent(&mut command);
        let child = command
            .spawn()
            .unwrap_or_else(|_| stop("wheelmastd does not start"));
        CHILDREN.lock().unwrap().push((name.to_string(), child));
    }

    fn start_all(&self) {
        for number in 0..3 {
            self.start_instance(&format!("core-{number}"), "control", number, true);
        }
        for number in 0..2 {
            self.start_instance(&format!("front-{number}"), "entry", number, true);
        }
    }

    fn server_log(&self) -> PathBuf {
        self.folder.join("servers.log")
    }

    /// Starts a server of a service; its id is new at each start.
    fn start_server(
        &self,
        name: &str,
        service: &str,
        number: u8,
        slots: u32,
        work: u64,
        records: usize,
    ) {
        static LIFE: AtomicU64 = AtomicU64::new(1);
        let life = LIFE.fetch_add(1, Ordering::Relaxed);
        let address = self.address(40 + number, 0);
        let control: Vec<String> = (0..3)
            .map(|number| self.control(number).to_string())
            .collect();
        let program = std::env::current_exe().unwrap_or_else(|_| stop("no program"));
        let zone = ZONES[number as usize % 3].0;
        let mut command = Command::new(program);
        command
            .arg("server")
            .arg(format!("address={address}"))
            .arg(format!(
                "id=i-{:04x}{life:04x}",
                std::process::id() & 0xffff
            ))
            .arg(format!("service={service}"))
            .arg(format!("zone={zone}"))
            .arg(format!("slots={slots}"))
            .arg(format!("work={work}"))
            .arg(format!("records={records}"))
            .arg(format!("control={}", control.join(",")))
            .arg(format!("log={}", self.server_log().display()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        end_with_parent(&mut command);
        let child = command.spawn();
        let child = child.unwrap_or_else(|_| stop("a server does not start"));
        CHILDREN.lock().unwrap().push((name.to_string(), child));
    }

    /// The operator: sends a manifest, unchanged, to one node after another until it has a
    /// clear answer.
    fn put_config(&self, text: &str, limit: Duration) -> bool {
        let begin = Instant::now();
        let mut number = 0;
        while begin.elapsed() < limit {
            let answer = call(
                self.control(number % 3),
                "PUT",
                "/v1/config",
                text,
                Duration::from_secs(1),
            );
            match answer.map(|answer| answer.status()) {
                Some(200) => return true,
                Some(status) if (400..500).contains(&status) && status != 408 && status != 429 => {
                    self.record
                        .note(&format!("operator: refused with {status}"));
                    return false;
                }
                _ => {}
            }
            number += 1;
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn await_ready(&self, number: u8, limit: Duration) -> bool {
        let begin = Instant::now();
        while begin.elapsed() < limit {
            let answer = call(
                self.ready(number),
                "GET",
                "/v1/ready",
                "",
                Duration::from_secs(1),
            );
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Starts the system, puts the first manifest and waits until all entries are ready.
    fn begin(&self, manifest: &str) {
        self.start_all();
        if !self.put_config(manifest, Duration::from_secs(20)) {
            stop("the first manifest was not acknowledged");
        }
        for number in 0..2 {
            if !self.await_ready(number, Duration::from_secs(20)) {
                stop("an entry is not ready");
            }
        }
        self.record
            .note("system: ready, first manifest acknowledged");
        // The sheet of the site: traffic starts 10 s after the machines do. By then the core is
        // stable and all machines are in touch.
        thread::sleep(Duration::from_secs(10).saturating_sub(self.record.begin.elapsed()));
    }

    /// Ids of the requests that servers began to run, with how often.
    fn runs(&self) -> HashMap<String, usize> {
        let text = std::fs::read_to_string(self.server_log()).unwrap_or_default();
        let mut runs = HashMap::new();
        for line in text.lines() {
            if let Some(id) = line.split(' ').nth(2) {
                *runs.entry(id.to_string()).or_insert(0) += 1;
            }
        }
        runs
    }

    /// Ends all processes, adds the servers' log to the record and removes the folder.
    fn end(&self) {
        end_all();
        let text = std::fs::read_to_string(self.server_log()).unwrap_or_default();
        let mut file = self.record.file.lock().unwrap();
        let _ = file.write_all(b"\nwhat servers began to run (Unix ms):\n");
        let _ = file.write_all(text.as_bytes());
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Folder of this play for settings, data and logs.
fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("wheelmast-review-{}", std::process::id()))
}

/// Ends the case: it could not run.
fn stop(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    end_all();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(temporary_folder());
    }
    std::process::exit(2)
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- client

extern "C" {
    fn prctl(option: i32, value: u64, unused3: u64, unused4: u64, unused5: u64) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(fd: i32, address: *const u8, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

/// Makes the kernel kill the process if this one ends in whatever way.
fn end_with_parent(command: &mut Command) {
    // SAFETY: `prctl` with PR_SET_PDEATHSIG (1) and SIGKILL (9) only sets an attribute of the
    // new process and may be called between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(1, 9, 0, 0, 0);
            Ok(())
        });
    }
}

/// Opens a connection from the loopback address `from`.
fn connect_from(from: Ipv4Addr, to: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(to) = to else { return None };
    let raw = |ip: Ipv4Addr, port: u16| {
        let mut bytes = [0_u8; 16];
        bytes[..2].copy_from_slice(&2_u16.to_ne_bytes());
        bytes[2..4].copy_from_slice(&port.to_be_bytes());
        bytes[4..8].copy_from_slice(&ip.octets());
        bytes
    };
    let (own, other) = (raw(from, 0), raw(*to.ip(), to.port()));
    // SAFETY: the addresses are valid `sockaddr_in` of 16 bytes; the descriptor is owned by
    // the stream from here on.
    unsafe {
        let fd = socket(2, 1 | 0o2_000_000, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        let is_open = bind(fd, own.as_ptr(), 16) == 0 && connect(fd, other.as_ptr(), 16) == 0;
        is_open.then_some(stream)
    }
}

/// What a client got for one attempt; status 0: no answer.
#[derive(Debug, Clone)]
struct Outcome {
    id: String,
    status: u16,
    has_stamp: bool,
    retry_after: Option<f64>,
    sent_at: f64,
    after_ms: u64,
}

struct Client<'a> {
    site: &'a Site,
    from: Ipv4Addr,
    stream: Option<TcpStream>,
}

impl Client<'_> {
    /// Sends one attempt on the kept connection, or on a new one if there is none.
    fn attempt(
        &mut self,
        method: &str,
        path: &str,
        entry: u8,
        body: &str,
        limit_ms: u64,
    ) -> Outcome {
        static NUMBER: AtomicU64 = AtomicU64::new(1);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let begin = Instant::now();
        let mut outcome = Outcome {
            id: id.clone(),
            status: 0,
            has_stamp: false,
            retry_after: None,
            sent_at: self.site.record.begin.elapsed().as_secs_f64(),
            after_ms: 0,
        };
        if self.stream.is_none() {
            self.stream = connect_from(self.from, self.site.entry(entry));
        }
        if let Some(mut stream) = self.stream.take() {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(limit_ms)));
            let request = format!(
                "{method} {path} HTTP/1.1\r\nHost: kiln.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {limit_ms}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let answer = match stream.write_all(request.as_bytes()) {
                Ok(()) => read_message(&mut stream, &mut Vec::new()),
                Err(_) => None,
            };
            if let Some(answer) = answer {
                outcome.status = answer.status();
                outcome.has_stamp = answer.header("x-server-stamp").is_some();
                outcome.retry_after = answer
                    .header("retry-after")
                    .and_then(|value| value.parse().ok());
                if answer.header("connection") != Some("close") {
                    self.stream = Some(stream);
                }
            }
        }
        outcome.after_ms = begin.elapsed().as_millis() as u64;
        self.site.record.note(&format!(
            "client {}: {method} {path} id {id} answered {} after {} ms{}",
            self.from,
            outcome.status,
            outcome.after_ms,
            if outcome.has_stamp {
                ", with a server's stamp"
            } else {
                ""
            }
        ));
        outcome
    }
}

const LIMITS: &str = "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}";

fn service(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":100,\"protocol\":\"h1\",\"tls\":false}}")
}

// ---------------------------------------------------------------- case 4

/// REFUSED: all servers of a service crash while they work on requests that may run once.
fn case_refused(site: &Site) -> i32 {
    let manifest = format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-slip\",\"host\":\"kiln.example\",\"path-prefix\":\"/slips/\",\
         \"idempotency\":\"non_idempotent\",\"timeout-ms\":6000,\"target-latency-ms\":600,\"priority\":1,\
         \"service\":\"work-orders\",\"max-attempts\":2}}],\"services\":[{}],{LIMITS}}}",
        service("work-orders")
    );
    site.begin(&manifest);
    let names: Vec<String> = (0..7).map(|number| format!("server-{number}")).collect();
    for (number, name) in names.iter().enumerate() {
        site.start_server(name, "work-orders", number as u8, 4, 700, 0);
    }
    thread::sleep(Duration::from_millis(2500));
    let outcomes = Mutex::new(Vec::new());
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        // Fourteen users each at two addresses; the provider's hash sends both to one entry.
        for user in 0..28_u64 {
            let (outcomes, is_over) = (&outcomes, &is_over);
            scope.spawn(move || {
                let from = Ipv4Addr::new(127, 0, 0, if user % 2 == 0 { 1 } else { 2 });
                let mut client = Client {
                    site,
                    from,
                    stream: None,
                };
                thread::sleep(Duration::from_millis(25 * user));
                while !is_over.load(Ordering::Relaxed) {
                    let outcome =
                        client.attempt("POST", "/slips/next", 0, "{\"kind\":\"repair\"}", 6000);
                    if outcome.status == 503 || outcome.status == 429 {
                        let after = outcome.retry_after.unwrap_or(0.5).min(2.0);
                        thread::sleep(Duration::from_secs_f64(after));
                    }
                    let pause = if outcome.status == 200 { 10 } else { 300 };
                    outcomes.lock().unwrap().push(outcome);
                    thread::sleep(Duration::from_millis(pause));
                }
            });
        }
        thread::sleep(Duration::from_millis(5000));
        if has_trouble() {
            site.record
                .note("trouble: all servers of work-orders crash (srv_crash, all)");
            kill(&names);
        }
        thread::sleep(Duration::from_millis(4000));
        if has_trouble() {
            for (number, name) in names.iter().enumerate() {
                site.start_server(name, "work-orders", number as u8, 4, 700, 0);
            }
            site.record
                .note("trouble: over, the servers have started again");
        }
        thread::sleep(Duration::from_millis(5000));
        is_over.store(true, Ordering::Relaxed);
    });
    let outcomes = outcomes.into_inner().unwrap();
    let runs = site.runs();
    let promised = outcomes
        .iter()
        .filter(|outcome| [408, 421, 429, 503].contains(&outcome.status));
    let broken: Vec<&Outcome> = promised
        .filter(|outcome| runs.contains_key(&outcome.id))
        .collect();
    let mut by_status = BTreeMap::new();
    for outcome in &outcomes {
        *by_status.entry(outcome.status).or_insert(0) += 1;
    }
    site.record
        .note(&format!("answers by status: {by_status:?}"));
    for outcome in &broken {
        site.record.note(&format!(
            "REFUSED broken: {} was answered {} and has run",
            outcome.id, outcome.status
        ));
    }
    site.record.note(&format!(
        "requests answered 503 or 429 that have run: {}",
        broken.len()
    ));
    let served = by_status.get(&200).copied().unwrap_or(0);
    if served < 28 {
        stop("hardly a request was served before the disruption");
    }
    i32::from(!broken.is_empty())
}

// ---------------------------------------------------------------- case 5

/// Time after a disturbance from which the rest of the play counts as steady: `recovery-s` of the
/// small deployments, more than twice their `stability-window-ms`.
const SETTLED: Duration = Duration::from_secs(12);

/// CONFIG: all servers of a service crash for some seconds and are back; the route to it, which
/// was added later than another, is not served any more.
fn case_added_route(site: &Site) -> i32 {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"kiln.example\",\"path-prefix\":\"{prefix}\",\"idempotency\":\"idempotent\",\
             \"timeout-ms\":6000,\"target-latency-ms\":600,\"priority\":1,\"service\":\"{service}\",\"max-attempts\":2}}"
        )
    };
    let manifest = |version: u32, routes: &[String]| {
        format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],{LIMITS}}}",
            routes.join(","),
            service("work-orders"),
            service("crew-roster")
        )
    };
    let (first, added) = (
        route("r-roster", "/roster/", "crew-roster"),
        route("r-order", "/orders/", "work-orders"),
    );
    site.begin(&manifest(3, &[first.clone()]));
    let names: Vec<String> = (0..7).map(|number| format!("order-{number}")).collect();
    let start_orders = || {
        for (number, name) in names.iter().enumerate() {
            site.start_server(name, "work-orders", number as u8, 4, 300, 0);
        }
    };
    start_orders();
    for number in 7..10 {
        site.start_server(
            &format!("roster-{number}"),
            "crew-roster",
            number,
            4,
            160,
            0,
        );
    }
    thread::sleep(Duration::from_millis(2500));
    if !site.put_config(&manifest(4, &[first, added]), Duration::from_secs(10)) {
        stop("the second manifest was not acknowledged");
    }
    site.record
        .note("operator: version 4, which adds the route /orders/, is confirmed");
    thread::sleep(Duration::from_millis(3500));
    let outcomes = Mutex::new(Vec::new());
    let is_over = AtomicBool::new(false);
    let now = || site.record.begin.elapsed().as_secs_f64();
    let mut steady_from = 0.0;
    thread::scope(|scope| {
        // Twenty users behind one address ask for the same list of orders, six others for rosters.
        for user in 0..26_u64 {
            let (outcomes, is_over) = (&outcomes, &is_over);
            scope.spawn(move || {
                let from = Ipv4Addr::new(127, 0, 0, 1);
                let mut client = Client {
                    site,
                    from,
                    stream: None,
                };
                thread::sleep(Duration::from_millis(23 * user));
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let begin = Instant::now();
                    let is_added = user < 20;
                    let path = if is_added {
                        "/orders/today".to_string()
                    } else {
                        format!("/roster/{user}-{number}")
                    };
                    let entry = (user % 2) as u8;
                    let outcome = client.attempt("GET", &path, entry, "", 6000);
                    outcomes.lock().unwrap().push((is_added, outcome));
                    thread::sleep(Duration::from_millis(600).saturating_sub(begin.elapsed()));
                }
            });
        }
        thread::sleep(Duration::from_millis(8000));
        if has_trouble() {
            site.record
                .note("trouble: all servers of work-orders crash (srv_crash, all)");
            kill(&names);
        }
        thread::sleep(Duration::from_millis(4500));
        if has_trouble() {
            start_orders();
            site.record
                .note("trouble: over, the servers have started again");
        }
        steady_from = now() + SETTLED.as_secs_f64();
        thread::sleep(SETTLED + Duration::from_millis(15_000));
        is_over.store(true, Ordering::Relaxed);
    });
    // Requests of other content for the same service, for the record only.
    let mut other = Client {
        site,
        from: Ipv4Addr::new(127, 0, 0, 1),
        stream: None,
    };
    let others =
        (0..6).map(|number| other.attempt("GET", &format!("/orders/{number}"), 0, "", 6000));
    let served = others.filter(|outcome| outcome.status == 200).count();
    site.record.note(&format!(
        "six requests for other pages of the added route: {served} served"
    ));
    let outcomes = outcomes.into_inner().unwrap();
    let share = |added: bool, from: f64, to: f64| {
        let sent = outcomes.iter().filter(|(is_added, outcome)| {
            *is_added == added && outcome.sent_at >= from && outcome.sent_at < to
        });
        let count = sent.clone().count();
        let served = sent
            .filter(|(_, outcome)| outcome.status == 200 && outcome.has_stamp)
            .count();
        (served, count, served as f64 / count.max(1) as f64)
    };
    let trouble_at = steady_from - SETTLED.as_secs_f64() - 4.5;
    let (first, added) = (
        share(false, steady_from, f64::MAX),
        share(true, steady_from, f64::MAX),
    );
    let before = share(true, 0.0, trouble_at - 1.0);
    site.record.note(&format!(
        "served, sent, share on the added route before: {before:?}"
    ));
    site.record.note(&format!(
        "in steady state: on the first route {first:?}, on the added one {added:?}"
    ));
    if before.2 < 0.9 || first.2 < 0.9 || added.1 < 20 {
        stop("too little was served or sent");
    }
    let is_broken = added.2 < first.2 / 4.0;
    if is_broken {
        site.record.note("CONFIG broken: the added route is served less than a quarter as often as the first one");
    }
    i32::from(is_broken)
}

// ---------------------------------------------------------------- case 6

/// CONFIG: a manifest raises `max-body-bytes`; kept connections go on under the old bound.
fn case_limits(site: &Site) -> i32 {
    let manifest = |version: u32, max_body: u32| {
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-note\",\"host\":\"kiln.example\",\"path-prefix\":\"/notes/\",\
             \"idempotency\":\"non_idempotent\",\"timeout-ms\":6000,\"target-latency-ms\":600,\"priority\":1,\
             \"service\":\"work-orders\",\"max-attempts\":2}}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
             \"max-body-bytes\":{max_body},\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
            service("work-orders")
        )
    };
    // Without the disruption the bound is the later one from the start.
    site.begin(&manifest(3, if has_trouble() { 4096 } else { 262_144 }));
    for number in 0..3 {
        site.start_server(&format!("server-{number}"), "work-orders", number, 4, 50, 0);
    }
    thread::sleep(Duration::from_millis(2500));
    let mut kept: Vec<Client<'_>> = Vec::new();
    for user in 0..8_u64 {
        let from = Ipv4Addr::new(127, 0, 0, 1);
        let mut client = Client {
            site,
            from,
            stream: None,
        };
        let outcome = client.attempt(
            "POST",
            &format!("/notes/{user}-a"),
            (user % 2) as u8,
            &"x".repeat(3000),
            6000,
        );
        if outcome.status != 200 || client.stream.is_none() {
            stop("a request within the first bounds was not served on a kept connection");
        }
        kept.push(client);
    }
    if has_trouble() {
        if !site.put_config(&manifest(4, 262_144), Duration::from_secs(10)) {
            stop("the second manifest was not acknowledged");
        }
        site.record.note("trouble: the manifest changed (config_change), version 4 is confirmed: max-body-bytes 262144");
    }
    // Past config-apply-ms (3,000); within four fifths of idle-timeout-ms.
    thread::sleep(Duration::from_millis(4500));
    let size = 20_000;
    let mut refused = 0;
    let mut refused_new = 0;
    for (user, client) in kept.iter_mut().enumerate() {
        let outcome = client.attempt(
            "POST",
            &format!("/notes/{user}-b"),
            (user % 2) as u8,
            &"y".repeat(size),
            6000,
        );
        refused += usize::from(outcome.status == 413);
        let from = Ipv4Addr::new(127, 0, 0, 1);
        let mut fresh = Client {
            site,
            from,
            stream: None,
        };
        let outcome = fresh.attempt(
            "POST",
            &format!("/notes/{user}-c"),
            (user % 2) as u8,
            &"z".repeat(size),
            6000,
        );
        refused_new += usize::from(outcome.status == 413);
    }
    site.record.note(&format!(
        "answered 413 on kept connections: {refused} of 8, on new ones: {refused_new} of 8"
    ));
    if refused > 0 {
        site.record.note(
            "CONFIG broken: requests that version 4 allows are refused as only version 3 does",
        );
    }
    i32::from(refused > 0)
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == "server") {
        let options = words[1..].iter().filter_map(|word| word.split_once('='));
        let options = options
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        run_server(&options);
    }
    let (Some(number), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: cases-2 case N FOLDER");
        std::process::exit(2)
    };
    // A bound on the whole case.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        stop("it took too long")
    });
    let site = Site::new(Path::new(folder));
    site.record
        .note(&format!("case {number}, trouble: {}", has_trouble()));
    let result = match number.as_str() {
        "4" => case_refused(&site),
        "5" => case_added_route(&site),
        "6" => case_limits(&site),
        _ => stop("no such case"),
    };
    site.record.note(&format!("exit status {result}"));
    site.end();
    std::process::exit(result)
}
