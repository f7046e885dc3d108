//! Checks that a control instance does not carry out an operator's order that it reads
//! long after the operator has sent it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::harness::{route_table, send_request, wait_until, Deployment};

/// Time after which an operator that got no response sends its order elsewhere.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after its wake-up in which the suspended instance reads its sockets and, if it
/// accepts an order, has it confirmed.
const WAKE_UP_TIME: Duration = Duration::from_secs(2);
/// Number of the control instance that is suspended.
const SUSPENDED: usize = 2;

const EVACUATIONS: &str = "/v1/evacuations";
const EVACUATION: &str = "/v1/evacuations/here";
const ROLLOUT: &str = "/v1/rollouts/desk";
const ROLLOUT_ORDER: &str = r#"{"service":"desk","version":"v2","duration_ms":5000}"#;

/// Connects as an operator.
fn connect(to: SocketAddr) -> TcpStream {
    TcpStream::connect_timeout(&to, OPERATOR_TIMEOUT).expect("a connection")
}

/// Writes an order to a connection.
fn write_order(stream: &mut TcpStream, method: &str, path: &str, body: &str) {
    let length = body.len();
    let request =
        format!("{method} {path} HTTP/1.1\r\nhost: shop\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).expect("written");
}

/// Sends an order to a control instance until it is accepted.
fn order_until_accepted(deployment: &Deployment, to: usize, method: &str, path: &str) {
    let address = deployment.front_address(to);
    wait_until(
        &format!("{method} {path}"),
        || send_request(address, method, path, "", ""),
        |reply| reply.status == 200,
    );
}

/// Returns the status and the body of a confirmed read.
fn read(deployment: &Deployment, path: &str) -> (u16, String) {
    let address = deployment.front_address(0);
    let reply = wait_until(
        path,
        || send_request(address, "GET", path, "", ""),
        |reply| reply.status != 503,
    );
    (reply.status, String::from_utf8_lossy(&reply.body).into())
}

/// Guards against undone evacuations: an instance that woke up took the withdrawal of an
/// evacuation from its socket, whose operator had had it confirmed by another instance and
/// had evacuated the failure domain again.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_instance_that_wakes_up_does_not_carry_out_late_orders() {
    let deployment = Deployment::start(33);
    deployment.put_first_table(&route_table(1));
    deployment.await_vote(SUSPENDED);
    order_until_accepted(&deployment, 0, "POST", EVACUATION);

    let address = deployment.front_address(SUSPENDED);
    // An operator's connection from before the suspension, and those opened during it.
    let mut earlier = connect(address);
    std::thread::sleep(Duration::from_millis(300));
    deployment.daemons[SUSPENDED].signal("STOP");
    write_order(&mut earlier, "DELETE", EVACUATION, "");
    let mut later = connect(address);
    write_order(&mut later, "DELETE", EVACUATION, "");
    let mut rollout = connect(address);
    write_order(&mut rollout, "POST", "/v1/rollouts", ROLLOUT_ORDER);
    // One of them is kept open.
    let mut kept = connect(address);
    write_order(&mut kept, "DELETE", EVACUATION, "");
    std::thread::sleep(OPERATOR_TIMEOUT);
    drop((earlier, later, rollout));
    order_until_accepted(&deployment, 1, "DELETE", EVACUATION);
    order_until_accepted(&deployment, 1, "POST", EVACUATION);
    deployment.daemons[SUSPENDED].signal("CONT");
    std::thread::sleep(WAKE_UP_TIME);

    let evacuated = r#"{"evacuated":["here"]}"#.to_string();
    assert_eq!(read(&deployment, EVACUATIONS), (200, evacuated));
    assert_eq!(read(&deployment, ROLLOUT).0, 404, "no roll-out was started");
    let read_timeout = Some(OPERATOR_TIMEOUT);
    kept.set_read_timeout(read_timeout).expect("a timeout");
    let mut response = String::new();
    kept.read_to_string(&mut response).expect("a response");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
}

struct AgeCase {
    name: &'static str,
    /// Age of the connection on which the call is sent.
    age: Duration,
    method: &'static str,
    path: &'static str,
    status: u16,
}

/// Returns the text of a server's announcement with this start time.
fn announcement(born: u64) -> String {
    format!(
        r#"{{"service":"desk","address":"127.0.0.1:9","failure_domain":"here","slots":2,"draining":false,"sequence":1,"born":{born}}}"#
    )
}

/// Guards against an order that the network has held back: it is no older than its
/// connection, so that only one on a new connection is known to be current. A withdrawal
/// without a start time is such an order if the server may have started again since.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_is_accepted_on_a_new_connection_only() {
    let deployment = Deployment::start(34);
    deployment.put_first_table(&route_table(1));
    order_until_accepted(&deployment, 0, "POST", EVACUATION);
    for (path, born) in [("/v1/servers/dated", 7), ("/v1/servers/undated", 0)] {
        let address = deployment.front_address(0);
        wait_until(
            path,
            || send_request(address, "PUT", path, "", &announcement(born)),
            |reply| reply.status == 200,
        );
    }
    let cases = [
        AgeCase {
            name: "order on a new connection",
            age: Duration::ZERO,
            method: "POST",
            path: EVACUATION,
            status: 200,
        },
        AgeCase {
            name: "order on a connection as old as an operator waits",
            age: OPERATOR_TIMEOUT,
            method: "POST",
            path: EVACUATION,
            status: 503,
        },
        AgeCase {
            name: "withdrawal that does not say of which start",
            age: OPERATOR_TIMEOUT,
            method: "DELETE",
            path: "/v1/servers/dated",
            status: 503,
        },
        AgeCase {
            name: "withdrawal of a server that never says when it started",
            age: OPERATOR_TIMEOUT,
            method: "DELETE",
            path: "/v1/servers/undated",
            status: 200,
        },
    ];
    for case in cases {
        let mut stream = connect(deployment.front_address(0));
        std::thread::sleep(case.age);
        write_order(&mut stream, case.method, case.path, "");
        let read_timeout = Some(OPERATOR_TIMEOUT);
        stream.set_read_timeout(read_timeout).expect("a timeout");
        let mut response = [0; 512];
        let length = stream.read(&mut response).expect("a response");
        let response = String::from_utf8_lossy(&response[..length]).to_lowercase();
        let status_line = format!("http/1.1 {}", case.status);
        assert!(
            response.starts_with(&status_line),
            "{}: {response}",
            case.name
        );
        let is_closed = response.contains("connection: close");
        assert_eq!(is_closed, case.status == 503, "{}", case.name);
    }
}
