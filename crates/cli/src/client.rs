//! An HTTP client for the listeners of instances: requests of callers, operators' commands and
//! streams of decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, ensure, Context};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpStream;
use wheelmast_node::connection::answer_reader::CompleteAnswer;
use wheelmast_node::connection::answer_stream::AnswerStream;
use wheelmast_node::connection::exchange::{exchange_with_continue, ExchangeFailure, WireRequest};
use wheelmast_node::connection::pool::{ConnectionPool, UpstreamConnection};
use wheelmast_wire::caller::{DEADLINE_HEADER, IDEMPOTENCY_HEADER};

/// Longest time to wait for a whole response, whatever the deadline of the request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A caller's request to one service.
#[derive(Debug, Clone)]
pub enum ServiceCall {
    /// A search with this JSON body.
    Query(String),
    /// A read of the record with this key.
    Fetch(String),
    /// A submission (a request that must run at most once).
    Submit {
        /// JSON body of the submission.
        json: String,
        /// Idempotency key, if the caller gives one.
        key: Option<String>,
    },
}

/// An HTTP response whose body has been read completely.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status code of the response.
    pub status: StatusCode,
    /// Body of the response.
    pub body: Bytes,
}

impl HttpResponse {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON of type `T`.
    pub fn json<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body)
            .with_context(|| format!("could not read the response of status {}", self.status))
    }
}

/// An HTTP client that reuses its connections. Clones share them. Responses are read as strictly
/// as the answers of servers.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    pool: ConnectionPool<SocketAddr>,
}

impl HttpClient {
    /// Sends a caller's request for `service` to the instance at `address`.
    ///
    /// `deadline` is sent as a header; without it, the instance uses the deadline of the service.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within 5 s. An error status is not a failure.
    pub async fn call(
        &self,
        address: SocketAddr,
        service: &str,
        call: &ServiceCall,
        deadline: Option<Duration>,
    ) -> anyhow::Result<HttpResponse> {
        let (method, path, body) = match call {
            ServiceCall::Query(json) => (Method::POST, format!("/v1/query/{service}"), json),
            ServiceCall::Fetch(key) => (
                Method::GET,
                format!("/v1/fetch/{service}/{key}"),
                &String::new(),
            ),
            ServiceCall::Submit { json, .. } => {
                (Method::POST, format!("/v1/submit/{service}"), json)
            }
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        if let Some(deadline) = deadline {
            request = request.header(DEADLINE_HEADER, deadline.as_millis().to_string());
        }
        if let ServiceCall::Submit { key: Some(key), .. } = call {
            request = request.header(IDEMPOTENCY_HEADER, key);
        }
        let request = request.body(Bytes::from(body.clone()))?;
        self.send(address, request).await
    }

    /// Sends a GET request for `path` to the instance at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within 5 s. An error status is not a failure.
    pub async fn get(&self, address: SocketAddr, path: &str) -> anyhow::Result<HttpResponse> {
        let request = Request::get(format!("http://{address}{path}")).body(Bytes::new())?;
        self.send(address, request).await
    }

    /// Sends `body` as JSON in a POST request for `path` to the instance at `address`, with the
    /// operators' token if there is one.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within 5 s. An error status is not a failure.
    pub async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
        token: Option<&str>,
    ) -> anyhow::Result<HttpResponse> {
        let mut request = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        if let Some(token) = token {
            request = request.header("wheelmast-token", token);
        }
        let body = Bytes::from(serde_json::to_vec(body)?);
        self.send(address, request.body(body)?).await
    }

    /// Sends the JSON `text` in a PUT request for `path` to the instance at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within 5 s. An error status is not a failure.
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        text: String,
    ) -> anyhow::Result<HttpResponse> {
        let request = Request::put(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Bytes::from(text))?;
        self.send(address, request).await
    }

    /// Sends a request with the given method and body for `path` to the instance at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within 5 s. An error status is not a failure.
    pub async fn send_with_method(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> anyhow::Result<HttpResponse> {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(body)?;
        self.send(address, request).await
    }

    /// Sends a GET request for `path` and returns the response with its body unread, for endless
    /// bodies such as the stream of decisions. There is no timeout.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be reached, or if its response is not a success.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> anyhow::Result<AnswerStream> {
        let request = Request::get(format!("http://{address}{path}")).body(Bytes::new())?;
        let stream = TcpStream::connect(address).await;
        let stream = stream.with_context(|| format!("could not reach {address}"))?;
        let answer = AnswerStream::open(stream, render_head(&request).into()).await?;
        let status = answer.status;
        ensure!(
            status == StatusCode::OK.as_u16(),
            "{address} answered {status}"
        );
        Ok(answer)
    }

    /// Sends a request and reads the whole response within [`RESPONSE_TIMEOUT`].
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> anyhow::Result<HttpResponse> {
        let exchange = self.exchange(address, &request);
        let answer = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        let answer = answer
            .with_context(|| format!("could not get a response from {} within 5 s", request.uri()))?
            .with_context(|| format!("could not get a response from {}", request.uri()))?;
        Ok(HttpResponse {
            status: StatusCode::from_u16(answer.status)?,
            body: answer.body,
        })
    }

    /// Sends a request on an idle connection, or on a new one if there is none or the instance
    /// has closed it.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: &Request<Bytes>,
    ) -> anyhow::Result<CompleteAnswer> {
        let mut idle = self.pool.take(address, address);
        loop {
            let is_new = idle.is_none();
            let mut connection = match idle.take() {
                Some(connection) => connection,
                None => UpstreamConnection::open(None, address).await?,
            };
            let wire_request = WireRequest {
                head: render_head(request).into(),
                body: request.body(),
                end: &[],
            };
            let (stream, buffer) = (&mut connection.stream, &mut connection.buffer);
            let memory = self.pool.memory.receive_answer(Arc::default());
            let rest = std::future::pending;
            match exchange_with_continue(stream, buffer, wire_request, memory, rest).await {
                Ok(answer) => {
                    if let Some(keep_alive) = answer.keep_alive {
                        self.pool.put_back(address, connection, keep_alive);
                    }
                    return Ok(answer);
                }
                Err(ExchangeFailure::Unsent) if !is_new => {}
                Err(failure) => bail!("the response is not complete or not valid ({failure:?})"),
            }
        }
    }
}

/// Serializes the head of a request.
fn render_head(request: &Request<Bytes>) -> Vec<u8> {
    let uri = request.uri();
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    let host = uri.authority().map_or("", |authority| authority.as_str());
    let length = request.body().len();
    let method = request.method();
    let mut head =
        format!("{method} {target} HTTP/1.1\r\nhost: {host}\r\ncontent-length: {length}\r\n")
            .into_bytes();
    for (name, value) in request.headers() {
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"\r\n");
    head
}
