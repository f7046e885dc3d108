//! An HTTP client for the listeners of instances: requests of callers, operators' commands and
//! streams of decisions.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::Serialize;
use wheelmast_wire::caller::{DEADLINE_HEADER, IDEMPOTENCY_HEADER};

/// Largest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
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

/// An HTTP client that reuses its connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        HttpClient {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }
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
        let request = request.body(Full::new(Bytes::from(body.clone())))?;
        self.send(request).await
    }

    /// Sends a GET request for `path` to the instance at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within 5 s. An error status is not a failure.
    pub async fn get(&self, address: SocketAddr, path: &str) -> anyhow::Result<HttpResponse> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default())?;
        self.send(request).await
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
        self.send(request.body(Full::new(body))?).await
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
            .body(Full::new(Bytes::from(text)))?;
        self.send(request).await
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
            .body(Full::new(body))?;
        self.send(request).await
    }

    /// Sends a GET request for `path` and returns the response with its body unread, for endless
    /// bodies such as the stream of decisions. There is no timeout.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be reached.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> anyhow::Result<Response<Incoming>> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default())?;
        let response = self.client.request(request).await;
        response.with_context(|| format!("could not reach {address}"))
    }

    /// Sends a request and reads the whole response within [`RESPONSE_TIMEOUT`].
    async fn send(&self, request: Request<Full<Bytes>>) -> anyhow::Result<HttpResponse> {
        let uri = request.uri().to_string();
        let response_future = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
            anyhow::Ok(HttpResponse {
                status,
                body: body.to_bytes(),
            })
        };
        tokio::time::timeout(RESPONSE_TIMEOUT, response_future)
            .await
            .with_context(|| format!("could not get a response from {uri} within 5 s"))?
            .with_context(|| format!("could not get a response from {uri}"))
    }
}
