//! Probes: is a member there?

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::process::gossip::machine::{GossipAction, GossipMachine, MEMBERS, PROBE_INTERVAL};
use crate::process::gossip::member::{MemberLifecycle, MemberRecord, MemberState};
use crate::process::gossip::message::GossipPurpose;

/// Time a member has to answer before others are asked to probe it.
const DIRECT_TIME: Duration = Duration::from_millis(200);
/// Members asked to probe another.
const INDIRECT: usize = 3;
/// Probe intervals a suspect has to refute, for each doubling of the members.
const SUSPECT_ROUNDS: u32 = 2;
/// Most probes made for others at a time.
const RELAYS: usize = 64;

/// A probe that is not answered yet.
#[derive(Debug, Clone)]
pub(super) struct OpenProbe {
    pub(super) number: u64,
    target: MemberState,
    began: Duration,
    asked_others: bool,
}

/// A probe made for another member.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayedProbe {
    number: u64,
    asker: SocketAddr,
    asked: u64,
}

impl GossipMachine {
    /// Ends the last probe and begins the next.
    pub(super) fn run_probes(&mut self, now: Duration, out: &mut Vec<GossipAction>) {
        if let Some(probe) = self.probe.take() {
            self.suspect(probe.target, now, out);
        }
        self.declare_dead(now, out);
        let Some(target) = self.next_target() else {
            return self.ask_seeds(out);
        };
        self.probes += 1;
        self.probe = Some(OpenProbe {
            number: self.probes,
            target: target.clone(),
            began: now,
            asked_others: false,
        });
        let probe = self.probes;
        self.send(target.address, GossipPurpose::Ping { probe }, out);
    }

    /// Asks others to probe a member that has not answered.
    pub(super) fn ask_indirectly(&mut self, now: Duration, out: &mut Vec<GossipAction>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if probe.asked_others || now < probe.began + DIRECT_TIME {
            return;
        }
        probe.asked_others = true;
        let (number, target) = (probe.number, probe.target.address);
        for to in self.some_members(INDIRECT) {
            if to != target {
                let purpose = GossipPurpose::PingFor {
                    probe: number,
                    target,
                };
                self.send(to, purpose, out);
            }
        }
    }

    pub(super) fn acked(&mut self, number: u64, out: &mut Vec<GossipAction>) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.number == number)
        {
            self.probe = None;
        }
        let relay = self.relays.iter().position(|relay| relay.number == number);
        if let Some(relay) = relay.map(|place| self.relays.remove(place)) {
            let probe = relay.asked;
            self.send(relay.asker, GossipPurpose::Ack { probe }, out);
        }
    }

    pub(super) fn probe_for(
        &mut self,
        asker: SocketAddr,
        asked: u64,
        target: SocketAddr,
        out: &mut Vec<GossipAction>,
    ) {
        if self.relays.len() >= RELAYS {
            self.relays.remove(0);
        }
        self.probes += 1;
        let number = self.probes;
        self.relays.push(RelayedProbe {
            number,
            asker,
            asked,
        });
        self.send(target, GossipPurpose::Ping { probe: number }, out);
    }

    /// Takes news of a member, if it is newer than what is known.
    pub(super) fn learn_member(
        &mut self,
        news: MemberState,
        now: Duration,
        out: &mut Vec<GossipAction>,
    ) {
        if news.name == self.local_member.name {
            return self.refute(&news);
        }
        let known = self.members.get(&news.name);
        let is_news = known.is_none_or(|record| news.overrides(&record.news));
        if !is_news || (known.is_none() && self.members.len() >= MEMBERS) {
            return;
        }
        if known.is_none() && !news.is_there() {
            // Remembered, but nobody needs to hear of it.
            return self.remember(news, now);
        }
        self.remember(news.clone(), now);
        self.queue_member(news.clone());
        out.push(GossipAction::MemberChanged(news));
    }

    fn remember(&mut self, news: MemberState, now: Duration) {
        let name = news.name.clone();
        let was_there = self
            .members
            .get(&name)
            .is_some_and(|old| old.news.is_there());
        if was_there != news.is_there() {
            self.member_changes += 1;
        }
        self.members.insert(name, MemberRecord { news, since: now });
    }

    /// Says "I am there" louder than who said otherwise.
    fn refute(&mut self, news: &MemberState) {
        let is_wrong = news.standing != MemberLifecycle::Alive;
        let is_leaving = self.local_member.standing == MemberLifecycle::Left;
        if is_wrong && !is_leaving && news.incarnation >= self.local_member.incarnation {
            self.local_member.incarnation = news.incarnation + 1;
            self.queue_member(self.local_member.clone());
        }
    }

    fn suspect(&mut self, target: MemberState, now: Duration, out: &mut Vec<GossipAction>) {
        let news = MemberState {
            standing: MemberLifecycle::Suspect,
            ..target
        };
        self.learn_member(news, now, out);
    }

    fn declare_dead(&mut self, now: Duration, out: &mut Vec<GossipAction>) {
        let members = self.members.len() as u32 + 1;
        let doublings = u32::BITS - members.leading_zeros();
        let patience = PROBE_INTERVAL * SUSPECT_ROUNDS * doublings.max(2);
        let overdue = self.members.values().filter(|record| {
            record.news.standing == MemberLifecycle::Suspect && now >= record.since + patience
        });
        let dead: Vec<MemberState> = overdue.map(|record| record.news.clone()).collect();
        for news in dead {
            let news = MemberState {
                standing: MemberLifecycle::Dead,
                ..news
            };
            self.learn_member(news, now, out);
        }
    }

    /// Returns the next member of the round; each round has an order of its
    /// own, so that every member is probed within two rounds at most.
    fn next_target(&mut self) -> Option<MemberState> {
        loop {
            if self.round.is_empty() {
                self.round = self.others().map(|news| news.name.clone()).collect();
                self.round.shuffle(&mut self.rng);
            }
            let name = self.round.pop()?;
            let record = self.members.get(&name);
            if let Some(record) = record.filter(|record| record.news.is_there()) {
                return Some(record.news.clone());
            }
        }
    }

    fn ask_seeds(&mut self, out: &mut Vec<GossipAction>) {
        for seed in self.seeds.clone() {
            self.probes += 1;
            let probe = self.probes;
            self.send(seed, GossipPurpose::Ping { probe }, out);
        }
    }
}
