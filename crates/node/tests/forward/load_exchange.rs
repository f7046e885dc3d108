//! Checks the exchange of load reports: entries report to their source, the control
//! instances tell each other, and each sends the merged levels to its entries.

use std::time::Duration;

use tokio::net::TcpStream;
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::load::{LoadReport, LoadSummary, ServiceShortage};
use wheelmast_node::connection::frame::FrameReader;
use wheelmast_wire::group::GroupMessage;

use crate::harness::{route_table, Deployment, TEST_TIMEOUT};
use crate::news::send_message;

/// An entry that follows one control instance and sends the messages that the test gives
/// it.
struct FakeEntry {
    reader: FrameReader<tokio::net::tcp::OwnedReadHalf>,
    writer: tokio::net::tcp::OwnedWriteHalf,
}

impl FakeEntry {
    /// Connects to a control instance as its full subscriber.
    async fn follow(deployment: &Deployment, control: usize, name: &str) -> FakeEntry {
        let address = deployment.peer_address(control);
        let stream = TcpStream::connect(address).await.expect("a connection");
        let (reader, mut writer) = stream.into_split();
        let subscribe = GroupMessage::Subscribe {
            peer: EntryPeer {
                instance: name.into(),
                incarnation: 1,
                domain: "here".into(),
                address: ([127, 0, 0, 1], 9).into(),
            },
            confirm: false,
        };
        send_message(&mut writer, &subscribe).await;
        let whole = GroupMessage::Whole {
            have: 0,
            servers: Vec::new(),
        };
        send_message(&mut writer, &whole).await;
        FakeEntry {
            reader: FrameReader::new(reader),
            writer,
        }
    }

    /// Reports this level of the service `desk`.
    async fn report(&mut self, level: u8) {
        let service = ServiceShortage {
            service: "desk".into(),
            level,
            uses: 4,
        };
        let report = LoadReport {
            services: vec![service],
            ..LoadReport::default()
        };
        send_message(&mut self.writer, &GroupMessage::LoadReport(report)).await;
    }

    /// Waits for a summary in which `desk` has this level; `None` if it is not listed.
    async fn await_level(&mut self, level: Option<u8>, goal: &str) {
        let found = |summary: &LoadSummary| {
            let mut services = summary.services.iter();
            let row = services.find(|row| &*row.service == "desk");
            row.map(|row| row.level)
        };
        let wait = async {
            loop {
                let message = self.reader.next().await.expect("a message");
                if matches!(&message, GroupMessage::LoadSummary(summary) if found(summary) == level)
                {
                    return;
                }
            }
        };
        let result = tokio::time::timeout(TEST_TIMEOUT, wait).await;
        assert!(result.is_ok(), "{goal}");
    }
}

/// Guards against levels that reach only the entries of one control instance, and against
/// levels that stay after the reports have ended.
#[tokio::test(flavor = "multi_thread")]
async fn levels_that_entries_report_reach_the_entries_of_other_instances() {
    let deployment = Deployment::start(27);
    deployment.put_first_table(&route_table(5));
    for control in 0..3 {
        deployment.await_vote(control);
    }
    let mut first = FakeEntry::follow(&deployment, 0, "first").await;
    let mut second = FakeEntry::follow(&deployment, 1, "second").await;
    // The third reports nothing.
    let mut third = FakeEntry::follow(&deployment, 2, "third").await;
    first.report(1).await;
    third
        .await_level(Some(0), "one entry alone determines no level")
        .await;
    for _ in 0..4 {
        first.report(1).await;
        second.report(1).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    third
        .await_level(Some(1), "the level of two entries is merged")
        .await;
    first.await_level(Some(1), "the reporters get it too").await;
    third
        .await_level(None, "the level ends with the reports")
        .await;
}
