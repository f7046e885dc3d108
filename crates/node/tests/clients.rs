//! Limits on clients: who gives way at a limit, and what a waiting connection costs.

use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Wake, Waker};
use std::time::Duration;

use bytes::Bytes;
use wheelmast_node::connection::client::{
    ClientState, ClientTimeouts, ConnectionLimiter, Eviction,
};
use wheelmast_node::connection::client_memory::{ClientMemory, MemoryUse};

const TIMEOUTS: ClientTimeouts = ClientTimeouts {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};
/// Limit of the memory in these tests: a third of it, 300 KiB, is for requests. Large ones may
/// take 225 KiB of that.
const MEMORY_BYTES: usize = 900 * 1024;
const KIB: usize = 1024;

/// Counts how often a task is woken.
#[derive(Default)]
struct WakeCounter(AtomicUsize);

impl Wake for WakeCounter {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// The task that waits for the rest of a head reads again whenever it is woken. Woken by each
/// read that finds nothing, it never slept: seven entries that each held the late end of a
/// relayed body took 16.5 s of processor time in 4 s.
#[tokio::test(start_paused = true)]
async fn a_read_that_finds_nothing_does_not_wake_its_own_task_again() {
    let client = ClientState::default();
    let wakes = Arc::new(WakeCounter::default());
    let waker = Waker::from(wakes.clone());
    let mut waiting = pin!(client.wait_disconnect(|| TIMEOUTS));
    client.record_read();
    for _ in 0..10 {
        client.record_read_wait();
        let polled = waiting.as_mut().poll(&mut Context::from_waker(&waker));
        assert!(polled.is_pending());
    }
    assert_eq!(wakes.0.load(Ordering::Relaxed), 0);
}

/// A client's last step before it stops, and when it is disconnected.
struct StopCase {
    name: &'static str,
    step: fn(&Arc<ClientState>),
    after: Duration,
}

#[tokio::test(start_paused = true)]
async fn each_phase_has_its_time_limit() {
    let case = |name, step, after| StopCase { name, step, after };
    let cases = [
        case("no byte", |_| (), TIMEOUTS.idle),
        case(
            "a part of a head",
            |client| {
                client.record_read();
                client.record_read_wait();
            },
            TIMEOUTS.head,
        ),
        case(
            "the end of a body after the answer",
            |client| {
                client.begin_body();
                client.end_request();
                client.record_read();
                client.record_read_wait();
                client.end_late_body();
            },
            TIMEOUTS.idle,
        ),
    ];
    for case in cases {
        let client = Arc::new(ClientState::default());
        let begin = tokio::time::Instant::now();
        let disconnected = client.wait_disconnect(|| TIMEOUTS);
        (case.step)(&client);
        disconnected.await;
        let took = begin.elapsed();
        let slack = Duration::from_millis(10);
        let range = case.after..case.after + slack;
        assert!(range.contains(&took), "{}: {took:?}", case.name);
    }
}

#[tokio::test]
async fn the_client_that_is_waited_for_longest_loses_its_connection() {
    let limiter = ConnectionLimiter::new(2);
    let busy = limiter.admit().await.expect("a place");
    let _work = busy.state.begin_work();
    let idle = limiter.admit().await.expect("a place");
    let eviction = idle.state.eviction.clone();
    let holder = tokio::spawn(async move {
        idle.state.eviction.wait().await;
        drop(idle);
    });
    let newcomer = limiter.admit().await.expect("a place");
    assert!(eviction.is_evicted() && !busy.state.eviction.is_evicted());
    holder.await.expect("ended");
    let _more_work = newcomer.state.begin_work();
    // This instance works on the requests of both clients.
    assert!(limiter.admit().await.is_none());
}

/// Holds a request of `kib` KiB. Returns none if there is too little memory.
async fn hold_request(
    memory: &ClientMemory,
    kib: usize,
) -> Option<(
    wheelmast_node::connection::client_memory::MemoryReservation,
    Arc<Eviction>,
)> {
    let eviction = Arc::<Eviction>::default();
    let mut request = memory.hold(MemoryUse::Request, eviction.clone());
    request.resize(kib * KIB).await.ok()?;
    Some((request, eviction))
}

#[tokio::test]
async fn complete_requests_keep_their_memory_and_small_ones_have_a_reserve() {
    let memory = ClientMemory::new(MEMORY_BYTES);
    let (first, first_eviction) = hold_request(&memory, 200).await.expect("memory");
    first.end_wait();
    assert!(
        hold_request(&memory, 100).await.is_none(),
        "too little memory"
    );
    assert!(!first_eviction.is_evicted());
    let (_small, _) = hold_request(&memory, 30).await.expect("the reserve");
    drop(first);
    // A single request may exceed the limit, which is that of many.
    let memory = ClientMemory::new(MEMORY_BYTES);
    assert!(hold_request(&memory, 400).await.is_some());
}

#[tokio::test]
async fn an_unfinished_request_gives_way_and_its_memory_is_awaited() {
    let memory = ClientMemory::new(MEMORY_BYTES);
    let (oldest, eviction) = hold_request(&memory, 100).await.expect("memory");
    let (_other, other_eviction) = hold_request(&memory, 100).await.expect("memory");
    let mut hold = pin!(hold_request(&memory, 100));
    let polled = hold.as_mut().poll(&mut Context::from_waker(Waker::noop()));
    assert!(polled.is_pending() && eviction.is_evicted() && !other_eviction.is_evicted());
    drop(oldest);
    assert!(hold.await.is_some());
}

#[tokio::test]
async fn an_answer_counts_until_its_last_reference_is_dropped() {
    let memory = ClientMemory::new(MEMORY_BYTES);
    let eviction = Arc::<Eviction>::default();
    let answer = Bytes::from(vec![0; 300 * KIB]);
    let held = memory
        .hold_answer(answer.clone(), &eviction)
        .await
        .expect("memory");
    let part = held.slice(..1);
    drop(held);
    let mut second = pin!(memory.hold_answer(answer, &eviction));
    let polled = second
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()));
    assert!(polled.is_pending() && eviction.is_evicted());
    drop(part);
    assert!(second.await.is_ok());
}

/// An answer that was received counted no more until its caller's task ran: 1,600 answers of 1 MB
/// took an entry to 235 MB, at limits that allow 120.
#[tokio::test]
async fn a_received_answer_counts_until_it_is_read() {
    let memory = ClientMemory::new(MEMORY_BYTES);
    let eviction = Arc::<Eviction>::default();
    let mut received = memory.receive_answer(eviction.clone());
    received.cover(300 * KIB).await.expect("memory");
    let body = received.attach_for_client(Bytes::from(vec![0; 300 * KIB]));
    let mut next = memory.receive_answer(Arc::default());
    let mut cover = Box::pin(next.cover(300 * KIB));
    let polled = cover.as_mut().poll(&mut Context::from_waker(Waker::noop()));
    assert!(polled.is_pending() && eviction.is_evicted());
    drop(body);
    assert!(cover.await.is_ok());
    // A part of an answer that waits for others is not given up.
    let part = next.attach(Bytes::from(vec![0; 300 * KIB]));
    assert!(memory
        .receive_answer(Arc::default())
        .cover(300 * KIB)
        .await
        .is_err());
    drop(part);
}
