//! Announcing the fake servers at the instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use wheelmast_wire::prelude::AnnouncementBody;
use wheelmast_wire::upstream::ANNOUNCE_PATH;

use crate::server::FakeServer;

/// Interval between two announcements of a server.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time one announcement may take.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Where announcements go.
#[derive(Debug, Clone, Copy)]
pub struct AnnounceTarget {
    /// The instance's listener for upstreams.
    pub address: SocketAddr,
    /// Address the instance's own connections come from; tells its failure
    /// domain.
    pub source: std::net::IpAddr,
}

/// Announces all servers at one instance, over and over, over one connection.
pub async fn announce_at(servers: Vec<Arc<FakeServer>>, target: AnnounceTarget) {
    let mut ticks = tokio::time::interval(ANNOUNCE_INTERVAL);
    let mut sender = None;
    loop {
        ticks.tick().await;
        for server in &servers {
            if server.network.is_cut(target.source, server.shape.domain) {
                continue;
            }
            let Some(body) = server.announcement() else {
                continue;
            };
            sender = announce(sender, target.address, &body).await;
        }
    }
}

type AnnounceSender = SendRequest<Full<Bytes>>;

/// Sends one announcement and returns the connection, if it still stands.
async fn announce(
    sender: Option<AnnounceSender>,
    address: SocketAddr,
    body: &AnnouncementBody,
) -> Option<AnnounceSender> {
    let send = async {
        let mut sender = match sender {
            Some(sender) if !sender.is_closed() => sender,
            _ => connect(address).await?,
        };
        let bytes = serde_json::to_vec(body)?;
        let request = Request::post(ANNOUNCE_PATH)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(bytes)))?;
        let response = sender.send_request(request).await?;
        response.into_body().collect().await?;
        anyhow::Ok(sender)
    };
    tokio::time::timeout(ANNOUNCE_TIMEOUT, send)
        .await
        .ok()?
        .ok()
}

async fn connect(address: SocketAddr) -> anyhow::Result<AnnounceSender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}
