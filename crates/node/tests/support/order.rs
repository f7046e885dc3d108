//! An order to send a subquery.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::arena::{KeyArena, ServerKey, SlotArena};
use wheelmast_core::prelude::*;
use wheelmast_core::process::input::RequestBody;
use wheelmast_core::request::identity::{AttemptId, RequestId};
use wheelmast_core::version::snapshot::SnapshotId;

/// Returns an order to send a subquery to `address`.
pub fn build_order(address: SocketAddr, deadline: Duration) -> SendOrder {
    let (incarnation, sequence) = (1, 1);
    SendOrder {
        attempt: SlotArena::<()>::default().insert(()),
        id: AttemptId {
            incarnation,
            sequence,
        },
        request: RequestId {
            incarnation,
            sequence,
        },
        server: KeyArena::<ServerKey, ()>::default().push(()),
        address,
        shard: 1,
        snapshot: SnapshotId {
            epoch: 1,
            version: 1,
        },
        deadline,
        body: Arc::new(RequestBody {
            kind: RequestKind::Query,
            key: None,
            payload: b"{}".to_vec().into_boxed_slice(),
        }),
    }
}
